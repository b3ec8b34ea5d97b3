#include "support/bundle_verbs.h"

#include "support/bundle_simulation.h"

#include <algorithm>
#include <array>
#include <utility>

namespace zinniagauge::testing {

namespace {

constexpr Duration StepEvery = std::chrono::milliseconds(100);

/// The scene of one scenario; its world runs on the scenario's time.
struct BundleScene {
  BundleSimulation World;
  std::map<std::string, std::size_t> Approvals; // By the proposal's name.
  Time LastStep = Time::max();                  // The far future: no VMs yet.
};

Error notThere(const std::string &what) {
  return {ErrorCode::NotFound, Step::Receive, {}, "no such " + what};
}

Result<std::size_t> vmAt(const BundleScene &s, const ScenarioLine &line,
                         std::size_t n) {
  BOOST_LEAF_AUTO(name, wordAt(line, n));
  const auto &vms = s.World.Net.Vms;
  const auto it = std::find_if(vms.begin(), vms.end(), [&](const FakeVm &vm) {
    return vm.Name == name;
  });
  if (it == vms.end())
    return fail(notThere("VM: " + name));
  return static_cast<std::size_t>(it - vms.begin());
}

Result<void> onVms(World &w, const ScenarioLine &line) {
  auto &s = stateOf<BundleScene>(w);
  addVms(s.World, line.Words);
  s.LastStep = w.Now;
  return {};
}

Result<void> onApprove(World &w, const ScenarioLine &line) {
  auto &s = stateOf<BundleScene>(w);
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  BOOST_LEAF_AUTO(vm, vmAt(s, line, 1));
  s.Approvals[name] = startApproval(s.World, vm, name, name);
  return {};
}

Result<void> onStore(World &w, const ScenarioLine &line) {
  constexpr std::array<std::string_view, 4> Names = {
      "up", "out", "loses-answers", "acts-late"};
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  const auto *it = std::find(Names.begin(), Names.end(), name);
  if (it == Names.end())
    return fail(notThere("state of the store: " + name));
  setTable(stateOf<BundleScene>(w).World,
           static_cast<TableMode>(it - Names.begin()));
  return {};
}

template <typename Fn> VerbFn onVm(Fn fn) {
  return [fn](World &w, const ScenarioLine &line) -> Result<void> {
    auto &s = stateOf<BundleScene>(w);
    BOOST_LEAF_AUTO(vm, vmAt(s, line, 0));
    fn(s.World, vm);
    return {};
  };
}

VerbFn onLink(bool cut) {
  return [cut](World &w, const ScenarioLine &line) -> Result<void> {
    auto &s = stateOf<BundleScene>(w);
    BOOST_LEAF_AUTO(a, vmAt(s, line, 0));
    BOOST_LEAF_AUTO(b, vmAt(s, line, 1));
    setLink(s.World, a, b, cut);
    return {};
  };
}

std::string endOf(const Approval &a) {
  if (a.Stage == ApprovalStage::Done)
    return "accepted";
  if (a.Stage == ApprovalStage::Refused)
    return std::string(toString(a.Failure.Code));
  return "running";
}

Result<void> onExpectApproval(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScene>(w);
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  BOOST_LEAF_AUTO(wanted, wordAt(line, 1));
  const auto it = s.Approvals.find(name);
  if (it == s.Approvals.end())
    return fail(notThere("approval: " + name));
  const std::string end = endOf(s.World.Approvals[it->second].State);
  return expect(end == wanted, "it is " + end);
}

Result<void> onExpectInForce(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScene>(w);
  const std::uint64_t wanted = numberOf(line, "version");
  for (std::size_t n = 0; n < line.Words.size(); ++n) {
    BOOST_LEAF_AUTO(vm, vmAt(s, line, n));
    const std::uint64_t has = activeVersionAt(s.World, vm);
    BOOST_LEAF_CHECK(expect(has == wanted, line.Words[n] + " has version " +
                                               std::to_string(has)));
  }
  return {};
}

Result<void> onExpectReady(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScene>(w);
  BOOST_LEAF_AUTO(vm, vmAt(s, line, 0));
  const bool ready = s.World.VmStates[vm].Ready;
  return expect(ready == isYes(line, "ready", true),
                ready ? "it is ready" : "it is not ready");
}

Result<void> onExpectHead(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScene>(w);
  const std::uint64_t has = s.World.Table.Head.Head.Version;
  BOOST_LEAF_CHECK(expect(has == numberOf(line, "version"),
                          "the head is version " + std::to_string(has)));
  const std::string fault = findViolation(s.World);
  return expect(fault.empty(), fault);
}

/// The world steps by itself, every 100 ms of the scenario's time.
ClockHook stepHook() {
  return {[](World &w) {
            const Time last = stateOf<BundleScene>(w).LastStep;
            return last == Time::max() ? last : last + StepEvery;
          },
          [](World &w) {
            auto &s = stateOf<BundleScene>(w);
            run(s.World, StepEvery);
            s.LastStep = w.Now;
          }};
}

} // namespace

void addBundleVerbs(VerbTable &t) {
  t.Verbs["vms"] = onVms;
  t.Verbs["approve"] = onApprove;
  t.Verbs["store"] = onStore;
  t.Verbs["kill-vm"] = onVm(killVm);
  t.Verbs["restart-vm"] = onVm(restartVm);
  t.Verbs["cut"] = onLink(true);
  t.Verbs["join"] = onLink(false);
  t.Verbs["expect-approval"] = onExpectApproval;
  t.Verbs["expect-in-force"] = onExpectInForce;
  t.Verbs["expect-ready"] = onExpectReady;
  t.Verbs["expect-head"] = onExpectHead;
  t.Hooks.push_back(stepHook());
}

} // namespace zinniagauge::testing
