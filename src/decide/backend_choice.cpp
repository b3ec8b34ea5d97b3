#include "zinniagauge/decide/backend_choice.h"

#include <algorithm>
#include <limits>

namespace zinniagauge {

PoolSpeed poolSpeed(std::span<const Candidate> list) noexcept {
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

double placementCost(const Candidate &c, const PoolSpeed &sp,
                     const CallEstimate &work,
                     const ChoiceWeights &wt) noexcept {
  constexpr double Rounding = 1e-9;
  if (!c.Usable || c.Contended || c.Paused || c.HasWaiting ||
      c.Running + 1 > c.Slots * wt.MaxUtilization + Rounding)
    return std::numeric_limits<double>::infinity();
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
  const PoolSpeed sp = poolSpeed(list);
  std::optional<std::size_t> best;
  double bestcost = std::numeric_limits<double>::infinity();
  for (std::size_t n = 0; n < list.size(); ++n) {
    const double cost = placementCost(list[n], sp, work, wt);
    if (cost < bestcost) {
      best = n;
      bestcost = cost;
    }
  }
  return best;
}

bool hasFreeSlot(const Candidate &c) noexcept {
  return c.Usable && !c.Paused && !c.HasWaiting && c.Running + 1 <= c.Slots;
}

std::optional<std::size_t>
chooseEmptiest(std::span<const Candidate> list) noexcept {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < list.size(); ++n)
    if (hasFreeSlot(list[n]) &&
        (!best || list[n].Running < list[*best].Running))
      best = n;
  return best;
}

} // namespace zinniagauge
