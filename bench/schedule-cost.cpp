// Measures the time and memory that the scheduler needs for a ticket, by number
// of endpoints and of queued tickets, with 4,200 workspaces. docs/CAPACITY.md
// derives its slopes from the results.
#include "zinniagauge/zinniagauge.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <random>

using namespace zinniagauge;

namespace {

constexpr std::uint64_t WorkspaceCount = 4200;
constexpr std::uint64_t PrefixCount = 2000;
constexpr std::uint32_t SlotsPerEndpoint = 16;
constexpr std::uint64_t MeasuredTickets = 200'000;
constexpr Time Start{std::chrono::seconds(1000)};

/// A pool of endpoints, its scheduler and the grants that are not yet returned.
struct Load {
  Bundle Config;
  EndpointList Endpoints;
  MoveList Moves;
  Scheduler Sched;
  Time Now = Start;
  std::vector<Grant> OpenGrants;
  std::uint64_t NextRequest = 1;
  std::mt19937_64 Rnd{1};
};

void makeBundle(Load &load, std::size_t endpoints) {
  for (std::uint64_t n = 1; n <= endpoints; ++n) {
    EndpointSpec ep;
    ep.Id = EndpointId{n};
    ep.Pool = PoolId{1};
    ep.Slots = SlotsPerEndpoint;
    ep.TokenLimit = SlotsPerEndpoint * 1000;
    ep.TokensPerSecond = 100 * SlotsPerEndpoint;
    load.Config.Endpoints.push_back(ep);
    EndpointState st;
    st.Id = ep.Id;
    st.Load = LoadReport{Start, 0, 0, 0};
    load.Endpoints.Endpoints.push_back(st);
  }
  for (std::uint64_t n = 1; n <= WorkspaceCount; ++n)
    load.Config.Workspaces.push_back({"", WorkspaceId{n}, {}, 1, {}});
  load.Config.Version = 1;
  indexBundle(load.Config);
  load.Sched.Pool = PoolId{1};
  load.Sched.Policy.MaxQueued = 100'000;
  load.Sched.Policy.ExpiryMargin = std::chrono::hours(1);
}

void submitTicket(Load &load, std::uint64_t prefix) {
  Ticket t;
  t.Attempt = {{1, load.NextRequest++}, 1};
  t.Pool = PoolId{1};
  t.Workspace = WorkspaceId{1 + load.Rnd() % WorkspaceCount};
  t.Rank.Rank = static_cast<std::uint8_t>(load.Rnd() % 4);
  t.PromptTokens = 100 + static_cast<std::uint32_t>(load.Rnd() % 500);
  t.OutputTokens = 50 + static_cast<std::uint32_t>(load.Rnd() % 300);
  t.PrefixHash = prefix;
  t.TimeLeft = std::chrono::hours(1);
  enqueue(load.Sched, t, load.Now);
}

std::uint64_t randomPrefix(Load &load) { return 1 + load.Rnd() % PrefixCount; }

void run(Load &load) {
  ScheduleActions out;
  step(load.Sched, {load.Config, load.Endpoints, load.Moves}, load.Now, out);
  load.OpenGrants.insert(load.OpenGrants.end(), out.Grants.begin(),
                         out.Grants.end());
}

void returnOne(Load &load) {
  if (load.OpenGrants.empty())
    return;
  std::swap(load.OpenGrants[load.Rnd() % load.OpenGrants.size()],
            load.OpenGrants.back());
  const Grant g = load.OpenGrants.back();
  load.OpenGrants.pop_back();
  GrantReturn ret;
  ret.Id = g.Id;
  ret.Attempt = g.Attempt;
  ret.Endpoint = g.Endpoint;
  ret.PromptTokens = 200;
  ret.OutputTokens = 100;
  ret.CachedTokens = 50;
  ret.FirstTokenTime = std::chrono::milliseconds(50);
  ret.TotalTime = std::chrono::seconds(1);
  ret.Dispatched = true;
  returnGrant(load.Sched, ret, load.Now);
}

/// Submits one ticket and returns one grant, each followed by a step, after
/// moving the clock on by the time between two tickets at \p rate tickets per
/// second.
void cycle(Load &load, std::uint64_t rate) {
  load.Now += Duration(std::chrono::seconds(1)) / rate;
  submitTicket(load, randomPrefix(load));
  run(load);
  returnOne(load);
  run(load);
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

/// Submits tickets until all endpoints are full and a few tickets wait.
void fill(Load &load) {
  constexpr std::size_t MinWaiting = 200;
  while (size(load.Sched.Queue) < MinWaiting) {
    submitTicket(load, 0);
    run(load);
  }
}

void measure(std::size_t endpoints, std::size_t queued) {
  constexpr std::uint64_t DesignRate = 6800; // Tickets per second.
  Load load;
  makeBundle(load, endpoints);
  run(load);
  fill(load);
  const std::size_t before = heapBytes();
  const std::size_t waiting = size(load.Sched.Queue);
  while (size(load.Sched.Queue) < queued)
    submitTicket(load, randomPrefix(load));
  const std::size_t after = heapBytes();
  run(load);
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t n = 0; n < MeasuredTickets; ++n)
    cycle(load, DesignRate);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  const double nanos = took.count() / MeasuredTickets;
  std::printf("%9zu %7zu %12.0f %10.0f %14.0f %8zu %7zu\n", endpoints, queued,
              nanos, 1e9 / nanos,
              static_cast<double>(after - before) /
                  static_cast<double>(queued - waiting),
              load.OpenGrants.size(), size(load.Sched.Queue));
}

} // namespace

int main() {
  std::printf("a ticket: enqueue, step, return, step; %llu workspaces\n"
              "%9s %7s %12s %10s %14s %8s %7s\n",
              static_cast<unsigned long long>(WorkspaceCount), "endpoints",
              "queued", "ns a ticket", "a second", "bytes a queued", "open",
              "waiting");
  for (const std::size_t endpoints : {10U, 100U, 1700U})
    for (const std::size_t queued : {1000U, 10'000U})
      measure(endpoints, queued);
  return 0;
}
