// A model of an engine in simulated time: continuous batching that slows down
// once the batch exceeds the engine's slots or token limit, prefill that
// competes with decoding, a prefix cache of limited size, and delayed load
// reports.
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

/// One simulated request.
struct Job {
  std::size_t Index = 0;
  std::size_t Kind = 0; // Index into Mix::Kinds.
  Tier Rank;
  WorkspaceId Workspace;
  std::uint32_t Entry = 0;
  std::uint32_t Prompt = 0;
  std::uint32_t Prefix = 0; // Prompt tokens shared with other requests.
  std::uint32_t Output = 0;
  std::uint32_t Estimate = 0; // The caller's estimate of the output tokens.
  std::uint64_t PrefixHash = 0;
  double Work = 0; // Seconds of a reference engine's full capacity.
  Time Arrived;
  Time Deadline;

  std::size_t Engine = 0; // Index of the engine that it was sent to.
  std::uint32_t CachedTokens = 0;
  double PrefillLeft = 0;
  double DecodeLeft = 0;
  bool Sent = false;
  bool Started = false; // The prefill has started.
  bool Counted = false; // Arrived in the measured period.
  Time SentAt;
  Time StartedAt;
  Time FirstTokenAt;
  GrantId CurrentGrant;
};

/// The speed and the limits of an engine.
struct EngineSpec {
  double TokensPerSecond = 0; // For each request within the engine's limits.
  double PrefillPerSecond = 0;
  std::uint32_t Slots = 0;
  std::uint32_t TokenLimit = 0;
  std::size_t CachedPrefixes = 0;
};

/// A load report that becomes visible to schedulers after its delay.
struct PendingReport {
  Time VisibleAt;
  LoadReport Report;
};

/// An engine with its batch, its queue, its prefix cache and its reports.
struct Engine {
  EngineSpec Spec;
  double SpeedFactor = 1; // Less than 1 slows the engine down.
  std::vector<Job *> Running;
  std::deque<Job *> Waiting;
  std::uint64_t TokensRunning = 0;
  std::list<std::uint64_t> Cache; // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      CachePositions;
  std::deque<PendingReport> Reports;
  LoadReport VisibleReport; // The last report whose delay has passed.
};

/// Prefill totals over all engines of a run.
struct PrefillCounts {
  /// The number of engines that cache a prefix, by the prefix's hash.
  std::unordered_map<std::uint64_t, int> CachingEngines;
  /// Prompt tokens of the counted requests whose prefill has started.
  std::uint64_t PromptTokens = 0;
  /// Tokens that were computed although another engine had them cached.
  std::uint64_t WastedTokens = 0;
};

/// An engine runs at most this many requests per slot. It queues further
/// requests in order of arrival.
inline constexpr std::uint32_t MaxRunningPerSlot = 4;

inline std::uint32_t tokensOf(const Job &job) {
  return job.Prompt + job.Output;
}

inline void touchCache(Engine &eng, std::uint64_t hash, PrefillCounts &counts) {
  if (const auto it = eng.CachePositions.find(hash);
      it != eng.CachePositions.end()) {
    eng.Cache.splice(eng.Cache.begin(), eng.Cache, it->second);
    return;
  }
  eng.Cache.push_front(hash);
  eng.CachePositions[hash] = eng.Cache.begin();
  ++counts.CachingEngines[hash];
  if (eng.Cache.size() <= eng.Spec.CachedPrefixes)
    return;
  --counts.CachingEngines[eng.Cache.back()];
  eng.CachePositions.erase(eng.Cache.back());
  eng.Cache.pop_back();
}

inline void beginPrefill(Engine &eng, Job &job, Time now,
                         PrefillCounts &counts) {
  job.Started = true;
  job.StartedAt = now;
  const bool hit = eng.CachePositions.contains(job.PrefixHash);
  job.CachedTokens = hit ? job.Prefix : 0;
  job.PrefillLeft = std::max(1U, job.Prompt - job.CachedTokens);
  if (job.Counted) {
    counts.PromptTokens += job.Prompt;
    if (!hit && counts.CachingEngines[job.PrefixHash] > 0)
      counts.WastedTokens += job.Prefix;
  }
  touchCache(eng, job.PrefixHash, counts);
}

