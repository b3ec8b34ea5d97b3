// A model of an engine on simulated time: continuous batching that slows down
// beyond what it batches well, prefill that competes with decoding, a prefix
// cache of limited size, and load reports with a lag.
#ifndef ZINNIAGAUGE_BENCH_ENGINE_MODEL_H
#define ZINNIAGAUGE_BENCH_ENGINE_MODEL_H

#include "zinniagauge/zinniagauge.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace zinniagauge::bench {

/// One request on its way through the simulation.
struct Job {
  std::size_t Index = 0;
  std::size_t Kind = 0; // Index into the mix.
  Tier Rank;
  WorkspaceId Workspace;
  std::uint32_t Entry = 0;
  std::uint32_t Prompt = 0;
  std::uint32_t Prefix = 0; // Tokens of the prompt that are shared.
  std::uint32_t Output = 0;
  std::uint32_t Estimate = 0; // Of the output, by its caller.
  std::uint64_t PrefixHash = 0;
  double Work = 0; // Seconds of a reference engine.
  Time Arrived;
  Time Deadline;

  std::size_t Engine = 0;
  std::uint32_t Cached = 0;
  double PrefillLeft = 0;
  double DecodeLeft = 0;
  bool Sent = false;
  bool Begun = false;
  bool Counted = false; // Arrived in the measured time.
  Time SentAt;
  Time BegunAt;
  Time FirstToken;
  GrantId Granted;
};

/// What an engine can do.
struct EngineSpec {
  double TokensPerSecond = 0; // For one request while it batches well.
  double PrefillPerSecond = 0;
  std::uint32_t Slots = 0;
  std::uint32_t TokenLimit = 0;
  std::size_t CachedPrefixes = 0;
};

/// A load report under way.
struct PendingReport {
  Time Visible;
  LoadReport Report;
};

/// One engine.
struct Engine {
  EngineSpec Spec;
  double Factor = 1; // Below one: slowed.
  std::vector<Job *> Running;
  std::deque<Job *> Waiting;
  std::uint64_t TokensRunning = 0;
  std::list<std::uint64_t> Cache; // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> InCache;
  std::deque<PendingReport> Reports;
  LoadReport Visible;
};

/// What all engines of a run have prefilled.
struct PrefillCounts {
  std::unordered_map<std::uint64_t, int> Holders; // By prefix.
  std::uint64_t Prompt = 0;
  std::uint64_t Wasted = 0; // Computed though another engine had it cached.
};

/// Beyond its hard limit an engine queues what arrives, first come first
/// served.
inline constexpr std::uint32_t HardFactor = 4;

inline std::uint32_t tokensOf(const Job &job) {
  return job.Prompt + job.Output;
}

inline void touchCache(Engine &eng, std::uint64_t hash, PrefillCounts &counts) {
  if (const auto it = eng.InCache.find(hash); it != eng.InCache.end()) {
    eng.Cache.splice(eng.Cache.begin(), eng.Cache, it->second);
    return;
  }
  eng.Cache.push_front(hash);
  eng.InCache[hash] = eng.Cache.begin();
  ++counts.Holders[hash];
  if (eng.Cache.size() <= eng.Spec.CachedPrefixes)
    return;
  --counts.Holders[eng.Cache.back()];
  eng.InCache.erase(eng.Cache.back());
  eng.Cache.pop_back();
}

inline void beginPrefill(Engine &eng, Job &job, Time now,
                         PrefillCounts &counts) {
  job.Begun = true;
  job.BegunAt = now;
  const bool hit = eng.InCache.contains(job.PrefixHash);
  job.Cached = hit ? job.Prefix : 0;
  job.PrefillLeft = std::max(1U, job.Prompt - job.Cached);
  if (job.Counted) {
    counts.Prompt += job.Prompt;
    if (!hit && counts.Holders[job.PrefixHash] > 0)
      counts.Wasted += job.Prefix;
  }
  touchCache(eng, job.PrefixHash, counts);
}

