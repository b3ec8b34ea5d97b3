// Connects the exchanges of two to five VMs by an in-memory network that can
// block, delay, drop and duplicate messages, with simulated time.
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

/// The kind of a message within an exchange.
enum class ExchangePhase : std::uint8_t { Request, Response, FollowUp };

/// A message in flight.
struct FakeMessage {
  Time ArrivesAt;
  std::size_t From = 0;
  std::size_t To = 0;
  ExchangePhase Phase = ExchangePhase::Request;
  ExchangeMessage Content;
};

/// One VM of the fake network.
struct FakeVm {
  std::string Name;
  std::string Zone;
  Exchange State;
  std::uint64_t Incarnation = 1;
  bool Running = true;
  Time PausedUntil;
  std::uint64_t HighestBundleVersion = 0; // Ever active since its start.
};

/// Faults of the network.
struct FakeLink {
  std::uint32_t DropPermille = 0;
  std::uint32_t DuplicatePermille = 0;
  Duration MaxDelay = std::chrono::milliseconds(5);
  // Pairs of sender and receiver.
  std::set<std::pair<std::size_t, std::size_t>> Blocked;
};

struct FakeNet {
  std::vector<FakeVm> Vms;
  FakeLink Link;
  std::vector<FakeMessage> InFlight;
  std::map<std::uint64_t, Bundle> Bundles; // By version.
  Time Now{std::chrono::hours(1)};
  std::uint64_t Random = 1;
};

/// Adds a VM that knows the addresses of all VMs added before.
void addVm(FakeNet &net, const std::string &name, const std::string &zone);

/// Ends the process of a VM, which loses its state.
void kill(FakeNet &net, std::size_t n);

/// Starts a killed VM again, under a higher incarnation.
void restart(FakeNet &net, std::size_t n);

/// Pauses the steps and messages of a VM for \p len. Its state is kept.
void pause(FakeNet &net, std::size_t n, Duration len);

/// Blocks or restores the connection between two VMs, in both directions.
void setBlocked(FakeNet &net, std::size_t a, std::size_t b, bool blocked);

/// Simulates a period of \p len: all VMs step every 100 ms, and messages
/// arrive.
void run(FakeNet &net, Duration len);

/// Returns the state of VM \p of as seen by VM \p n.
[[nodiscard]] MemberState stateOf(const FakeNet &net, std::size_t n,
                                  std::size_t of);

/// Activates a bundle at VM \p n, which sends it to the others.
void activateBundleAt(FakeNet &net, std::size_t n, const Bundle &b);

/// Activates the same bundle at every VM.
void activateBundleEverywhere(FakeNet &net, const Bundle &b);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_TESTS_SUPPORT_FAKE_NET_H
