#include "zinniagauge/decide/backend_choice.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// What all costs of one choice are worked out from.
struct PoolSpeed {
  double MeanMs = 1; // Of an event.
  double MostMs = 1; // Of the slowest back end.
  double Busy = 0;   // Part of all slots that are taken.
};

PoolSpeed speedOf(std::span<const Candidate> list) noexcept {
  PoolSpeed sp;
  const double mean = meanEventMs(list);
  sp.MeanMs = mean > 0 ? mean : 1;
  sp.MostMs = sp.MeanMs;
  double running = 0;
  double slots = 0;
  for (const Candidate &c : list) {
    if (!c.Usable)
      continue;
    sp.MostMs = std::max(sp.MostMs, c.EventMs);
    running += c.Running;
    slots += c.Slots;
  }
  sp.Busy = slots > 0 ? std::min(running / slots, 1.0) : 0;
  return sp;
}

/// The time that the call takes at \p c and what it takes from others, in ms.
double costAt(const Candidate &c, const PoolSpeed &sp, const CallEstimate &work,
              const ChoiceWeights &wt) noexcept {
  const double event = c.EventMs > 0 ? c.EventMs : sp.MeanMs;
  const double slowness = event / sp.MeanMs;
  const double crowd = 1 + wt.LoadSlowdown * c.Running / c.Slots;
  const double first =
      (c.PendingTokens + work.PromptTokens) * work.PromptTokenMs * slowness +
      event * crowd;
  const double rest = (work.ExpectedEvents - 1) * event * crowd;
  double cost = first + wt.RemainderWeight * rest;
  if (first > work.TargetLeftMs)
    cost += wt.LatePenaltyMs;
  if (first + rest > work.TimeLeftMs)
    cost += wt.TimeoutPenaltyMs;
  // The slot of a fast back end is worth more to a long call: the fuller the
  // pool, the more of that a short call has to pay.
  cost += wt.SlotPrice * sp.Busy * (sp.MostMs - event);
  if (!c.SameZone)
    cost += wt.CrossZonePenaltyMs;
  return cost;
}

} // namespace

double meanEventMs(std::span<const Candidate> list) noexcept {
  double sum = 0;
  double known = 0;
  for (const Candidate &c : list)
    if (c.EventMs > 0) {
      sum += c.EventMs;
      ++known;
    }
  return known > 0 ? sum / known : 0;
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
