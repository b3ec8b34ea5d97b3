#include "zinniagauge/decide/speed.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Prefill is batched over the prompt, so a token of it costs this much less
/// than one of output, until it is learnt.
constexpr double StatedPrefillShare = 1.0 / 32;

/// The weight of a new sample.
constexpr double Alpha = 0.2;

/// Its weight if there has been none for a while, as after a probe.
constexpr double StaleAlpha = 0.8;

/// Below this many computed tokens the time to the first one says more about
/// the way there than about the engine.
constexpr std::uint32_t LeastPrefill = 64;

void blend(double &avg, double sample, double alpha) noexcept {
  avg = avg <= 0 ? sample : avg + alpha * (sample - avg);
}

/// The weight of the next sample; the first one stands alone.
double alphaOf(const Speed &sp, bool stale) noexcept {
  if (sp.Samples == 0)
    return 1;
  return stale ? StaleAlpha : Alpha;
}

double nanos(Duration d) noexcept { return static_cast<double>(d.count()); }

} // namespace

Speed configuredSpeed(const EndpointSpec &ep) noexcept {
  Speed sp;
  if (ep.TokensPerSecond == 0)
    return sp;
  sp.DecodeNanosPerToken = 1e9 * ep.Slots / ep.TokensPerSecond;
  sp.PrefillNanosPerToken = sp.DecodeNanosPerToken * StatedPrefillShare;
  return sp;
}

void updateSpeed(Speed &sp, const GrantReturn &ret, std::uint32_t asked,
                 bool stale) noexcept {
  const double alpha = alphaOf(sp, stale);
  const std::uint32_t computed =
      ret.PromptTokens - std::min(ret.PromptTokens, ret.CachedTokens);
  if (ret.OutputTokens == 0) {
    blend(sp.DecodeNanosPerToken, nanos(ret.TotalTime) / std::max(asked, 1U),
          alpha);
    ++sp.Samples;
    return;
  }
  if (computed >= LeastPrefill && ret.FirstTokenTime > Duration::zero())
    blend(sp.PrefillNanosPerToken, nanos(ret.FirstTokenTime) / computed, alpha);
  const Duration decode =
      std::max(ret.TotalTime - ret.FirstTokenTime, Duration(0));
  blend(sp.DecodeNanosPerToken, nanos(decode) / ret.OutputTokens, alpha);
  ++sp.Samples;
}

void updateSpeedFromUnfinished(Speed &sp, Duration elapsed,
                               std::uint32_t prompt,
                               std::uint32_t output) noexcept {
  if (elapsed <= serviceTime(sp, prompt, output))
    return;
  const double decode = nanos(elapsed) - sp.PrefillNanosPerToken * prompt;
  blend(sp.DecodeNanosPerToken, decode / std::max(output, 1U),
        alphaOf(sp, false));
  ++sp.Samples;
}

Duration serviceTime(const Speed &sp, std::uint32_t prefill,
                     std::uint32_t output) noexcept {
  return Duration(static_cast<std::int64_t>(sp.PrefillNanosPerToken * prefill +
                                            sp.DecodeNanosPerToken * output));
}

} // namespace zinniagauge
