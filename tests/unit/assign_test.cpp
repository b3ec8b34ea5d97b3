// Tests of the assignment of scheduling roles to VMs.
#include "zinniagauge/zinniagauge.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace zinniagauge;

namespace {

Member vm(std::string_view name, std::string_view zone) {
  Member m;
  m.Name = name;
  m.Id = VmId::of(name);
  m.Zone = ZoneId::of(zone);
  return m;
}

} // namespace

TEST_CASE("a VM of the zone holds its role, one of another zone takes over",
          "[assign]") {
  std::vector<Member> all = {vm("a", "split"), vm("b", "hvar"),
                             vm("c", "hvar")};
  const SchedulerRole role{ZoneId::of("split"), PoolId::of("dossier")};
  CHECK(schedulerFor(all, role)->Name == "a");
  all[0].State = MemberState::Leaving;
  CHECK(schedulerFor(all, role)->Zone == ZoneId::of("hvar"));
  all[1].State = MemberState::Dead;
  all[2].State = MemberState::Dead;
  CHECK(schedulerFor(all, role) == nullptr);
}

TEST_CASE("losing a VM moves only its own roles", "[assign]") {
  std::vector<Member> all;
  for (char c = 'a'; c < 'k'; ++c)
    all.push_back(vm(std::string(1, c), "z"));
  std::map<std::uint32_t, std::string> before;
  for (std::uint32_t n = 0; n < 200; ++n)
    before[n] = schedulerFor(all, {ZoneId::of("z"), PoolId::of("p"), n})->Name;
  all[3].State = MemberState::Dead;
  for (std::uint32_t n = 0; n < 200; ++n) {
    const auto *m = schedulerFor(all, {ZoneId::of("z"), PoolId::of("p"), n});
    CHECK((before[n] == "d" || before[n] == m->Name));
  }
}

TEST_CASE("an unreachable VM is not chosen for a role", "[assign]") {
  const std::vector<Member> all = {vm("a", "z"), vm("b", "z"), vm("c", "y")};
  const SchedulerRole role{ZoneId::of("z"), PoolId::of("p")};
  const VmId first = schedulerFor(all, role)->Id;
  std::vector<VmId> unreachable = {first};
  const Member *next = schedulerFor(all, role, unreachable);
  CHECK(next->Id != first);
  CHECK(next->Zone == ZoneId::of("z"));
  unreachable.push_back(next->Id);
  CHECK(schedulerFor(all, role, unreachable)->Name == "c");
  unreachable.push_back(VmId::of("c"));
  CHECK(schedulerFor(all, role, unreachable) == nullptr);
}
