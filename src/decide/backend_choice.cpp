#include "zinniagauge/decide/backend_choice.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The figures of the pool from which all costs of one choice are computed.
struct PoolSpeed {
  double MeanMs = 1;       // Mean time per event.
  double MaxMs = 1;        // Time per event of the slowest back end.
  double UsedFraction = 0; // Fraction of all slots in use.
};

PoolSpeed speedOf(std::span<const Candidate> list) noexcept {
  PoolSpeed sp;
  const double mean = meanEventMs(list);
  sp.MeanMs = mean > 0 ? mean : 1;
  sp.MaxMs = sp.MeanMs;
  double running = 0;
  double slots = 0;
  for (const Candidate &c : list) {
    if (!c.Usable)
      continue;
    sp.MaxMs = std::max(sp.MaxMs, c.EventMs);
    running += c.Running;
    slots += c.Slots;
  }
  sp.UsedFraction = slots > 0 ? std::min(running / slots, 1.0) : 0;
  return sp;
}

/// The cost of running the call at \p c, in ms: the time that it takes, and the
/// cost for other calls.
double costAt(const Candidate &c, const PoolSpeed &sp, const CallEstimate &work,
              const ChoiceWeights &wt) noexcept {
  const double event = c.EventMs > 0 ? c.EventMs : sp.MeanMs;
  const double slowness = event / sp.MeanMs;
  const double crowd = 1 + wt.LoadSlowdown * c.Running / c.Slots;
  const double firstms =
      (c.PendingTokens + work.PromptTokens) * work.PromptTokenMs * slowness +
      event * crowd;
  const double restms = (work.ExpectedEvents - 1) * event * crowd;
  double cost = firstms + wt.RemainderWeight * restms;
  if (firstms > work.TargetLeftMs)
    cost += wt.LatePenaltyMs;
  if (firstms + restms > work.TimeLeftMs)
    cost += wt.TimeoutPenaltyMs;
  // A long call gains more from a fast back end than a short one. The fuller
  // the pool, the more a fast slot costs, so that short calls leave it free.
  cost += wt.SlotPrice * sp.UsedFraction * (sp.MaxMs - event);
  if (!c.SameZone)
    cost += wt.CrossZonePenaltyMs;
  return cost;
}

} // namespace

double meanEventMs(std::span<const Candidate> list) noexcept {
  double sum = 0;
  double count = 0;
  for (const Candidate &c : list)
    if (c.EventMs > 0) {
      sum += c.EventMs;
      ++count;
    }
  return count > 0 ? sum / count : 0;
}

std::optional<std::size_t> chooseBackend(std::span<const Candidate> list,
                                         const CallEstimate &work,
                                         const ChoiceWeights &wt) noexcept {
  const PoolSpeed sp = speedOf(list);
  std::optional<std::size_t> best;
  double bestcost = 0;
  for (std::size_t n = 0; n < list.size(); ++n) {
    const Candidate &c = list[n];
    constexpr double Rounding = 1e-9;
    if (!c.Usable || c.Contended ||
        c.Running + 1 > c.Slots * wt.MaxUtilization + Rounding)
      continue;
    const double cost = costAt(c, sp, work, wt);
    if (!best || cost < bestcost) {
      best = n;
      bestcost = cost;
    }
  }
  return best;
}

} // namespace zinniagauge
