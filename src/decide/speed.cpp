// Moving averages of an endpoint's prefill and decoding times.
#include "zinniagauge/decide/speed.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The assumed cost of a prompt token relative to an output token until it is
/// learnt. Prefill is cheaper because it is batched over the prompt.
constexpr double AssumedPrefillShare = 1.0 / 32;

/// The weight of a new sample.
constexpr double SampleWeight = 0.2;

/// The weight of a new sample after a long time without any, as after a probe.
constexpr double StaleSampleWeight = 0.8;

/// With fewer computed prompt tokens the time to the first token depends more
/// on the network than on the engine.
constexpr std::uint32_t MinPrefillTokens = 64;

void updateAverage(double &avg, double sample, double weight) noexcept {
  avg = avg <= 0 ? sample : avg + weight * (sample - avg);
}

/// The weight of the next sample; the first one sets the estimate alone.
double weightOfNext(const Speed &sp, bool stale) noexcept {
  if (sp.Samples == 0)
    return 1;
  return stale ? StaleSampleWeight : SampleWeight;
}

double nanos(Duration d) noexcept { return static_cast<double>(d.count()); }

} // namespace

Speed configuredSpeed(const EndpointSpec &ep) noexcept {
  Speed sp;
  if (ep.TokensPerSecond == 0)
    return sp;
  sp.DecodeNanosPerToken = 1e9 * ep.Slots / ep.TokensPerSecond;
  sp.PrefillNanosPerToken = sp.DecodeNanosPerToken * AssumedPrefillShare;
  return sp;
}

void updateSpeed(Speed &sp, const GrantReturn &ret, std::uint32_t estimated,
                 bool stale) noexcept {
  const double weight = weightOfNext(sp, stale);
  const std::uint32_t computed =
      ret.PromptTokens - std::min(ret.PromptTokens, ret.CachedTokens);
  if (ret.OutputTokens == 0) {
    updateAverage(sp.DecodeNanosPerToken,
                  nanos(ret.TotalTime) / std::max(estimated, 1U), weight);
    ++sp.Samples;
    return;
  }
  if (computed >= MinPrefillTokens && ret.FirstTokenTime > Duration::zero())
    updateAverage(sp.PrefillNanosPerToken, nanos(ret.FirstTokenTime) / computed,
                  weight);
  const Duration decode =
      std::max(ret.TotalTime - ret.FirstTokenTime, Duration(0));
  updateAverage(sp.DecodeNanosPerToken, nanos(decode) / ret.OutputTokens,
                weight);
  ++sp.Samples;
}

void updateSpeedFromUnfinished(Speed &sp, Duration elapsed,
                               std::uint32_t prompt,
                               std::uint32_t output) noexcept {
  if (elapsed <= serviceTime(sp, prompt, output))
    return;
  const double decode = nanos(elapsed) - sp.PrefillNanosPerToken * prompt;
  updateAverage(sp.DecodeNanosPerToken, decode / std::max(output, 1U),
                weightOfNext(sp, false));
  ++sp.Samples;
}

Duration serviceTime(const Speed &sp, std::uint32_t prefill,
                     std::uint32_t output) noexcept {
  return Duration(static_cast<std::int64_t>(sp.PrefillNanosPerToken * prefill +
                                            sp.DecodeNanosPerToken * output));
}

} // namespace zinniagauge
