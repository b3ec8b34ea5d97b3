// A simulation of approvals and of the propagation of bundles, over a fake
// network, a fake table and simulated time.
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

/// How the table handles calls from now on.
enum class TableMode : std::uint8_t {
  Up,
  Unavailable,   ///< Refuses calls, without effect.
  LostResponse,  ///< Writes take effect; their responses are lost.
  DelayedEffect, ///< Responses are lost; writes take effect up to 3 s later.
  Flaky,         ///< Picks one of the others at random for each call.
};

/// The table with the rows of proposals, head and history.
struct HeadTable {
  std::map<std::string, Proposal> Proposals;
  HeadRow Head;
  std::map<std::uint64_t, BundleHead> History;
  TableMode Mode = TableMode::Up;
};

/// An operator's approval, and the VM that performs it.
struct RunningApproval {
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0; // Of the VM; the approval ends with it.
  Approval State;
  bool CallInProgress = false; // No response yet.
  bool EndProcessed = false;   // Its result was handled.
};

/// The state of a VM besides its exchange.
struct BundleVmState {
  std::optional<std::uint64_t> TableHead;
  std::uint64_t MinReadyVersion = 0; // Lowest active one once ready.
  Time NextPoll;
  bool Ready = false;
};

/// The state of the whole simulation.
struct BundleSimulation {
  FakeNet Net;
  HeadTable Table;
  std::vector<BundleVmState> VmStates;
  /// Elements must not move: calls refer to them.
  std::deque<RunningApproval> Approvals;
  /// Effects and responses, by time.
  std::multimap<Time, std::function<void()>> ScheduledEvents;
};

/// Adds the VMs \p names, all in one zone, with a first bundle active at each.
void addVms(BundleSimulation &w, const std::vector<std::string> &names);

/// Starts an operator's approval at VM \p vm of a new proposal with digest
/// \p digest, based on the present head. Returns its index in Approvals.
std::size_t startApproval(BundleSimulation &w, std::size_t vm,
                          std::string digest, const std::string &by);

/// Ends a VM's process, and its approvals with it.
void killVm(BundleSimulation &w, std::size_t vm);

/// Starts the process of a VM again. Once it is ready, its active version must
/// be at least the highest of the table and of those peers that were reachable
/// throughout its recovery.
void restartVm(BundleSimulation &w, std::size_t vm);

/// Cuts or restores the link between two VMs.
void setLink(BundleSimulation &w, std::size_t a, std::size_t b, bool cut);

/// Sets how the table handles calls from now on.
void setTable(BundleSimulation &w, TableMode mode);

/// Runs the simulation for \p len.
void run(BundleSimulation &w, Duration len);

/// The active version of VM \p vm.
[[nodiscard]] std::uint64_t activeVersionAt(const BundleSimulation &w,
                                            std::size_t vm);

/// Checks the invariants: the results of approvals agree with the history, and
/// the history is one chain up to the head. Returns what is violated; empty if
/// nothing is.
[[nodiscard]] std::string findViolation(const BundleSimulation &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_BUNDLE_SIMULATION_H
