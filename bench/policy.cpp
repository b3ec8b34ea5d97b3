// Measures the goodput of the scheduling policy in simulated time, against two
// baselines and with parts of the policy switched off. The seeds are fixed, so
// each run prints the same figures. `policy NAME` runs only the variants whose
// names start with NAME.
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
/// Simulated after the measured period, so that its last requests end. It
/// equals the longest deadline.
constexpr Duration DrainTime = seconds(120);
constexpr Duration ReportInterval = milliseconds(500);
constexpr Duration ReportLag = milliseconds(400);
constexpr std::uint32_t Entries = 6;
constexpr Time Start{seconds(1000)};
constexpr std::array<std::uint64_t, 3> Seeds = {1, 2, 3};
constexpr double SlowFactor = 0.1;

enum class Strategy { Scheduled, RoundRobin, LeastLoaded };

/// The settings of one variant of the policy or one baseline.
struct RunSpec {
  const char *Name;
  Strategy Mode = Strategy::Scheduled;
  SchedulePolicy Policy = {};
  bool SlowEngine = false;
};

struct KindResult {
  double Offered = 0;     // Work that arrived.
  double Good = 0;        // Work that was done before its deadline.
  std::uint64_t Late = 0; // Requests sent to an engine, not done in time.
};

struct RunResult {
  std::vector<KindResult> Kinds;
  double Total = 0;     // Work done in time, per second.
  double Wasted = 0;    // WastedTokens as a share of PromptTokens.
  double SmallWait = 0; // 95th percentile of Sim::SmallWaits, in seconds.
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
  /// Seconds from arrival to the start of each small request.
  std::vector<double> SmallWaits = {};
  RunResult Result = {};

  // State of Strategy::Scheduled.
  Bundle Config = {};
  EndpointList States = {};
  MoveList Moves = {};
  Scheduler Sched = {};

  // State of the baselines: each entry has its own counts and queues.
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

/// The bundle states the same speed per slot for all generations, so the
/// scheduler has to learn the real speeds.
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

void submitTicket(Sim &sim, const Job &job) {
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
    job.CurrentGrant = g.Id;
    sendTo(sim, job, g.Endpoint.Value - 1);
    // An entry announces its grants in use at intervals. Here one announcement
    // is made at once and outlasts the simulation.
    sim.Sched.Policy.AnnouncedTtl = std::chrono::hours(1);
    announce(sim.Sched, g, VmId{1}, sim.Now);
  }
}

void returnGrant(Sim &sim, const Job &job) {
  GrantReturn ret;
  ret.Id = job.CurrentGrant;
  ret.Attempt = attemptOf(job);
  ret.Endpoint = idOf(job.Engine);
  ret.PromptTokens = job.Prompt;
  ret.OutputTokens = job.Output;
  ret.CachedTokens = job.CachedTokens;
  ret.FirstTokenTime = job.FirstTokenAt - job.SentAt;
  ret.TotalTime = sim.Now - job.SentAt;
  ret.Dispatched = true;
  returnGrant(sim.Sched, ret, sim.Now);
}

double loadOf(const Sim &sim, std::uint32_t entry, std::size_t engine) {
  const Engine &eng = sim.Engines[engine];
  const double running =
      std::max<double>(eng.VisibleReport.Running + eng.VisibleReport.Waiting,
                       sim.OwnInFlight[entry][engine]);
  return (running + sim.OwnInFlight[entry][engine]) / eng.Spec.Slots;
}

/// Decides without a scheduler: sends to the engine that is least loaded by the
/// entry's own counts and the load reports. An entry has at most as many
/// requests in flight at an engine as the engine has slots.
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
  Job &job = sim.Jobs.emplace_back(randomJob(sim.Traffic, kind, sim.Rnd));
  job.Index = sim.Jobs.size() - 1;
  job.Arrived = sim.Now;
  job.Deadline = sim.Now + sim.Traffic.Kinds[kind].Deadline;
  job.Counted =
      sim.Now >= Start + WarmUp && sim.Now < Start + WarmUp + Measured;
  if (job.Counted)
    sim.Result.Kinds[kind].Offered += job.Work;
  if (sim.Spec.Mode == Strategy::Scheduled)
    submitTicket(sim, job);
  else if (sim.Spec.Mode == Strategy::LeastLoaded)
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
  if (sim.Spec.Mode == Strategy::Scheduled) {
    if (good)
      returnGrant(sim, job);
    else
      cancel(sim.Sched, attemptOf(job));
  }
  if (sim.Spec.Mode == Strategy::LeastLoaded)
    --sim.OwnInFlight[job.Entry][job.Engine];
  if (!job.Counted)
    return;
  if (good)
    sim.Result.Kinds[job.Kind].Good += job.Work;
  else
    ++sim.Result.Kinds[job.Kind].Late;
  if (sizeClass(SchedulePolicy{}, job.Prompt + job.Estimate) ==
          SizeClass::Small &&
      job.Started)
    sim.SmallWaits.push_back(
        std::chrono::duration<double>(job.StartedAt - job.Arrived).count());
}

