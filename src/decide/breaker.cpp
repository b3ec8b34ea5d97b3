#include "zinniagauge/decide/breaker.h"

#include <algorithm>

namespace zinniagauge {

namespace {

constexpr std::uint32_t Permille = 1000;

std::vector<Breaker>::iterator place(BreakerList &list, EndpointId id) {
  return std::lower_bound(
      list.Breakers.begin(), list.Breakers.end(), id,
      [](const Breaker &b, EndpointId key) { return b.Id < key; });
}

Breaker *find(BreakerList &list, EndpointId id) {
  const auto it = place(list, id);
  return it != list.Breakers.end() && it->Id == id ? &*it : nullptr;
}

Breaker &findOrAdd(BreakerList &list, EndpointId id) {
  const auto it = place(list, id);
  if (it != list.Breakers.end() && it->Id == id)
    return *it;
  Breaker b;
  b.Id = id;
  return *list.Breakers.insert(it, b);
}

void learnTime(Breaker &b, Duration t) {
  constexpr int FastShare = 4;
  constexpr int SlowShare = 64;
  if (b.Samples == 0)
    b.Usual = b.Lately = t;
  ++b.Samples;
  b.Lately += (t - b.Lately) / FastShare;
  b.Usual += (t - b.Usual) / SlowShare;
}

void learnResult(Breaker &b, bool failed) {
  constexpr std::uint32_t Share = 8;
  b.FailuresPermille -= b.FailuresPermille / Share;
  if (failed)
    b.FailuresPermille += Permille / Share;
  ++b.Uses;
}

bool isBad(const Breaker &b, const BreakerLimits &lim) {
  if (b.Uses >= lim.LeastUses && b.FailuresPermille >= lim.OpenPermille)
    return true;
  return b.Samples >= lim.LeastSamples && b.Lately > b.Usual * lim.SlowFactor;
}

void open(Breaker &b, const BreakerLimits &lim, Time now) {
  b.Pause = b.Open ? std::min(2 * b.Pause, lim.MostPause) : lim.FirstPause;
  b.Open = true;
  b.RetryAt = now + b.Pause;
}

/// Closes after a good probe. A new usual time is learnt, so that an endpoint
/// that stays slower is not kept out for good.
void close(Breaker &b) {
  Breaker fresh;
  fresh.Id = b.Id;
  b = fresh;
}

} // namespace

void noteUse(BreakerList &list, const EndpointUse &use, Time now) {
  Breaker &b = findOrAdd(list, use.Id);
  const bool wasprobe = b.Probing;
  b.Probing = false;
  learnResult(b, use.Failed);
  if (!use.Failed && use.PerUnit > Duration::zero())
    learnTime(b, use.PerUnit);
  if (!b.Open && isBad(b, list.Limits))
    return open(b, list.Limits, now);
  if (!b.Open || !wasprobe)
    return;
  if (use.Failed)
    open(b, list.Limits, now);
  else
    close(b);
}

void noteUnused(BreakerList &list, EndpointId id) {
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
