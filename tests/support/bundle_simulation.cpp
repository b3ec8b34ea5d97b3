#include "support/bundle_simulation.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <utility>

namespace zinniagauge::testing {

namespace {

constexpr Duration StepPeriod = std::chrono::milliseconds(100);
constexpr Duration PollPeriod = std::chrono::seconds(1);
constexpr Duration ApprovalTimeout = std::chrono::seconds(5);
constexpr std::size_t MaxLatencyMs = 300;
constexpr std::size_t MaxDelayMs = 3000;

Duration randomDuration(BundleSimulation &w, std::size_t ms) {
  return std::chrono::milliseconds(randomBelow(w.Net.Random, ms + 1));
}

Bundle bundleOf(const BundleHead &head) {
  Bundle b;
  b.Version = head.Version;
  b.Digest = head.Digest;
  return b;
}

void adoptHead(BundleSimulation &w, std::size_t vm, const BundleHead &head) {
  activateBundleAt(w.Net, vm, bundleOf(head));
}

bool isAlive(const BundleSimulation &w, const RunningApproval &a) {
  const FakeVm &vm = w.Net.Vms[a.Vm];
  return vm.Running && vm.Incarnation == a.Incarnation;
}

/// Performs a swap at the table; false if the head has moved.
bool swapHead(HeadTable &t, std::uint64_t expected, const BundleHead &next) {
  if (t.Head.RowVersion != expected || t.History.contains(next.Version))
    return false;
  t.Head = {next, expected + 1};
  t.History[next.Version] = next;
  return true;
}

ApprovalRead readRows(const HeadTable &t, const Approval &a) {
  ApprovalRead read;
  const auto prop = t.Proposals.find(a.Digest);
  if (prop != t.Proposals.end())
    read.ProposalRow = prop->second;
  read.Head = t.Head;
  const auto rec = t.History.find(a.NextHead.Version);
  if (rec != t.History.end())
    read.HistoryRow = rec->second;
  return read;
}

/// Performs the call of the approval's stage at once. The result passes the
/// response to an approval.
std::function<void(Approval &)> performCall(HeadTable &t, const Approval &a) {
  if (a.Stage == ApprovalStage::Swap) {
    const bool done = swapHead(t, a.HeadSnapshot.RowVersion, a.NextHead);
    return [done](Approval &to) { onSwapped(to, done); };
  }
  return [read = readRows(t, a)](Approval &to) { onRead(to, read, {}); };
}

/// How the table handles one call.
TableMode callMode(BundleSimulation &w, bool writes) {
  TableMode mode = w.Table.Mode;
  constexpr auto ModeCount = static_cast<std::size_t>(TableMode::Flaky);
  if (mode == TableMode::Flaky)
    mode = static_cast<TableMode>(randomBelow(w.Net.Random, ModeCount));
  const bool writes_only =
      mode == TableMode::LostResponse || mode == TableMode::DelayedEffect;
  return writes_only && !writes ? TableMode::Up : mode;
}

/// Makes the call of the approval's stage. Its response arrives later, and its
/// effect may happen even after that.
void startCall(BundleSimulation &w, RunningApproval &a) {
  a.CallInProgress = true;
  const TableMode mode = callMode(w, a.State.Stage == ApprovalStage::Swap);
  const Time now = w.Net.Now;
  const Time response_at = now + randomDuration(w, MaxLatencyMs) + StepPeriod;
  const Time effect_at = mode == TableMode::DelayedEffect
                             ? now + randomDuration(w, MaxDelayMs)
                             : now;
  const auto respond = [&w, &a](auto fn) {
    if (!isAlive(w, a))
      return;
    a.CallInProgress = false;
    fn(a.State);
  };
  const auto respond_error = [&w, respond](ErrorCode code) {
    respond([&w, code](Approval &to) {
      onFailed(to, {code, Step::Platform, "table", "fault"}, w.Net.Now);
    });
  };
  if (mode == TableMode::Unavailable) {
    w.ScheduledEvents.emplace(response_at, [respond_error] {
      respond_error(ErrorCode::Unavailable);
    });
    return;
  }
  w.ScheduledEvents.emplace(
      effect_at, [&w, state = a.State, mode, response_at, respond] {
        auto result = performCall(w.Table, state);
        if (mode == TableMode::Up)
          w.ScheduledEvents.emplace(response_at,
                                    [respond, result] { respond(result); });
      });
  if (mode != TableMode::Up)
    w.ScheduledEvents.emplace(
        response_at, [respond_error] { respond_error(ErrorCode::Broken); });
}

void stepApproval(BundleSimulation &w, RunningApproval &a) {
  if (!isAlive(w, a) || a.CallInProgress || a.EndProcessed)
    return;
  if (!hasEnded(a.State))
    return startCall(w, a);
  a.EndProcessed = true;
  if (a.State.Stage == ApprovalStage::Done)
    adoptHead(w, a.Vm, a.State.NextHead);
}

bool isTableUp(const BundleSimulation &w) {
  return w.Table.Mode == TableMode::Up;
}

void poll(BundleSimulation &w, std::size_t vm) {
  BundleVmState &x = w.VmStates[vm];
  const MemberList list =
      publishMembers(w.Net.Vms[vm].State.Members, w.Net.Now);
  if (w.Net.Now < x.NextPoll || !isTableUp(w))
    return;
  if (x.Ready && !shouldReadTable(list.Members, VmId::of(w.Net.Vms[vm].Name)))
    return;
  x.NextPoll = w.Net.Now + PollPeriod;
  x.TableHead = w.Table.Head.Head.Version;
  if (w.Table.Head.RowVersion != 0)
    adoptHead(w, vm, w.Table.Head.Head);
}

void stepVm(BundleSimulation &w, std::size_t vm) {
  if (!w.Net.Vms[vm].Running)
    return;
  poll(w, vm);
  BundleVmState &x = w.VmStates[vm];
  if (x.Ready)
    return;
  x.Ready =
      isRecovered(recoveryView(w.Net.Vms[vm].State, x.TableHead, w.Net.Now));
  if (x.Ready)
    check(Invariant::VersionRises, activeVersionAt(w, vm) >= x.MinReadyVersion);
}

void runDue(BundleSimulation &w) {
  while (!w.ScheduledEvents.empty() &&
         w.ScheduledEvents.begin()->first <= w.Net.Now) {
    const auto fn = std::move(w.ScheduledEvents.begin()->second);
    w.ScheduledEvents.erase(w.ScheduledEvents.begin());
    fn();
  }
}

bool isCut(const BundleSimulation &w, std::size_t a, std::size_t b) {
  return w.Net.Link.Blocked.contains({a, b});
}

/// The highest active version of the ready peers that \p vm can reach.
std::uint64_t highestPeerVersion(const BundleSimulation &w, std::size_t vm) {
  std::uint64_t highest = 0;
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (n != vm && w.Net.Vms[n].Running && w.VmStates[n].Ready &&
        !isCut(w, n, vm))
      highest = std::max(highest, activeVersionAt(w, n));
  return highest;
}

/// The highest version that is reachable for a VM.
std::uint64_t highestReachableVersion(const BundleSimulation &w,
                                      std::size_t vm) {
  const std::uint64_t table = isTableUp(w) ? w.Table.Head.Head.Version : 0;
  return std::max(table, highestPeerVersion(w, vm));
}

/// Lowers the versions that recovering VMs must reach, since a source may have
/// become unreachable before they were ready.
void lowerMinReadyVersions(BundleSimulation &w) {
  for (std::size_t n = 0; n < w.VmStates.size(); ++n)
    if (!w.VmStates[n].Ready)
      w.VmStates[n].MinReadyVersion = std::min(w.VmStates[n].MinReadyVersion,
                                               highestReachableVersion(w, n));
}

bool isRecorded(const BundleSimulation &w, const Approval &a) {
  return std::any_of(
      w.Table.History.begin(), w.Table.History.end(),
      [&](const auto &it) { return it.second.ApprovalId == a.ApprovalId; });
}

} // namespace

void addVms(BundleSimulation &w, const std::vector<std::string> &names) {
  BundleHead first;
  first.Version = 1;
  first.Digest = "first";
  swapHead(w.Table, 0, first);
  for (const std::string &it : names)
    addVm(w.Net, it, "hvar");
  w.VmStates.resize(names.size());
  run(w, std::chrono::seconds(3));
}

std::size_t startApproval(BundleSimulation &w, std::size_t vm,
                          std::string digest, const std::string &by) {
  w.Table.Proposals[digest] = {digest, w.Table.Head.Head.Version, by, {}};
  RunningApproval &a = w.Approvals.emplace_back();
  a.Vm = vm;
  a.Incarnation = w.Net.Vms[vm].Incarnation;
  a.State.Digest = std::move(digest);
  a.State.Approver = by;
  a.State.ApprovalId = std::to_string(w.Approvals.size());
  a.State.Deadline = w.Net.Now + ApprovalTimeout;
  return w.Approvals.size() - 1;
}

void killVm(BundleSimulation &w, std::size_t vm) {
  kill(w.Net, vm);
  w.VmStates[vm] = {};
  lowerMinReadyVersions(w);
}

void setLink(BundleSimulation &w, std::size_t a, std::size_t b, bool cut) {
  setBlocked(w.Net, a, b, cut);
  lowerMinReadyVersions(w);
}

void setTable(BundleSimulation &w, TableMode mode) {
  w.Table.Mode = mode;
  lowerMinReadyVersions(w);
}

void restartVm(BundleSimulation &w, std::size_t vm) {
  restart(w.Net, vm);
  BundleVmState &x = w.VmStates[vm];
  x = {};
  x.MinReadyVersion = highestReachableVersion(w, vm);
}

void run(BundleSimulation &w, Duration len) {
  const Time end = w.Net.Now + len;
  while (w.Net.Now < end) {
    run(w.Net, StepPeriod);
    runDue(w);
    for (RunningApproval &it : w.Approvals)
      stepApproval(w, it);
    for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
      stepVm(w, n);
  }
}

std::uint64_t activeVersionAt(const BundleSimulation &w, std::size_t vm) {
  return w.Net.Vms[vm].State.ActiveBundle.Version;
}

std::string findViolation(const BundleSimulation &w) {
  std::uint64_t n = 0;
  for (const auto &[version, head] : w.Table.History)
    if (version != ++n || head.Version != version)
      return "the history is no chain";
  if (w.Table.Head.Head.Version != n)
    return "the head is not the end of the history";
  for (const RunningApproval &it : w.Approvals) {
    const Approval &a = it.State;
    const bool recorded = isRecorded(w, a);
    if (a.Stage == ApprovalStage::Done && !recorded)
      return "an approval that ended well is not in the history";
    if (a.Stage == ApprovalStage::Refused &&
        a.Failure.Code != ErrorCode::TimedOut && recorded)
      return "an approval that was refused took effect";
  }
  return {};
}

} // namespace zinniagauge::testing
