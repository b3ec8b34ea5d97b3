// Approvals and the spread of bundles over a fake net and a fake table, on a
// fake time.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_SIMULATION_H
#define ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_SIMULATION_H

#include "support/fake_net.h"
#include "zinniagauge/decide/bundle_head.h"
#include "zinniagauge/decide/bundle_propagation.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniagauge::testing {

/// What the table does with calls that are made now.
enum class TableMode : std::uint8_t {
  Up,
  Unavailable,   ///< Refuses: no effect.
  LostResponse,  ///< Writes take effect; their answers are lost.
  DelayedEffect, ///< Likewise, and the effect comes up to 3 s later.
  Flaky,         ///< Each call draws one of the others.
};

/// The rows of proposals, head and history.
struct HeadTable {
  std::map<std::string, Proposal> Proposals;
  HeadRow Head;
  std::map<std::uint64_t, BundleHead> History;
  TableMode Mode = TableMode::Up;
};

/// One operator's approval, and the VM that does it.
struct RunningApproval {
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0; // The VM's; the approval dies with it.
  Approval State;
  bool CallInProgress = false; // For a call's answer.
  bool EndProcessed = false;   // Its end was taken in.
};

/// What a VM keeps besides its exchange.
struct BundleVmState {
  std::optional<std::uint64_t> TableHead;
  std::uint64_t MinReadyVersion = 0; // What it must hold once it is ready.
  Time NextPoll;
  bool Ready = false;
};

/// The whole world.
struct BundleSimulation {
  FakeNet Net;
  HeadTable Table;
  std::vector<BundleVmState> VmStates;
  std::deque<RunningApproval> Approvals; // Never moved, since calls refer here.
  std::multimap<Time, std::function<void()>>
      ScheduledEvents; // Effects and answers.
};

/// Adds \p names, all in one zone, with a first bundle accepted everywhere.
void addVms(BundleSimulation &w, const std::vector<std::string> &names);

/// Starts an operator's approval at VM \p vm of a new proposal called
/// \p digest, on the head as it is now. Returns its place in Approvals.
std::size_t startApproval(BundleSimulation &w, std::size_t vm,
                          std::string digest, const std::string &by);

/// Ends a VM's process, and its approvals with it.
void killVm(BundleSimulation &w, std::size_t vm);

/// Starts it anew. Once it is ready it must hold the highest version that the
/// table and its peers had, as far as they could be reached all the while.
void restartVm(BundleSimulation &w, std::size_t vm);

/// Cuts or joins the link between two VMs.
void setLink(BundleSimulation &w, std::size_t a, std::size_t b, bool cut);

/// Sets what the table does from now on.
void setTable(BundleSimulation &w, TableMode mood);

/// Lets \p len pass.
void run(BundleSimulation &w, Duration len);

/// The version that VM \p vm has in force.
[[nodiscard]] std::uint64_t activeVersionAt(const BundleSimulation &w,
                                            std::size_t vm);

/// Empty if all that must hold does, or what doesn't: ends of approvals agree
/// with the history, and the history is one chain up to the head.
[[nodiscard]] std::string findViolation(const BundleSimulation &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_SIMULATION_H
