#include "zinniagauge/decide/relay_choice.h"

#include "zinniagauge/decide/random.h"

#include <tuple>

namespace zinniagauge {

namespace {

auto rankOf(const RelayCandidate &c) noexcept {
  return std::make_tuple(c.Tried, !c.SameZone, c.Running);
}

std::uint32_t attemptsLeft(const CallFacts &facts) noexcept {
  return facts.SentAttempts < facts.MaxAttempts
             ? facts.MaxAttempts - facts.SentAttempts
             : 1;
}

} // namespace

std::optional<std::size_t> chooseRelayPeer(std::span<const RelayCandidate> list,
                                           std::uint32_t maxrunning,
                                           std::uint64_t &random) noexcept {
  std::optional<std::size_t> best;
  std::size_t ties = 0;
  for (std::size_t n = 0; n < list.size(); ++n) {
    if (!list[n].Usable || list[n].Running >= maxrunning)
      continue;
    if (!best || rankOf(list[n]) < rankOf(list[*best])) {
      best = n;
      ties = 1;
    } else if (rankOf(list[n]) == rankOf(list[*best]) &&
               randomBelow(random, ++ties) == 0) {
      best = n;
    }
  }
  return best;
}

bool keepsAttempt(const CallFacts &facts) noexcept {
  return isRetrySafe(facts) && attemptsLeft(facts) > 1;
}

std::uint32_t attemptsForPeer(const CallFacts &facts) noexcept {
  return attemptsLeft(facts) - (keepsAttempt(facts) ? 1 : 0);
}

} // namespace zinniagauge
