// What a ticket costs the scheduler in time and memory, for the slopes of
// docs/CAPACITY.md: by endpoints and by queued tickets, with 4,200 workspaces.
#include "zinniagauge/zinniagauge.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <random>

using namespace zinniagauge;

namespace {

constexpr std::uint64_t WorkspaceCount = 4200;
constexpr std::uint64_t PrefixCount = 2000;
constexpr std::uint32_t SlotsOfEndpoint = 16;
constexpr std::uint64_t Measured = 200'000; // Tickets.
constexpr Time Start{std::chrono::seconds(1000)};

/// A pool of full endpoints with \p queued tickets waiting.
struct Load {
  Bundle Config;
  EndpointList Endpoints;
  MoveList Moves;
  Scheduler Sched;
  Time Now = Start;
  std::vector<Grant> Open;
  std::uint64_t Next = 1;
  std::mt19937_64 Rnd{1};
};

void makeBundle(Load &load, std::size_t endpoints) {
  for (std::uint64_t n = 1; n <= endpoints; ++n) {
    EndpointSpec ep;
    ep.Id = EndpointId{n};
    ep.Pool = PoolId{1};
    ep.Slots = SlotsOfEndpoint;
    ep.TokenLimit = SlotsOfEndpoint * 1000;
    ep.TokensPerSecond = 100 * SlotsOfEndpoint;
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

void ask(Load &load, std::uint64_t prefix) {
  Ticket t;
  t.Attempt = {{1, load.Next++}, 1};
  t.Pool = PoolId{1};
  t.Workspace = WorkspaceId{1 + load.Rnd() % WorkspaceCount};
  t.Rank.Rank = static_cast<std::uint8_t>(load.Rnd() % 4);
  t.PromptTokens = 100 + static_cast<std::uint32_t>(load.Rnd() % 500);
  t.OutputTokens = 50 + static_cast<std::uint32_t>(load.Rnd() % 300);
  t.PrefixHash = prefix;
  t.TimeLeft = std::chrono::hours(1);
  enqueue(load.Sched, t, load.Now);
}

std::uint64_t anyPrefix(Load &load) { return 1 + load.Rnd() % PrefixCount; }

void run(Load &load) {
  ScheduleActions out;
  step(load.Sched, {load.Config, load.Endpoints, load.Moves}, load.Now, out);
  load.Open.insert(load.Open.end(), out.Grants.begin(), out.Grants.end());
}

void returnOne(Load &load) {
  if (load.Open.empty())
    return;
  std::swap(load.Open[load.Rnd() % load.Open.size()], load.Open.back());
  const Grant g = load.Open.back();
  load.Open.pop_back();
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

/// One ticket comes and one grant is returned, each followed by a step, and
/// the clock moves on as at the design rate.
void cycle(Load &load, std::uint64_t rate) {
  load.Now += Duration(std::chrono::seconds(1)) / rate;
  ask(load, anyPrefix(load));
  run(load);
  returnOne(load);
  run(load);
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

/// Asks until all endpoints are full and a few tickets wait.
void fill(Load &load) {
  constexpr std::size_t Few = 200;
  while (size(load.Sched.Queue) < Few) {
    ask(load, 0);
    run(load);
  }
}

void measure(std::size_t endpoints, std::size_t queued) {
  constexpr std::uint64_t DesignRate = 6800; // Tickets a second.
  Load load;
  makeBundle(load, endpoints);
  run(load);
  fill(load);
  const std::size_t before = heapBytes();
  const std::size_t waiting = size(load.Sched.Queue);
  while (size(load.Sched.Queue) < queued)
    ask(load, anyPrefix(load));
  const std::size_t after = heapBytes();
  run(load);
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t n = 0; n < Measured; ++n)
    cycle(load, DesignRate);
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  const double nanos = took.count() / Measured;
  std::printf("%9zu %7zu %12.0f %10.0f %14.0f %8zu %7zu\n", endpoints, queued,
              nanos, 1e9 / nanos,
              static_cast<double>(after - before) /
                  static_cast<double>(queued - waiting),
              load.Open.size(), size(load.Sched.Queue));
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
