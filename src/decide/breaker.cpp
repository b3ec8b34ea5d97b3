#include "zinniagauge/decide/breaker.h"

#include <algorithm>

namespace zinniagauge {

namespace {

constexpr std::uint32_t Permille = 1000;

std::vector<Breaker>::iterator lowerBound(BreakerList &list, EndpointId id) {
  return std::lower_bound(
      list.Breakers.begin(), list.Breakers.end(), id,
      [](const Breaker &b, EndpointId key) { return b.Id < key; });
}

Breaker *find(BreakerList &list, EndpointId id) {
  const auto it = lowerBound(list, id);
  return it != list.Breakers.end() && it->Id == id ? &*it : nullptr;
}

Breaker &findOrAdd(BreakerList &list, EndpointId id) {
  const auto it = lowerBound(list, id);
  if (it != list.Breakers.end() && it->Id == id)
    return *it;
  Breaker b;
  b.Id = id;
  return *list.Breakers.insert(it, b);
}

void updateTimes(Breaker &b, Duration t) {
  constexpr int FastDivisor = 4;
  constexpr int SlowDivisor = 64;
  if (b.Samples == 0)
    b.UsualTime = b.RecentTime = t;
  ++b.Samples;
  b.RecentTime += (t - b.RecentTime) / FastDivisor;
  b.UsualTime += (t - b.UsualTime) / SlowDivisor;
}

void updateFailures(Breaker &b, bool failed) {
  constexpr std::uint32_t Divisor = 8;
  b.FailuresPermille -= b.FailuresPermille / Divisor;
  if (failed)
    b.FailuresPermille += Permille / Divisor;
  ++b.Uses;
}

bool shouldOpen(const Breaker &b, const BreakerLimits &lim) {
  if (b.Uses >= lim.MinUses && b.FailuresPermille >= lim.OpenPermille)
    return true;
  return b.Samples >= lim.MinSamples &&
         b.RecentTime > b.UsualTime * lim.SlowFactor;
}

void open(Breaker &b, const BreakerLimits &lim, Time now) {
  b.CurrentBackoff = b.Open ? std::min(2 * b.CurrentBackoff, lim.MaxBackoff)
                            : lim.InitialBackoff;
  b.Open = true;
  b.RetryAt = now + b.CurrentBackoff;
}

/// Closes the breaker after a successful probe. The usual time is measured
/// anew, so that an endpoint that stays slower isn't excluded for good.
void close(Breaker &b) {
  Breaker fresh;
  fresh.Id = b.Id;
  b = fresh;
}

} // namespace

void recordUse(BreakerList &list, const EndpointUse &use, Time now) {
  Breaker &b = findOrAdd(list, use.Id);
  const bool wasprobe = b.Probing;
  b.Probing = false;
  updateFailures(b, use.Failed);
  if (!use.Failed && use.TimePerUnit > Duration::zero())
    updateTimes(b, use.TimePerUnit);
  if (!b.Open && shouldOpen(b, list.Limits))
    return open(b, list.Limits, now);
  if (!b.Open || !wasprobe)
    return;
  if (use.Failed)
    open(b, list.Limits, now);
  else
    close(b);
}

void cancelProbe(BreakerList &list, EndpointId id) {
  if (Breaker *b = find(list, id))
    b->Probing = false;
}

bool mayTry(BreakerList &list, EndpointId id, Time now) {
  Breaker *b = find(list, id);
  if (!b || !b->Open)
    return true;
  if (b->Probing || now < b->RetryAt)
    return false;
  b->Probing = true;
  return true;
}

} // namespace zinniagauge
