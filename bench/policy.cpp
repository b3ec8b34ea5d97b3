// Goodput of the scheduling policy on simulated time, against two baselines
// and with parts of the policy switched off. Fixed seeds: each run prints the
// same figures. `policy NAME` runs only the ways whose names start with NAME.
#include "traffic.h"

#include <cstdio>
#include <cstring>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>

using namespace zinniagauge;
using namespace zinniagauge::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Tick = milliseconds(5);
constexpr Duration WarmUp = seconds(30);
constexpr Duration Measured = seconds(120);
constexpr Duration Tail = seconds(120); // The longest deadline.
constexpr Duration ReportEvery = milliseconds(500);
constexpr Duration ReportLag = milliseconds(400);
constexpr std::uint32_t Entries = 6;
constexpr Time Start{seconds(1000)};
constexpr std::array<std::uint64_t, 3> Seeds = {1, 2, 3};
constexpr double SlowFactor = 0.1;

enum class Way { Scheduled, RoundRobin, LeastLoaded };

/// One run's settings.
struct RunSpec {
  const char *Name;
  Way How = Way::Scheduled;
  SchedulePolicy Policy = {};
  bool SlowOne = false;
};

struct KindResult {
  double Offered = 0; // Work.
  double Good = 0;
  std::uint64_t Late = 0; // Begun, and not done in time.
};

struct RunResult {
  std::vector<KindResult> Kinds;
  double Total = 0;  // Good work a second.
  double Wasted = 0; // Of the tokens of prompts that were begun.
  double SmallWait = 0;
  ScheduleCounts Counts;
};

struct Sim {
  const Mix &Traffic;
  const RunSpec &Spec;
  Time Now = Start;
  std::mt19937_64 Rnd = {};
  std::deque<Job> Jobs = {};
  std::vector<Engine> Engines = {};
  PrefillCounts Prefill = {};
  std::vector<double> SmallWaits = {}; // Seconds.
  RunResult Result = {};

  // Scheduled.
  Bundle Config = {};
  EndpointList States = {};
  MoveList Moves = {};
  Scheduler Sched = {};

  // Baselines: each entry's own counts and queues.
  std::size_t NextEngine = 0;
  std::vector<std::vector<std::uint32_t>> OwnInFlight = {};
  std::vector<std::array<std::deque<Job *>, 3>> OwnQueue = {};
};

EndpointId idOf(std::size_t engine) { return EndpointId{engine + 1}; }

void makeEngines(Sim &sim) {
  for (std::size_t gen = 0; gen < sim.Traffic.Engines.size(); ++gen)
    for (std::size_t n = 0; n < sim.Traffic.Engines[gen]; ++n) {
      Engine eng;
      eng.Spec = engineOf(gen);
      sim.Engines.push_back(std::move(eng));
    }
  sim.OwnInFlight.assign(Entries,
                         std::vector<std::uint32_t>(sim.Engines.size()));
  sim.OwnQueue.resize(Entries);
}

/// The bundle states the same speed for all generations: it has to be learnt.
void makeBundle(Sim &sim) {
  for (std::size_t n = 0; n < sim.Engines.size(); ++n) {
    const EngineSpec &spec = sim.Engines[n].Spec;
    EndpointSpec ep;
    ep.Id = idOf(n);
    ep.Pool = PoolId{1};
    ep.Slots = spec.Slots;
    ep.TokenLimit = spec.TokenLimit;
    ep.TokensPerSecond =
        static_cast<std::uint32_t>(ReferenceTokens * spec.Slots);
    sim.Config.Endpoints.push_back(ep);
    sim.States.Endpoints.push_back({ep.Id, false, false, 0, {}, {}});
  }
  for (std::size_t n = 0; n < WorkspaceWeights.size(); ++n)
    sim.Config.Workspaces.push_back(
        {"", WorkspaceId{n + 1}, {}, WorkspaceWeights[n], {}});
  sim.Config.Version = 1;
  indexBundle(sim.Config);
  sim.Sched.Pool = PoolId{1};
  sim.Sched.Policy = sim.Spec.Policy;
}

AttemptId attemptOf(const Job &job) { return {{1, job.Index}, 1}; }

void sendTo(Sim &sim, Job &job, std::size_t engine) {
  job.Engine = engine;
  submit(sim.Engines[engine], job, sim.Now);
}

