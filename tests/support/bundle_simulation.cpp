#include "support/bundle_simulation.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <utility>

namespace zinniagauge::testing {

namespace {

constexpr Duration StepEvery = std::chrono::milliseconds(100);
constexpr Duration PollEvery = std::chrono::seconds(1);
constexpr Duration ApprovalBound = std::chrono::seconds(5);
constexpr std::size_t MaxLatencyMs = 300;
constexpr std::size_t MaxLatenessMs = 3000;

Duration upTo(BundleSimulation &w, std::size_t ms) {
  return std::chrono::milliseconds(randomBelow(w.Net.Random, ms + 1));
}

Bundle bundleOf(const BundleHead &head) {
  Bundle b;
  b.Version = head.Version;
  b.Digest = head.Digest;
  return b;
}

void holdHead(BundleSimulation &w, std::size_t vm, const BundleHead &head) {
  activateBundleAt(w.Net, vm, bundleOf(head));
}

bool isAlive(const BundleSimulation &w, const RunningApproval &a) {
  const FakeVm &vm = w.Net.Vms[a.Vm];
  return vm.Running && vm.Incarnation == a.Incarnation;
}

/// The table's side of a swap.
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

/// Does what the approval's stage asks for, at once.
std::function<void(Approval &)> perform(HeadTable &t, const Approval &a) {
  if (a.Stage == ApprovalStage::Swap) {
    const bool done = swapHead(t, a.HeadSnapshot.RowVersion, a.NextHead);
    return [done](Approval &to) { onSwapped(to, done); };
  }
  return [read = readRows(t, a)](Approval &to) { onRead(to, read, {}); };
}

/// What the table does with one call.
TableMode drawMood(BundleSimulation &w, bool writes) {
  TableMode mood = w.Table.Mode;
  constexpr auto Moods = static_cast<std::size_t>(TableMode::Flaky);
  if (mood == TableMode::Flaky)
    mood = static_cast<TableMode>(randomBelow(w.Net.Random, Moods));
  const bool writes_only =
      mood == TableMode::LostResponse || mood == TableMode::DelayedEffect;
  return writes_only && !writes ? TableMode::Up : mood;
}

/// Makes the call that the approval's stage asks for. What it is answered
/// arrives later; what it does may come later still.
void makeCall(BundleSimulation &w, RunningApproval &a) {
  a.CallInProgress = true;
  const TableMode mood = drawMood(w, a.State.Stage == ApprovalStage::Swap);
  const Time sent = w.Net.Now;
  const Time answered = sent + upTo(w, MaxLatencyMs) + StepEvery;
  const Time acts =
      mood == TableMode::DelayedEffect ? sent + upTo(w, MaxLatenessMs) : sent;
  const auto answer = [&w, &a](auto fn) {
    if (!isAlive(w, a))
      return;
    a.CallInProgress = false;
    fn(a.State);
  };
  const auto failed = [&w, answer](ErrorCode code) {
    answer([&w, code](Approval &to) {
      onFailed(to, {code, Step::Platform, "table", "fault"}, w.Net.Now);
    });
  };
  if (mood == TableMode::Unavailable) {
    w.ScheduledEvents.emplace(answered,
                              [failed] { failed(ErrorCode::Unavailable); });
    return;
  }
  w.ScheduledEvents.emplace(acts, [&w, state = a.State, mood, answered,
                                   answer] {
    auto result = perform(w.Table, state);
    if (mood == TableMode::Up)
      w.ScheduledEvents.emplace(answered, [answer, result] { answer(result); });
  });
  if (mood != TableMode::Up)
    w.ScheduledEvents.emplace(answered,
                              [failed] { failed(ErrorCode::Broken); });
}

void stepApproval(BundleSimulation &w, RunningApproval &a) {
  if (!isAlive(w, a) || a.CallInProgress || a.EndProcessed)
    return;
  if (!hasEnded(a.State))
    return makeCall(w, a);
  a.EndProcessed = true;
  if (a.State.Stage == ApprovalStage::Done)
    holdHead(w, a.Vm, a.State.NextHead);
}

bool mayRead(const BundleSimulation &w) {
  return w.Table.Mode == TableMode::Up;
}

void poll(BundleSimulation &w, std::size_t vm) {
  BundleVmState &x = w.VmStates[vm];
  const MemberList list =
      publishMembers(w.Net.Vms[vm].State.Members, w.Net.Now);
  if (w.Net.Now < x.NextPoll || !mayRead(w))
    return;
  if (x.Ready && !shouldReadTable(list.Members, VmId::of(w.Net.Vms[vm].Name)))
    return;
  x.NextPoll = w.Net.Now + PollEvery;
  x.TableHead = w.Table.Head.Head.Version;
  if (w.Table.Head.RowVersion != 0)
    holdHead(w, vm, w.Table.Head.Head);
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

/// The highest version among the ready peers that \p vm can reach.
std::uint64_t highestPeer(const BundleSimulation &w, std::size_t vm) {
  std::uint64_t highest = 0;
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (n != vm && w.Net.Vms[n].Running && w.VmStates[n].Ready &&
        !isCut(w, n, vm))
      highest = std::max(highest, activeVersionAt(w, n));
  return highest;
}

/// The highest version that a VM could have by now.
std::uint64_t highestSource(const BundleSimulation &w, std::size_t vm) {
  const std::uint64_t table = mayRead(w) ? w.Table.Head.Head.Version : 0;
  return std::max(table, highestPeer(w, vm));
}

/// What a new VM could have heard of is out of reach before it is ready.
void lowerFloors(BundleSimulation &w) {
  for (std::size_t n = 0; n < w.VmStates.size(); ++n)
    if (!w.VmStates[n].Ready)
      w.VmStates[n].MinReadyVersion =
          std::min(w.VmStates[n].MinReadyVersion, highestSource(w, n));
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
  a.State.Deadline = w.Net.Now + ApprovalBound;
  return w.Approvals.size() - 1;
}

void killVm(BundleSimulation &w, std::size_t vm) {
  kill(w.Net, vm);
  w.VmStates[vm] = {};
  lowerFloors(w);
}

void setLink(BundleSimulation &w, std::size_t a, std::size_t b, bool cut) {
  setBlocked(w.Net, a, b, cut);
  lowerFloors(w);
}

void setTable(BundleSimulation &w, TableMode mood) {
  w.Table.Mode = mood;
  lowerFloors(w);
}

void restartVm(BundleSimulation &w, std::size_t vm) {
  restart(w.Net, vm);
  BundleVmState &x = w.VmStates[vm];
  x = {};
  x.MinReadyVersion = highestSource(w, vm);
}

void run(BundleSimulation &w, Duration len) {
  const Time end = w.Net.Now + len;
  while (w.Net.Now < end) {
    run(w.Net, StepEvery);
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