inline void admitWaiting(Engine &eng) {
  while (
      !eng.Waiting.empty() &&
      eng.Running.size() < std::size_t{HardFactor} * eng.Spec.Slots &&
      (eng.Running.empty() || eng.TokensRunning < 2ULL * eng.Spec.TokenLimit)) {
    Job *job = eng.Waiting.front();
    eng.Waiting.pop_front();
    eng.Running.push_back(job);
    eng.TokensRunning += tokensOf(*job);
  }
}

/// Tokens a second of one decoding request, \p batch of them at once.
inline double decodeRate(const Engine &eng, std::size_t batch) {
  const double slots = eng.Spec.Slots;
  const auto b = static_cast<double>(batch);
  double rate = eng.Spec.TokensPerSecond;
  if (b > slots)
    rate *= slots / b * std::pow(slots / b, 0.25);
  const auto tokens = static_cast<double>(eng.TokensRunning);
  if (tokens > eng.Spec.TokenLimit)
    rate *= std::pow(eng.Spec.TokenLimit / tokens, 0.25);
  return rate;
}

/// Prefills in order of arrival; returns whether there was any to do.
inline bool prefill(Engine &eng, double seconds, Time now,
                    PrefillCounts &counts) {
  double budget = seconds * eng.Spec.PrefillPerSecond * eng.Factor;
  bool any = false;
  for (Job *job : eng.Running) {
    if (job->Begun && job->PrefillLeft <= 0)
      continue;
    any = true;
    if (budget <= 0)
      break;
    if (!job->Begun)
      beginPrefill(eng, *job, now, counts);
    const double done = std::min(budget, job->PrefillLeft);
    job->PrefillLeft -= done;
    budget -= done;
    if (job->PrefillLeft <= 0)
      job->FirstToken = now;
  }
  return any;
}

/// Runs \p eng for \p dt and appends what finished to \p done.
inline void run(Engine &eng, Duration dt, Time now, PrefillCounts &counts,
                std::vector<Job *> &done) {
  admitWaiting(eng);
  const auto decoding = static_cast<std::size_t>(
      std::count_if(eng.Running.begin(), eng.Running.end(), [](const Job *j) {
        return j->Begun && j->PrefillLeft <= 0;
      }));
  const double seconds = std::chrono::duration<double>(dt).count();
  const double half = decoding > 0 ? 0.5 : 1;
  const bool shared = prefill(eng, seconds * half, now, counts);
  const double rate = decodeRate(eng, decoding) * eng.Factor;
  const double step = rate * seconds * (shared ? 0.5 : 1);
  std::erase_if(eng.Running, [&](Job *job) {
    if (!job->Begun || job->PrefillLeft > 0 || job->FirstToken == now)
      return false;
    job->DecodeLeft -= step;
    if (job->DecodeLeft > 0)
      return false;
    eng.TokensRunning -= tokensOf(*job);
    done.push_back(job);
    return true;
  });
}

inline void submit(Engine &eng, Job &job, Time now) {
  job.Sent = true;
  job.SentAt = now;
  job.DecodeLeft = job.Output;
  eng.Waiting.push_back(&job);
}

/// Cancels what has passed its deadline and appends it to \p gone.
inline void cancelLate(Engine &eng, Time now, std::vector<Job *> &gone) {
  const auto late = [&](Job *job) {
    if (job->Deadline > now)
      return false;
    gone.push_back(job);
    return true;
  };
  std::erase_if(eng.Waiting, late);
  std::erase_if(eng.Running, [&](Job *job) {
    if (!late(job))
      return false;
    eng.TokensRunning -= tokensOf(*job);
    return true;
  });
}

/// Makes a report, and shows those whose lag has passed.
inline void report(Engine &eng, Time now, Duration lag) {
  LoadReport rep;
  rep.MeasuredAt = now;
  rep.Running = static_cast<std::uint32_t>(eng.Running.size());
  rep.Waiting = static_cast<std::uint32_t>(eng.Waiting.size());
  rep.TokensInFlight = static_cast<std::uint32_t>(eng.TokensRunning);
  eng.Reports.push_back({now + lag, rep});
  while (!eng.Reports.empty() && eng.Reports.front().Visible <= now) {
    eng.Visible = eng.Reports.front().Report;
    eng.Reports.pop_front();
  }
}

} // namespace zinniagauge::bench

#endif // ZINNIAGAUGE_BENCH_ENGINE_MODEL_H
