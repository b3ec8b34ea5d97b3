// Implements the in-memory network of the tests.
#include "support/fake_net.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>

namespace zinniagauge {

namespace {

constexpr Duration StepPeriod = std::chrono::milliseconds(100);

std::string addressOf(const std::string &name) { return name + ":1"; }

Member memberOf(const FakeVm &vm) {
  Member m;
  m.Name = vm.Name;
  m.Id = VmId::of(vm.Name);
  m.ZoneName = vm.Zone;
  m.Zone = ZoneId::of(vm.Zone);
  m.EntryAddress = vm.Name + ":2";
  m.AgentAddress = addressOf(vm.Name);
  m.Incarnation = vm.Incarnation;
  return m;
}

void start(FakeNet &net, FakeVm &vm) {
  std::vector<std::string> seeds;
  for (const FakeVm &other : net.Vms)
    seeds.push_back(addressOf(other.Name));
  vm.State =
      startExchange(memberOf(vm), seeds, nextRandom(net.Random), net.Now);
  vm.Running = true;
}

bool chance(FakeNet &net, std::uint32_t permille) {
  return randomBelow(net.Random, 1000) < permille;
}

void send(FakeNet &net, FakeMessage msg) {
  if (net.Link.Blocked.contains({msg.From, msg.To}) ||
      chance(net, net.Link.DropPermille))
    return;
  const bool twice = chance(net, net.Link.DuplicatePermille);
  const auto maxdelay = static_cast<std::size_t>(net.Link.MaxDelay.count());
  msg.ArrivesAt = net.Now + Duration(randomBelow(net.Random, maxdelay + 1));
  if (twice)
    net.InFlight.push_back(msg);
  net.InFlight.push_back(std::move(msg));
}

void activateReceived(FakeNet &net, FakeVm &vm,
                      const ExchangeUpdates &updates) {
  if (!updates.NewBundle)
    return;
  activateBundle(vm.State, net.Bundles.at(updates.NewBundle->Version));
  const std::uint64_t active = vm.State.ActiveBundle.Version;
  check(Invariant::VersionRises, active >= vm.HighestBundleVersion);
  vm.HighestBundleVersion = active;
}

void receive(FakeNet &net, const FakeMessage &msg) {
  FakeVm &vm = net.Vms[msg.To];
  if (!vm.Running)
    return;
  ExchangeUpdates updates;
  if (msg.Phase == ExchangePhase::Response) {
    auto push = handleExchangeResponse(vm.State, msg.Content, net.Now, updates);
    if (push)
      send(net,
           {{}, msg.To, msg.From, ExchangePhase::FollowUp, std::move(*push)});
  } else {
    ExchangeMessage resp =
        handleExchangeRequest(vm.State, msg.Content, net.Now, updates);
    if (msg.Phase == ExchangePhase::Request)
      send(net,
           {{}, msg.To, msg.From, ExchangePhase::Response, std::move(resp)});
  }
  activateReceived(net, vm, updates);
}

/// Delivers the messages that are due. Messages to a paused VM are delivered
/// when it resumes.
void deliver(FakeNet &net) {
  std::vector<FakeMessage> due;
  std::erase_if(net.InFlight, [&](FakeMessage &msg) {
    const bool now =
        msg.ArrivesAt <= net.Now && net.Vms[msg.To].PausedUntil <= net.Now;
    if (now)
      due.push_back(std::move(msg));
    return now;
  });
  std::stable_sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
    return a.ArrivesAt < b.ArrivesAt;
  });
  for (const FakeMessage &msg : due)
    receive(net, msg);
}

void stepVm(FakeNet &net, std::size_t n) {
  std::vector<ExchangeTarget> targets;
  FakeVm &vm = net.Vms[n];
  step(vm.State, net.Now, targets);
  for (const ExchangeTarget &t : targets) {
    const auto it =
        std::find_if(net.Vms.begin(), net.Vms.end(), [&](const auto &other) {
          return addressOf(other.Name) == t.Address;
        });
    if (it == net.Vms.end())
      continue;
    send(net, {{},
               n,
               static_cast<std::size_t>(it - net.Vms.begin()),
               ExchangePhase::Request,
               makeExchangeRequest(vm.State, t.Zone, net.Now)});
  }
}

} // namespace

void addVm(FakeNet &net, const std::string &name, const std::string &zone) {
  FakeVm &vm = net.Vms.emplace_back();
  vm.Name = name;
  vm.Zone = zone;
  start(net, vm);
}

void kill(FakeNet &net, std::size_t n) {
  net.Vms[n].Running = false;
  net.Vms[n].HighestBundleVersion = 0;
}

void restart(FakeNet &net, std::size_t n) {
  ++net.Vms[n].Incarnation;
  start(net, net.Vms[n]);
}

void pause(FakeNet &net, std::size_t n, Duration len) {
  net.Vms[n].PausedUntil = net.Now + len;
}

void setBlocked(FakeNet &net, std::size_t a, std::size_t b, bool blocked) {
  for (const auto &pair : {std::pair(a, b), std::pair(b, a)}) {
    if (blocked)
      net.Link.Blocked.insert(pair);
    else
      net.Link.Blocked.erase(pair);
  }
}

void run(FakeNet &net, Duration len) {
  const Time end = net.Now + len;
  while (net.Now < end) {
    net.Now += StepPeriod;
    deliver(net);
    for (std::size_t n = 0; n < net.Vms.size(); ++n)
      if (net.Vms[n].Running && net.Vms[n].PausedUntil <= net.Now)
        stepVm(net, n);
  }
}

MemberState stateOf(const FakeNet &net, std::size_t n, std::size_t of) {
  const MemberList list = publishMembers(net.Vms[n].State.Members, net.Now);
  const VmId id = VmId::of(net.Vms[of].Name);
  const auto it = std::find_if(list.Members.begin(), list.Members.end(),
                               [&](const Member &m) { return m.Id == id; });
  return it == list.Members.end() ? MemberState::Dead : it->State;
}

void activateBundleAt(FakeNet &net, std::size_t n, const Bundle &b) {
  net.Bundles.insert_or_assign(b.Version, b);
  activateBundle(net.Vms[n].State, b);
  net.Vms[n].HighestBundleVersion = std::max(
      net.Vms[n].HighestBundleVersion, net.Vms[n].State.ActiveBundle.Version);
}

void activateBundleEverywhere(FakeNet &net, const Bundle &b) {
  for (std::size_t n = 0; n < net.Vms.size(); ++n)
    activateBundleAt(net, n, b);
}

} // namespace zinniagauge
