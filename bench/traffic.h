// The traffic mixes of two deployments for the policy simulation.
#ifndef ZINNIAGAUGE_BENCH_TRAFFIC_H
#define ZINNIAGAUGE_BENCH_TRAFFIC_H

#include "engine_model.h"

#include <array>
#include <random>
#include <string>

namespace zinniagauge::bench {

/// A kind of request; Prompt, Prefix and Output are in tokens.
struct KindSpec {
  const char *Name;
  std::uint8_t Rank;
  double Share;  // Share of the offered work.
  double Weight; // Weight of its goodput in the weighted result.
  std::uint32_t Prompt;
  std::uint32_t Prefix;
  std::uint32_t Output; // The mean; a request has 0.5 to 1.5 times as many.
  Duration Deadline;
};

/// The traffic and the engines of one deployment.
struct Mix {
  const char *Name;
  std::vector<KindSpec> Kinds;
  std::array<std::size_t, 3> Engines; // Count of each hardware generation.
};

inline Mix consortium() {
  using std::chrono::seconds;
  return {"Consortium",
          {{"dossier", 0, 0.20, 6, 2000, 1200, 800, seconds(60)},
           {"question", 1, 0.40, 2, 600, 400, 200, seconds(15)},
           {"screening", 2, 0.40, 2, 400, 250, 40, seconds(8)}},
          {4, 3, 3}};
}

inline Mix cuenca() {
  using std::chrono::seconds;
  return {"Cuenca",
          {{"cue", 0, 0.15, 5, 300, 200, 60, seconds(5)},
           {"lookup", 1, 0.10, 4, 150, 100, 25, seconds(3)},
           {"label", 2, 0.03, 1, 20, 10, 10, seconds(3)},
           {"act", 2, 0.72, 1, 1500, 600, 1500, seconds(120)}},
          {7, 7, 6}};
}

/// The part of Cuenca's pool that one zone's scheduler manages. It is the same
/// whether or not the zone is cut off from the others.
inline Mix cuencaZone() {
  Mix mix = cuenca();
  mix.Name = "Cuenca, one zone";
  mix.Engines = {2, 2, 1};
  return mix;
}

/// The speed of each hardware generation relative to the first, the reference.
inline constexpr std::array<double, 3> GenerationSpeed = {1.0, 0.7, 0.45};
inline constexpr double ReferenceTokens = 40;     // Tokens/s of one request.
inline constexpr double ReferencePrefill = 8'000; // Tokens/s.
inline constexpr std::uint32_t ReferenceSlots = 16;

inline EngineSpec engineOf(std::size_t generation) {
  const double speed = GenerationSpeed[generation];
  EngineSpec spec;
  spec.TokensPerSecond = ReferenceTokens * speed;
  spec.PrefillPerSecond = ReferencePrefill * speed;
  spec.Slots = static_cast<std::uint32_t>(ReferenceSlots - 2 * generation);
  spec.TokenLimit = spec.Slots * 3000;
  spec.CachedPrefixes = 24;
  return spec;
}

/// The work of a request, in seconds of a reference engine's full capacity,
/// when none of its prompt is cached.
inline double workOf(std::uint32_t prompt, std::uint32_t output) {
  return prompt / ReferencePrefill +
         output / (ReferenceTokens * ReferenceSlots);
}

inline constexpr std::array<std::uint32_t, 5> WorkspaceWeights = {3, 2, 1, 1,
                                                                  1};
inline constexpr std::uint64_t PrefixesPerKind = 8; // In each workspace.

/// Makes a random request of kind \p kind, an index into Mix::Kinds.
inline Job randomJob(const Mix &mix, std::size_t kind, std::mt19937_64 &rnd) {
  const KindSpec &spec = mix.Kinds[kind];
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  std::uniform_real_distribution<double> overestimate(1.0, 1.5);
  std::discrete_distribution<std::size_t> workspaces({4, 3, 1, 1, 1});
  Job job;
  job.Kind = kind;
  job.Rank.Rank = spec.Rank;
  const std::size_t workspace = workspaces(rnd);
  job.Workspace = WorkspaceId{workspace + 1};
  job.Entry = static_cast<std::uint32_t>(rnd() % 6);
  job.Prompt = spec.Prefix + static_cast<std::uint32_t>(
                                 (spec.Prompt - spec.Prefix) * spread(rnd));
  job.Prefix = spec.Prefix;
  job.Output =
      std::max(1U, static_cast<std::uint32_t>(spec.Output * spread(rnd)));
  job.Estimate = static_cast<std::uint32_t>(job.Output * overestimate(rnd));
  job.PrefixHash = 1 + rnd() % PrefixesPerKind + 100 * workspace + 1000 * kind;
  job.Work = workOf(job.Prompt, job.Output);
  return job;
}

/// The mean work of a request of kind \p spec.
inline double meanWork(const KindSpec &spec) {
  return workOf(spec.Prompt, spec.Output);
}

} // namespace zinniagauge::bench

#endif // ZINNIAGAUGE_BENCH_TRAFFIC_H
