#include "support/bundle_verbs.h"

#include "support/bundle_simulation.h"

#include <algorithm>
#include <array>
#include <utility>

namespace zinniagauge::testing {

namespace {

constexpr Duration StepPeriod = std::chrono::milliseconds(100);

/// The state of one scenario. Its simulation runs on the scenario's time.
struct BundleScenario {
  BundleSimulation Simulation;
  std::map<std::string, std::size_t> Approvals; // By the name of the proposal.
  Time LastStep = Time::max();                  // Time::max() until VMs exist.
};

Error notFound(const std::string &what) {
  return {ErrorCode::NotFound, Step::Receive, {}, "no such " + what};
}

Result<std::size_t> vmAt(const BundleScenario &s, const ScenarioLine &line,
                         std::size_t n) {
  BOOST_LEAF_AUTO(name, wordAt(line, n));
  const auto &vms = s.Simulation.Net.Vms;
  const auto it = std::find_if(vms.begin(), vms.end(), [&](const FakeVm &vm) {
    return vm.Name == name;
  });
  if (it == vms.end())
    return fail(notFound("VM: " + name));
  return static_cast<std::size_t>(it - vms.begin());
}

Result<void> onVms(World &w, const ScenarioLine &line) {
  auto &s = stateOf<BundleScenario>(w);
  addVms(s.Simulation, line.Words);
  s.LastStep = w.Now;
  return {};
}

Result<void> onApprove(World &w, const ScenarioLine &line) {
  auto &s = stateOf<BundleScenario>(w);
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  BOOST_LEAF_AUTO(vm, vmAt(s, line, 1));
  s.Approvals[name] = startApproval(s.Simulation, vm, name, name);
  return {};
}

Result<void> onStore(World &w, const ScenarioLine &line) {
  constexpr std::array<std::string_view, 4> Names = {
      "up", "out", "loses-answers", "acts-late"};
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  const auto *it = std::find(Names.begin(), Names.end(), name);
  if (it == Names.end())
    return fail(notFound("state of the store: " + name));
  setTable(stateOf<BundleScenario>(w).Simulation,
           static_cast<TableMode>(it - Names.begin()));
  return {};
}

template <typename Fn> VerbFn onVm(Fn fn) {
  return [fn](World &w, const ScenarioLine &line) -> Result<void> {
    auto &s = stateOf<BundleScenario>(w);
    BOOST_LEAF_AUTO(vm, vmAt(s, line, 0));
    fn(s.Simulation, vm);
    return {};
  };
}

VerbFn onLink(bool cut) {
  return [cut](World &w, const ScenarioLine &line) -> Result<void> {
    auto &s = stateOf<BundleScenario>(w);
    BOOST_LEAF_AUTO(a, vmAt(s, line, 0));
    BOOST_LEAF_AUTO(b, vmAt(s, line, 1));
    setLink(s.Simulation, a, b, cut);
    return {};
  };
}

std::string resultOf(const Approval &a) {
  if (a.Stage == ApprovalStage::Done)
    return "accepted";
  if (a.Stage == ApprovalStage::Refused)
    return std::string(toString(a.Failure.Code));
  return "running";
}

Result<void> onExpectApproval(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScenario>(w);
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  BOOST_LEAF_AUTO(expected, wordAt(line, 1));
  const auto it = s.Approvals.find(name);
  if (it == s.Approvals.end())
    return fail(notFound("approval: " + name));
  const std::string end = resultOf(s.Simulation.Approvals[it->second].State);
  return expect(end == expected, "it is " + end);
}

Result<void> onExpectInForce(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScenario>(w);
  const std::uint64_t expected = numberOf(line, "version");
  for (std::size_t n = 0; n < line.Words.size(); ++n) {
    BOOST_LEAF_AUTO(vm, vmAt(s, line, n));
    const std::uint64_t actual = activeVersionAt(s.Simulation, vm);
    BOOST_LEAF_CHECK(
        expect(actual == expected,
               line.Words[n] + " has version " + std::to_string(actual)));
  }
  return {};
}

Result<void> onExpectReady(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScenario>(w);
  BOOST_LEAF_AUTO(vm, vmAt(s, line, 0));
  const bool ready = s.Simulation.VmStates[vm].Ready;
  return expect(ready == isYes(line, "ready", true),
                ready ? "it is ready" : "it is not ready");
}

Result<void> onExpectHead(World &w, const ScenarioLine &line) {
  const auto &s = stateOf<BundleScenario>(w);
  const std::uint64_t actual = s.Simulation.Table.Head.Head.Version;
  BOOST_LEAF_CHECK(expect(actual == numberOf(line, "version"),
                          "the head is version " + std::to_string(actual)));
  const std::string fault = findViolation(s.Simulation);
  return expect(fault.empty(), fault);
}

/// Steps the simulation every 100 ms of the scenario's time.
ClockHook stepHook() {
  return {[](World &w) {
            const Time last = stateOf<BundleScenario>(w).LastStep;
            return last == Time::max() ? last : last + StepPeriod;
          },
          [](World &w) {
            auto &s = stateOf<BundleScenario>(w);
            run(s.Simulation, StepPeriod);
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