void ask(Sim &sim, const Job &job) {
  Ticket t;
  t.Attempt = attemptOf(job);
  t.Pool = PoolId{1};
  t.Workspace = job.Workspace;
  t.Rank = job.Rank;
  t.PromptTokens = job.Prompt;
  t.OutputTokens = job.Estimate;
  t.PrefixHash = job.PrefixHash;
  t.TimeLeft = job.Deadline - sim.Now;
  enqueue(sim.Sched, t, sim.Now);
}

void stepScheduler(Sim &sim) {
  ScheduleActions out;
  step(sim.Sched, {sim.Config, sim.States, sim.Moves}, sim.Now, out);
  for (const Grant &g : out.Grants) {
    Job &job = sim.Jobs[g.Attempt.Request.Low];
    job.Granted = g.Id;
    sendTo(sim, job, g.Endpoint.Value - 1);
    // The entry reports grants in use; here it does so at once and for good.
    sim.Sched.Policy.AnnouncedTtl = std::chrono::hours(1);
    announce(sim.Sched, g, VmId{1}, sim.Now);
  }
}

void returnGrant(Sim &sim, const Job &job) {
  GrantReturn ret;
  ret.Id = job.Granted;
  ret.Attempt = attemptOf(job);
  ret.Endpoint = idOf(job.Engine);
  ret.PromptTokens = job.Prompt;
  ret.OutputTokens = job.Output;
  ret.CachedTokens = job.Cached;
  ret.FirstTokenTime = job.FirstToken - job.SentAt;
  ret.TotalTime = sim.Now - job.SentAt;
  ret.Dispatched = true;
  returnGrant(sim.Sched, ret, sim.Now);
}

double loadOf(const Sim &sim, std::uint32_t entry, std::size_t engine) {
  const Engine &eng = sim.Engines[engine];
  const double seen =
      std::max<double>(eng.Visible.Running + eng.Visible.Waiting,
                       sim.OwnInFlight[entry][engine]);
  return (seen + sim.OwnInFlight[entry][engine]) / eng.Spec.Slots;
}

/// An entry alone: the least loaded engine by its own counts and the reports,
/// with at most the engine's slots in flight from this entry.
bool sendLeastLoaded(Sim &sim, Job &job) {
  std::size_t best = sim.Engines.size();
  for (std::size_t n = 0; n < sim.Engines.size(); ++n) {
    if (sim.OwnInFlight[job.Entry][n] >= sim.Engines[n].Spec.Slots)
      continue;
    if (best == sim.Engines.size() ||
        loadOf(sim, job.Entry, n) < loadOf(sim, job.Entry, best))
      best = n;
  }
  if (best == sim.Engines.size())
    return false;
  ++sim.OwnInFlight[job.Entry][best];
  sendTo(sim, job, best);
  return true;
}

void stepEntries(Sim &sim) {
  for (auto &tiers : sim.OwnQueue)
    for (auto &queue : tiers)
      while (!queue.empty()) {
        Job *job = queue.front();
        if (job->Deadline > sim.Now && !sendLeastLoaded(sim, *job))
          return;
        queue.pop_front();
      }
}

void arrive(Sim &sim, std::size_t kind) {
  Job &job = sim.Jobs.emplace_back(draw(sim.Traffic, kind, sim.Rnd));
  job.Index = sim.Jobs.size() - 1;
  job.Arrived = sim.Now;
  job.Deadline = sim.Now + sim.Traffic.Kinds[kind].Deadline;
  job.Counted =
      sim.Now >= Start + WarmUp && sim.Now < Start + WarmUp + Measured;
  if (job.Counted)
    sim.Result.Kinds[kind].Offered += job.Work;
  if (sim.Spec.How == Way::Scheduled)
    ask(sim, job);
  else if (sim.Spec.How == Way::LeastLoaded)
    sim.OwnQueue[job.Entry][job.Rank.Rank].push_back(&job);
  else
    sendTo(sim, job, sim.NextEngine++ % sim.Engines.size());
}

void arriveAll(Sim &sim, double workpersecond) {
  const double dt = std::chrono::duration<double>(Tick).count();
  for (std::size_t kind = 0; kind < sim.Traffic.Kinds.size(); ++kind) {
    const KindSpec &spec = sim.Traffic.Kinds[kind];
    const double rate = workpersecond * spec.Share / meanWork(spec);
    std::poisson_distribution<int> count(rate * dt);
    for (int n = count(sim.Rnd); n > 0; --n)
      arrive(sim, kind);
  }
}