inline void admitWaiting(Engine &eng) {
  while (
      !eng.Waiting.empty() &&
      eng.Running.size() < std::size_t{MaxRunningPerSlot} * eng.Spec.Slots &&
      (eng.Running.empty() || eng.TokensRunning < 2ULL * eng.Spec.TokenLimit)) {
    Job *job = eng.Waiting.front();
    eng.Waiting.pop_front();
    eng.Running.push_back(job);
    eng.TokensRunning += tokensOf(*job);
  }
}

/// The tokens per second of each decoding request when \p batch requests decode
/// at once.
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

/// Prefills the running requests in order of arrival. Returns whether any
/// request needed it.
inline bool prefill(Engine &eng, double seconds, Time now,
                    PrefillCounts &counts) {
  double budget = seconds * eng.Spec.PrefillPerSecond * eng.SpeedFactor;
  bool any = false;
  for (Job *job : eng.Running) {
    if (job->Started && job->PrefillLeft <= 0)
      continue;
    any = true;
    if (budget <= 0)
      break;
    if (!job->Started)
      beginPrefill(eng, *job, now, counts);
    const double done = std::min(budget, job->PrefillLeft);
    job->PrefillLeft -= done;
    budget -= done;
    if (job->PrefillLeft <= 0)
      job->FirstTokenAt = now;
  }
  return any;
}

/// Runs \p eng for \p dt and appends the finished requests to \p done.
inline void run(Engine &eng, Duration dt, Time now, PrefillCounts &counts,
                std::vector<Job *> &done) {
  admitWaiting(eng);
  const auto decoding = static_cast<std::size_t>(
      std::count_if(eng.Running.begin(), eng.Running.end(), [](const Job *j) {
        return j->Started && j->PrefillLeft <= 0;
      }));
  const double seconds = std::chrono::duration<double>(dt).count();
  const double prefillshare = decoding > 0 ? 0.5 : 1;
  const bool prefilling = prefill(eng, seconds * prefillshare, now, counts);
  const double rate = decodeRate(eng, decoding) * eng.SpeedFactor;
  const double step = rate * seconds * (prefilling ? 0.5 : 1);
  std::erase_if(eng.Running, [&](Job *job) {
    if (!job->Started || job->PrefillLeft > 0 || job->FirstTokenAt == now)
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

/// Cancels the requests that have passed their deadline and appends them to
/// \p cancelled.
inline void cancelLate(Engine &eng, Time now, std::vector<Job *> &cancelled) {
  const auto cancel = [&](Job *job) {
    if (job->Deadline > now)
      return false;
    cancelled.push_back(job);
    return true;
  };
  std::erase_if(eng.Waiting, cancel);
  std::erase_if(eng.Running, [&](Job *job) {
    if (!cancel(job))
      return false;
    eng.TokensRunning -= tokensOf(*job);
    return true;
  });
}

/// Makes a load report, and makes visible the reports whose \p lag has passed.
inline void report(Engine &eng, Time now, Duration lag) {
  LoadReport rep;
  rep.MeasuredAt = now;
  rep.Running = static_cast<std::uint32_t>(eng.Running.size());
  rep.Waiting = static_cast<std::uint32_t>(eng.Waiting.size());
  rep.TokensInFlight = static_cast<std::uint32_t>(eng.TokensRunning);
  eng.Reports.push_back({now + lag, rep});
  while (!eng.Reports.empty() && eng.Reports.front().VisibleAt <= now) {
    eng.VisibleReport = eng.Reports.front().Report;
    eng.Reports.pop_front();
  }
}

} // namespace zinniagauge::bench

#endif // ZINNIAGAUGE_BENCH_ENGINE_MODEL_H
