// Two to five VMs' exchanges joined by an in-memory link that can be cut,
// delay, drop and repeat, all on a fake time.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_FAKE_NET_H
#define ZINNIAGAUGE_TESTS_SUPPORT_FAKE_NET_H

#include "zinniagauge/decide/exchange.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace zinniagauge {

/// How far a swap is.
enum class ExchangePhase : std::uint8_t { Request, Response, FollowUp };

/// A message on its way.
struct FakeMessage {
  Time ArrivesAt;
  std::size_t From = 0;
  std::size_t To = 0;
  ExchangePhase Phase = ExchangePhase::Request;
  ExchangeMessage Content;
};

/// One VM of the fake net.
struct FakeVm {
  std::string Name;
  std::string Zone;
  Exchange State;
  std::uint64_t Incarnation = 1;
  bool Running = true;
  Time PausedUntil;
  std::uint64_t HighestBundleVersion = 0; // That it ever held.
};

/// What the link does to messages, in permille.
struct FakeLink {
  std::uint32_t DropPermille = 0;
  std::uint32_t DuplicatePermille = 0;
  Duration MaxDelay = std::chrono::milliseconds(5);
  std::set<std::pair<std::size_t, std::size_t>> Blocked; // Ordered pairs.
};

struct FakeNet {
  std::vector<FakeVm> Vms;
  FakeLink Link;
  std::vector<FakeMessage> InFlight;
  std::map<std::uint64_t, Bundle> Bundles; // By version.
  Time Now{std::chrono::hours(1)};
  std::uint64_t Random = 1;
};

/// Adds a VM that knows the addresses of all that were added before.
void addVm(FakeNet &net, const std::string &name, const std::string &zone);

/// Ends a VM's process, so that it forgets everything.
void kill(FakeNet &net, std::size_t n);

/// Starts a killed VM anew, under a higher incarnation.
void restart(FakeNet &net, std::size_t n);

/// Stops a VM's steps and messages for \p len; its state stays.
void pause(FakeNet &net, std::size_t n, Duration len);

/// Cuts or joins the link between two VMs, in both directions.
void setBlocked(FakeNet &net, std::size_t a, std::size_t b, bool cut);

/// Lets \p len pass: all VMs step every 100 ms and messages arrive.
void run(FakeNet &net, Duration len);

/// What VM \p n holds of VM \p of's state.
[[nodiscard]] MemberState stateOf(const FakeNet &net, std::size_t n,
                                  std::size_t of);

/// Puts a bundle into force at VM \p n, from where it spreads.
void activateBundleAt(FakeNet &net, std::size_t n, const Bundle &b);

/// Puts the same bundle into force at every VM.
void activateBundleEverywhere(FakeNet &net, const Bundle &b);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_TESTS_SUPPORT_FAKE_NET_H