void finish(Sim &sim, const Job &job, bool good) {
  if (sim.Spec.How == Way::Scheduled) {
    if (good)
      returnGrant(sim, job);
    else
      cancel(sim.Sched, attemptOf(job));
  }
  if (sim.Spec.How == Way::LeastLoaded)
    --sim.OwnInFlight[job.Entry][job.Engine];
  if (!job.Counted)
    return;
  if (good)
    sim.Result.Kinds[job.Kind].Good += job.Work;
  else
    ++sim.Result.Kinds[job.Kind].Late;
  if (sizeClass(SchedulePolicy{}, job.Prompt + job.Estimate) ==
          SizeClass::Small &&
      job.Begun)
    sim.SmallWaits.push_back(
        std::chrono::duration<double>(job.BegunAt - job.Arrived).count());
}

void runEngines(Sim &sim) {
  std::vector<Job *> done;
  std::vector<Job *> gone;
  for (Engine &eng : sim.Engines) {
    cancelLate(eng, sim.Now, gone);
    run(eng, Tick, sim.Now, sim.Prefill, done);
  }
  for (const Job *job : done)
    finish(sim, *job, job->Deadline >= sim.Now);
  for (const Job *job : gone)
    finish(sim, *job, false);
}

void reportLoads(Sim &sim) {
  if ((sim.Now - Start) % ReportEvery != Duration::zero())
    return;
  for (std::size_t n = 0; n < sim.Engines.size(); ++n) {
    report(sim.Engines[n], sim.Now, ReportLag);
    if (sim.Engines[n].Visible.MeasuredAt != Time{})
      sim.States.Endpoints[n].Load = sim.Engines[n].Visible;
  }
}

/// In the variant one of the fastest engines is slow for the measured time's
/// second and third quarter.
void slowDown(Sim &sim) {
  if (!sim.Spec.SlowOne)
    return;
  const Duration at = sim.Now - Start - WarmUp;
  const bool slow = at >= Measured / 4 && at < Measured * 3 / 4;
  sim.Engines[0].Factor = slow ? SlowFactor : 1;
}

double percentile95(std::vector<double> &all) {
  if (all.empty())
    return 0;
  const auto nth =
      all.begin() + static_cast<std::ptrdiff_t>(all.size() * 95 / 100);
  std::nth_element(all.begin(), nth, all.end());
  return *nth;
}

RunResult simulate(const Mix &mix, const RunSpec &spec, double workpersecond,
                   std::uint64_t seed) {
  Sim sim{mix, spec};
  sim.Rnd.seed(seed);
  sim.Result.Kinds.resize(mix.Kinds.size());
  makeEngines(sim);
  makeBundle(sim);
  for (; sim.Now < Start + WarmUp + Measured + Tail; sim.Now += Tick) {
    slowDown(sim);
    reportLoads(sim);
    arriveAll(sim, workpersecond);
    if (spec.How == Way::Scheduled)
      stepScheduler(sim);
    if (spec.How == Way::LeastLoaded)
      stepEntries(sim);
    runEngines(sim);
  }
  for (const KindResult &kind : sim.Result.Kinds)
    sim.Result.Total += kind.Good;
  sim.Result.Total /= std::chrono::duration<double>(Measured).count();
  sim.Result.Wasted =
      static_cast<double>(sim.Prefill.Wasted) /
      static_cast<double>(std::max<std::uint64_t>(sim.Prefill.Prompt, 1));
  sim.Result.SmallWait = percentile95(sim.SmallWaits);
  sim.Result.Counts = sim.Sched.Counts;
  return sim.Result;
}

/// The mean of a run from each seed.
RunResult simulateAll(const Mix &mix, const RunSpec &spec,
                      double workpersecond) {
  std::vector<std::future<RunResult>> all;
  all.reserve(Seeds.size());
  for (const std::uint64_t seed : Seeds)
    all.push_back(std::async(std::launch::async, simulate, std::cref(mix),
                             std::cref(spec), workpersecond, seed));
  RunResult sum;
  sum.Kinds.resize(mix.Kinds.size());
  for (auto &it : all) {
    const RunResult res = it.get();
    for (std::size_t n = 0; n < sum.Kinds.size(); ++n) {
      sum.Kinds[n].Offered += res.Kinds[n].Offered;
      sum.Kinds[n].Good += res.Kinds[n].Good;
    }
    sum.Total += res.Total / Seeds.size();
    sum.Wasted += res.Wasted / Seeds.size();
    sum.SmallWait += res.SmallWait / Seeds.size();
    sum.Counts.Probes += res.Counts.Probes;
  }
  return sum;
}