void runEngines(Sim &sim) {
  std::vector<Job *> done;
  std::vector<Job *> cancelled;
  for (Engine &eng : sim.Engines) {
    cancelLate(eng, sim.Now, cancelled);
    run(eng, Tick, sim.Now, sim.Prefill, done);
  }
  for (const Job *job : done)
    finish(sim, *job, job->Deadline >= sim.Now);
  for (const Job *job : cancelled)
    finish(sim, *job, false);
}

void reportLoads(Sim &sim) {
  if ((sim.Now - Start) % ReportInterval != Duration::zero())
    return;
  for (std::size_t n = 0; n < sim.Engines.size(); ++n) {
    report(sim.Engines[n], sim.Now, ReportLag);
    if (sim.Engines[n].VisibleReport.MeasuredAt != Time{})
      sim.States.Endpoints[n].Load = sim.Engines[n].VisibleReport;
  }
}

/// If SlowEngine is set, one of the fastest engines is slow during the second
/// and third quarter of the measured period.
void slowDown(Sim &sim) {
  if (!sim.Spec.SlowEngine)
    return;
  const Duration at = sim.Now - Start - WarmUp;
  const bool slow = at >= Measured / 4 && at < Measured * 3 / 4;
  sim.Engines[0].SpeedFactor = slow ? SlowFactor : 1;
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
  for (; sim.Now < Start + WarmUp + Measured + DrainTime; sim.Now += Tick) {
    slowDown(sim);
    reportLoads(sim);
    arriveAll(sim, workpersecond);
    if (spec.Mode == Strategy::Scheduled)
      stepScheduler(sim);
    if (spec.Mode == Strategy::LeastLoaded)
      stepEntries(sim);
    runEngines(sim);
  }
  for (const KindResult &kind : sim.Result.Kinds)
    sim.Result.Total += kind.Good;
  sim.Result.Total /= std::chrono::duration<double>(Measured).count();
  sim.Result.Wasted =
      static_cast<double>(sim.Prefill.WastedTokens) /
      static_cast<double>(std::max<std::uint64_t>(sim.Prefill.PromptTokens, 1));
  sim.Result.SmallWait = percentile95(sim.SmallWaits);
  sim.Result.Counts = sim.Sched.Counts;
  return sim.Result;
}

/// The mean of one run with each seed.
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

/// The work per second of the engines when every slot is always in use by
/// requests of the mix, in random order and without deadlines.
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
        Job &job =
            sim.Jobs.emplace_back(randomJob(mix, pick(sim.Rnd), sim.Rnd));
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

void printHeader(const Mix &mix) {
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

std::vector<RunSpec> variantsToCompare() {
  std::vector<RunSpec> all = {
      {"scheduler"},
      {"a: round robin", Strategy::RoundRobin, {}},
      {"b: least loaded alone", Strategy::LeastLoaded, {}},
      {"without affinity"},
      {"without reserves"},
      {"without early refusal"}};
  all[3].Policy.Affinity = false;
  all[4].Policy.ReserveForSmall = false;
  all[5].Policy.EarlyRefusal = false;
  return all;
}

/// Runs the variants whose names start with \p only.
void compare(const Mix &mix, bool slowengine, std::string_view only) {
  const double capacity = capacityOf(mix);
  std::printf("\n%s%s: capacity %.2f reference engines\n", mix.Name,
              slowengine ? ", one engine slowed by ten" : "", capacity);
  printHeader(mix);
  for (RunSpec spec : variantsToCompare()) {
    if (!std::string_view(spec.Name).starts_with(only))
      continue;
    spec.SlowEngine = slowengine;
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
