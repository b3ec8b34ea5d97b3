// Counts an endpoint's usage and checks its capacity.
#include "zinniagauge/decide/endpoint_account.h"

#include "zinniagauge/board/invariant.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

/// The time between two samples of the own usage.
constexpr Duration SampleInterval = std::chrono::milliseconds(100);

std::size_t indexOf(SizeClass cls) noexcept {
  return static_cast<std::size_t>(cls);
}

template <typename T> T subtractOrZero(T a, T b) noexcept {
  return a > b ? a - b : 0;
}

/// The maximum own usage around \p at.
Usage usageAround(const EndpointAccount &acc, Time at) noexcept {
  Usage peak;
  for (const UsageSample &it : acc.UsageSamples) {
    if (it.SampledAt < at - 2 * SampleInterval ||
        it.SampledAt > at + 2 * SampleInterval)
      continue;
    peak.Slots = std::max(peak.Slots, it.InUse.Slots);
    peak.Tokens = std::max(peak.Tokens, it.InUse.Tokens);
  }
  return peak;
}

/// The part \p share of the capacity of \p acc.
Usage reservedCapacity(const EndpointAccount &acc, double share) noexcept {
  return {static_cast<std::uint32_t>(std::lround(acc.Slots * share)),
          static_cast<std::uint64_t>(acc.TokenLimit * share)};
}

} // namespace

Usage ownUsage(const EndpointAccount &acc) noexcept {
  return {acc.OwnByClass[0].Slots + acc.OwnByClass[1].Slots,
          acc.OwnByClass[0].Tokens + acc.OwnByClass[1].Tokens};
}

bool hasCapacity(const EndpointAccount &acc,
                 const CapacityRequest &want) noexcept {
  const Usage &small = acc.OwnByClass[indexOf(SizeClass::Small)];
  const Usage own = ownUsage(acc);
  const Usage reserve = reservedCapacity(acc, want.ReserveShare);
  if (want.Use == ReserveUse::OnlyReserve &&
      (small.Slots >= reserve.Slots ||
       (acc.TokenLimit > 0 && small.Tokens >= reserve.Tokens)))
    return false;
  Usage unused; // The unused part of the reserve.
  if (want.Use == ReserveUse::Preserve)
    unused = {subtractOrZero(reserve.Slots, small.Slots),
              subtractOrZero(reserve.Tokens, small.Tokens)};
  if (own.Slots + acc.ExternalUsage.Slots + unused.Slots >= acc.Slots)
    return false;
  if (acc.TokenLimit == 0)
    return true;
  const std::uint64_t used =
      own.Tokens + acc.ExternalUsage.Tokens + unused.Tokens;
  // A ticket above half of the limit would never find that much capacity free,
  // so any ticket fits while at most half is in use.
  return used + want.Tokens <= acc.TokenLimit || used <= acc.TokenLimit / 2;
}

void addUsage(EndpointAccount &acc, SizeClass cls,
              std::uint32_t tokens) noexcept {
  Usage &u = acc.OwnByClass[indexOf(cls)];
  ++u.Slots;
  u.Tokens += tokens;
}

void removeUsage(EndpointAccount &acc, SizeClass cls,
                 std::uint32_t tokens) noexcept {
  Usage &u = acc.OwnByClass[indexOf(cls)];
  const bool consistent = u.Slots > 0 && u.Tokens >= tokens;
  if (!check(Invariant::SlotsBalance, consistent)) {
    u = {};
    return;
  }
  --u.Slots;
  u.Tokens -= tokens;
  check(Invariant::SlotsBalance, u.Slots > 0 || u.Tokens == 0);
}

void sampleUsage(EndpointAccount &acc, Time now) noexcept {
  const std::size_t last =
      (acc.NextSample + acc.UsageSamples.size() - 1) % acc.UsageSamples.size();
  if (now - acc.UsageSamples[last].SampledAt < SampleInterval)
    return;
  acc.UsageSamples[acc.NextSample] = {now, ownUsage(acc)};
  acc.NextSample = (acc.NextSample + 1) % acc.UsageSamples.size();
}

void updateExternalUsage(EndpointAccount &acc, const LoadReport &report,
                         Duration maxage, Time now) noexcept {
  const Duration age = std::max(now - report.MeasuredAt, Duration::zero());
  if (age >= maxage) {
    acc.ExternalUsage = {};
    return;
  }
  const double weight = 1.0 - static_cast<double>(age.count()) /
                                  static_cast<double>(maxage.count());
  const Usage own = usageAround(acc, report.MeasuredAt);
  const double slots =
      subtractOrZero(report.Running + report.Waiting, own.Slots);
  const auto tokens = static_cast<double>(
      subtractOrZero<std::uint64_t>(report.TokensInFlight, own.Tokens));
  acc.ExternalUsage.Slots = static_cast<std::uint32_t>(slots * weight);
  acc.ExternalUsage.Tokens = static_cast<std::uint64_t>(tokens * weight);
}

} // namespace zinniagauge