/// The work a second that the engines do when each is kept at its slots by
/// requests of the mix in random order, without deadlines.
double capacityOf(const Mix &mix) {
  static const RunSpec spec{"capacity"};
  Sim sim{mix, spec};
  sim.Result.Kinds.resize(mix.Kinds.size());
  makeEngines(sim);
  std::vector<double> rates;
  for (const KindSpec &kind : mix.Kinds)
    rates.push_back(kind.Share / meanWork(kind));
  std::discrete_distribution<std::size_t> pick(rates.begin(), rates.end());
  double work = 0;
  const Time end = Start + WarmUp + Measured;
  for (; sim.Now < end; sim.Now += Tick) {
    std::vector<Job *> done;
    for (std::size_t n = 0; n < sim.Engines.size(); ++n) {
      Engine &eng = sim.Engines[n];
      while (eng.Running.size() + eng.Waiting.size() < eng.Spec.Slots) {
        Job &job = sim.Jobs.emplace_back(draw(mix, pick(sim.Rnd), sim.Rnd));
        sendTo(sim, job, n);
      }
      run(eng, Tick, sim.Now, sim.Prefill, done);
    }
    if (sim.Now >= Start + WarmUp)
      for (const Job *job : done)
        work += job->Work;
  }
  return work / std::chrono::duration<double>(Measured).count();
}

void printHead(const Mix &mix) {
  std::printf("%-22s %5s", "way", "load");
  for (const KindSpec &kind : mix.Kinds)
    std::printf(" %9s", kind.Name);
  std::printf(" %8s %8s %8s %9s %7s\n", "weighted", "total", "wasted",
              "small p95", "probes");
}

void printRow(const Mix &mix, const RunSpec &spec, double load, double capacity,
              const RunResult &res) {
  std::printf("%-22s %5.1f", spec.Name, load);
  double weighted = 0;
  double weights = 0;
  for (std::size_t n = 0; n < mix.Kinds.size(); ++n) {
    const double share = res.Kinds[n].Good / res.Kinds[n].Offered;
    weighted += share * mix.Kinds[n].Weight;
    weights += mix.Kinds[n].Weight;
    std::printf(" %9.3f", share);
  }
  std::printf(" %8.3f %8.3f %8.4f %8.2fs %7llu\n", weighted / weights,
              res.Total / capacity, res.Wasted, res.SmallWait,
              static_cast<unsigned long long>(res.Counts.Probes));
  std::fflush(stdout);
}

std::vector<RunSpec> waysToCompare() {
  std::vector<RunSpec> all = {{"scheduler"},
                              {"a: round robin", Way::RoundRobin, {}},
                              {"b: least loaded alone", Way::LeastLoaded, {}},
                              {"without affinity"},
                              {"without reserves"},
                              {"without early refusal"}};
  all[3].Policy.Affinity = false;
  all[4].Policy.ReserveForSmall = false;
  all[5].Policy.EarlyRefusal = false;
  return all;
}

/// \p only limits the ways to those whose names start so.
void compare(const Mix &mix, bool slowone, std::string_view only) {
  const double capacity = capacityOf(mix);
  std::printf("\n%s%s: capacity %.2f reference engines\n", mix.Name,
              slowone ? ", one engine slowed by ten" : "", capacity);
  printHead(mix);
  for (RunSpec spec : waysToCompare()) {
    if (!std::string_view(spec.Name).starts_with(only))
      continue;
    spec.SlowOne = slowone;
    for (const double load : {0.1, 0.7, 1.0, 1.5, 3.0})
      printRow(mix, spec, load, capacity,
               simulateAll(mix, spec, load * capacity));
  }
}

} // namespace

int main(int argc, char **argv) {
  const std::string_view only = argc > 1 ? argv[1] : "";
  std::printf(
      "goodput by kind: work done in time, of the work offered;\n"
      "total: work done in time, of the pool's capacity;\n"
      "wasted: prompt tokens computed though another engine had them\n"
      "cached, of all prompt tokens; small p95: from arrival to the\n"
      "start of a request of at most %u tokens; all as the mean of %zu\n"
      "seeds.\n",
      SchedulePolicy{}.MaxSmallTokens, Seeds.size());
  for (const Mix &mix : {consortium(), cuenca()}) {
    compare(mix, false, only);
    compare(mix, true, only);
  }
  compare(cuencaZone(), false, only);
  return 0;
}
