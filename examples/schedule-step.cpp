// Runs one step of a scheduler in simulated time. Of three tickets, the one of
// the highest tier gets the only slot. Usage: schedule-step

#include "zinniagauge/decide/schedule.h"

#include <cstdio>

using namespace zinniagauge;

namespace {

/// A bundle with one pool, whose only engine has one slot.
Bundle oneSlot() {
  Bundle b;
  b.Version = 1;
  PoolSpec pool;
  pool.Name = "surtitle";
  pool.Id = PoolId::of(pool.Name);
  b.Pools.push_back(pool);
  EndpointSpec ep;
  ep.Name = "surtitle-1";
  ep.Id = EndpointId::of(ep.Name);
  ep.Pool = pool.Id;
  ep.Slots = 1;
  ep.TokenLimit = 1000;
  ep.TokensPerSecond = 100;
  b.Endpoints.push_back(ep);
  indexBundle(b);
  return b;
}

Ticket ticketOf(std::uint64_t request, std::uint8_t rank) {
  Ticket t;
  t.Attempt = {{0, request}, 1};
  t.Pool = PoolId::of("surtitle");
  t.Rank = Tier{rank};
  t.PromptTokens = 50;
  t.OutputTokens = 20;
  t.TimeLeft = std::chrono::seconds(30);
  return t;
}

} // namespace

int main() {
  const Bundle bundle = oneSlot();
  const EndpointList endpoints;
  const MoveList moves;
  const Time start(std::chrono::seconds(1));
  Scheduler sched;
  sched.Pool = PoolId::of("surtitle");
  enqueue(sched, ticketOf(1, 3), start);
  enqueue(sched, ticketOf(2, 0), start);
  enqueue(sched, ticketOf(3, 1), start);
  ScheduleActions out;
  step(sched, {bundle, endpoints, moves}, start, out);
  for (const Grant &g : out.Grants)
    std::printf("granted: request %llu\n",
                static_cast<unsigned long long>(g.Attempt.Request.Low));
  std::printf("%zu grants, %zu refusals; the rest waits\n", out.Grants.size(),
              out.Refusals.size());
  return out.Grants.empty() ? 1 : 0;
}
