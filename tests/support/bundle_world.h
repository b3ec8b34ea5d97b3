// Approvals and the spread of bundles over a fake net and a fake table, on a
// fake time.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_WORLD_H
#define ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_WORLD_H

#include "support/fake_net.h"
#include "zinniagauge/decide/bundle_head.h"
#include "zinniagauge/decide/bundle_spread.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniagauge::testing {

/// What the table does with calls that are made now.
enum class TableMood : std::uint8_t {
  Up,
  Out,        ///< Refuses: no effect.
  LostAnswer, ///< Takes effect; the answer is lost.
  LateEffect, ///< The answer is lost, and the effect comes up to 3 s later.
  Flaky,      ///< Each call draws one of the others.
};

/// The rows of proposals, head and history.
struct HeadTable {
  std::map<std::string, Proposal> Proposals;
  HeadRow Head;
  std::map<std::uint64_t, BundleHead> History;
  TableMood Mood = TableMood::Up;
};

/// One operator's approval, and the VM that does it.
struct RunningApproval {
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0; // The VM's; the approval dies with it.
  Approval State;
  bool Waiting = false; // For a call's answer.
  bool Settled = false; // Its end was taken in.
};

/// What a VM keeps besides its exchange.
struct VmExtras {
  std::optional<std::uint64_t> TableHead;
  std::uint64_t Floor = 0; // What it must hold once it is ready.
  Time NextPoll;
  bool Ready = false;
};

/// The whole world.
struct BundleWorld {
  FakeNet Net;
  HeadTable Table;
  std::vector<VmExtras> Extras;
  std::deque<RunningApproval> Approvals; // Never moved, since calls refer here.
  std::multimap<Time, std::function<void()>> Due; // Effects and answers.
};

/// Adds \p names, all in one zone, with a first bundle accepted everywhere.
void addVms(BundleWorld &w, const std::vector<std::string> &names);

/// Starts an operator's approval at VM \p vm of a new proposal called
/// \p digest, on the head as it is now. Returns its place in Approvals.
std::size_t startApproval(BundleWorld &w, std::size_t vm, std::string digest,
                          const std::string &by);

/// Ends a VM's process, and its approvals with it.
void killVm(BundleWorld &w, std::size_t vm);

/// Starts it anew. Once it is ready it must hold the highest version that the
/// table and its peers had, as far as they could be reached.
void restartVm(BundleWorld &w, std::size_t vm);

/// Lets \p len pass.
void run(BundleWorld &w, Duration len);

/// The version that VM \p vm has in force.
[[nodiscard]] std::uint64_t versionAt(const BundleWorld &w, std::size_t vm);

/// Empty if all that must hold does, or what doesn't: ends of approvals agree
/// with the history, and the history is one chain up to the head.
[[nodiscard]] std::string faultOf(const BundleWorld &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_WORLD_H
