#include "support/bundle_world.h"

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

Duration upTo(BundleWorld &w, std::size_t ms) {
  return std::chrono::milliseconds(pickBelow(w.Net.Random, ms + 1));
}

Bundle bundleOf(const BundleHead &head) {
  Bundle b;
  b.Version = head.Version;
  b.Digest = head.Digest;
  return b;
}

void holdHead(BundleWorld &w, std::size_t vm, const BundleHead &head) {
  holdAt(w.Net, vm, bundleOf(head));
}

bool isAlive(const BundleWorld &w, const RunningApproval &a) {
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
    read.Asked = prop->second;
  read.Head = t.Head;
  const auto rec = t.History.find(a.Next.Version);
  if (rec != t.History.end())
    read.Recorded = rec->second;
  return read;
}

/// Does what the approval's stage asks for, at once.
std::function<void(Approval &)> perform(HeadTable &t, const Approval &a) {
  if (a.Stage == ApprovalStage::Swap) {
    const bool done = swapHead(t, a.Seen.RowVersion, a.Next);
    return [done](Approval &to) { onSwapped(to, done); };
  }
  return [read = readRows(t, a)](Approval &to) { onRead(to, read, {}); };
}

TableMood drawMood(BundleWorld &w) {
  if (w.Table.Mood != TableMood::Flaky)
    return w.Table.Mood;
  constexpr auto Moods = static_cast<std::size_t>(TableMood::Flaky);
  return static_cast<TableMood>(pickBelow(w.Net.Random, Moods));
}

/// Makes the call that the approval's stage asks for. What it is answered
/// arrives later; what it does may come later still.
void makeCall(BundleWorld &w, RunningApproval &a) {
  a.Waiting = true;
  const TableMood mood = drawMood(w);
  const Time sent = w.Net.Now;
  const Time answered = sent + upTo(w, MaxLatencyMs) + StepEvery;
  const Time acts =
      mood == TableMood::LateEffect ? sent + upTo(w, MaxLatenessMs) : sent;
  const auto answer = [&w, &a](auto fn) {
    if (!isAlive(w, a))
      return;
    a.Waiting = false;
    fn(a.State);
  };
  const auto failed = [&w, answer](ErrorCode code) {
    answer([&w, code](Approval &to) {
      onFailed(to, {code, Step::Platform, "table", "fault"}, w.Net.Now);
    });
  };
  if (mood == TableMood::Out) {
    w.Due.emplace(answered, [failed] { failed(ErrorCode::Unavailable); });
    return;
  }
  w.Due.emplace(acts, [&w, state = a.State, mood, answered, answer] {
    auto result = perform(w.Table, state);
    if (mood == TableMood::Up)
      w.Due.emplace(answered, [answer, result] { answer(result); });
  });
  if (mood != TableMood::Up)
    w.Due.emplace(answered, [failed] { failed(ErrorCode::Broken); });
}

void stepApproval(BundleWorld &w, RunningApproval &a) {
  if (!isAlive(w, a) || a.Waiting || a.Settled)
    return;
  if (!hasEnded(a.State))
    return makeCall(w, a);
  a.Settled = true;
  if (a.State.Stage == ApprovalStage::Done)
    holdHead(w, a.Vm, a.State.Next);
}

bool mayRead(const BundleWorld &w) { return w.Table.Mood == TableMood::Up; }

void poll(BundleWorld &w, std::size_t vm) {
  VmExtras &x = w.Extras[vm];
  const MemberList list =
      publishMembers(w.Net.Vms[vm].State.Members, w.Net.Now);
  if (w.Net.Now < x.NextPoll || !mayRead(w))
    return;
  if (x.Ready && !readsTable(list.Members, VmId::of(w.Net.Vms[vm].Name)))
    return;
  x.NextPoll = w.Net.Now + PollEvery;
  x.TableHead = w.Table.Head.Head.Version;
  if (w.Table.Head.RowVersion != 0)
    holdHead(w, vm, w.Table.Head.Head);
}

void stepVm(BundleWorld &w, std::size_t vm) {
  if (!w.Net.Vms[vm].Running)
    return;
  poll(w, vm);
  VmExtras &x = w.Extras[vm];
  if (x.Ready)
    return;
  x.Ready =
      isRecovered(recoveryView(w.Net.Vms[vm].State, x.TableHead, w.Net.Now));
  if (x.Ready)
    check(Invariant::VersionRises, versionAt(w, vm) >= x.Floor);
}

void runDue(BundleWorld &w) {
  while (!w.Due.empty() && w.Due.begin()->first <= w.Net.Now) {
    const auto fn = std::move(w.Due.begin()->second);
    w.Due.erase(w.Due.begin());
    fn();
  }
}

bool isCut(const BundleWorld &w, std::size_t a, std::size_t b) {
  return w.Net.Link.Cut.contains({a, b});
}

/// The highest version among the ready peers that \p vm can reach.
std::uint64_t highestPeer(const BundleWorld &w, std::size_t vm) {
  std::uint64_t highest = 0;
  for (std::size_t n = 0; n < w.Net.Vms.size(); ++n)
    if (n != vm && w.Net.Vms[n].Running && w.Extras[n].Ready &&
        !isCut(w, n, vm))
      highest = std::max(highest, versionAt(w, n));
  return highest;
}

bool isRecorded(const BundleWorld &w, const Approval &a) {
  return std::any_of(
      w.Table.History.begin(), w.Table.History.end(),
      [&](const auto &it) { return it.second.Attempt == a.Attempt; });
}

} // namespace

void addVms(BundleWorld &w, const std::vector<std::string> &names) {
  BundleHead first;
  first.Version = 1;
  first.Digest = "first";
  swapHead(w.Table, 0, first);
  for (const std::string &it : names)
    addVm(w.Net, it, "hvar");
  w.Extras.resize(names.size());
  run(w, std::chrono::seconds(3));
}

std::size_t startApproval(BundleWorld &w, std::size_t vm, std::string digest,
                          const std::string &by) {
  w.Table.Proposals[digest] = {digest, w.Table.Head.Head.Version, by, {}};
  RunningApproval &a = w.Approvals.emplace_back();
  a.Vm = vm;
  a.Incarnation = w.Net.Vms[vm].Incarnation;
  a.State.Digest = std::move(digest);
  a.State.By = by;
  a.State.Attempt = std::to_string(w.Approvals.size());
  a.State.GiveUp = w.Net.Now + ApprovalBound;
  return w.Approvals.size() - 1;
}

void killVm(BundleWorld &w, std::size_t vm) {
  kill(w.Net, vm);
  w.Extras[vm] = {};
}

void restartVm(BundleWorld &w, std::size_t vm) {
  restart(w.Net, vm);
  VmExtras &x = w.Extras[vm];
  x = {};
  x.Floor = highestPeer(w, vm);
  if (mayRead(w))
    x.Floor = std::max(x.Floor, w.Table.Head.Head.Version);
}

void run(BundleWorld &w, Duration len) {
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

std::uint64_t versionAt(const BundleWorld &w, std::size_t vm) {
  return w.Net.Vms[vm].State.InForce.Version;
}

std::string faultOf(const BundleWorld &w) {
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
        a.Why.Code != ErrorCode::TimedOut && recorded)
      return "an approval that was refused took effect";
  }
  return {};
}

} // namespace zinniagauge::testing
