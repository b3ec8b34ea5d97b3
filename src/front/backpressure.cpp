// Reads what back ends ask of their senders from the heads of their responses,
// and shares their limits with the other fronts.
#include "zinniagauge/decide/backpressure.h"

#include "zinniagauge/front/request_loop.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace zinniagauge {

namespace {

/// The age at which a limit that still holds is published again.
constexpr Duration RepublishAge = std::chrono::seconds(10);

constexpr int ServiceUnavailable = 503;

/// Reads a number that isn't negative; nullopt if \p text is none.
std::optional<double> parseAmount(std::string_view text) noexcept {
  double num = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), num);
  if (ec != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(num) || num < 0)
    return std::nullopt;
  return num;
}

/// Reads the number in the header \p name. Logs one that can't be used.
std::optional<double> amountIn(RequestLoop &rl, const BackendState &from,
                               const MessageHead &head, std::string_view name) {
  const auto text = findField(head.Fields, name);
  if (!text)
    return std::nullopt;
  const std::optional<double> num = parseAmount(*text);
  if (!num) {
    constexpr std::size_t MaxLoggedBytes = 40;
    EventLine line = eventLine("backend_header_unreadable");
    add(line, "backend", from.Info.Name);
    add(line, "header", name);
    add(line, "value", text->substr(0, MaxLoggedBytes));
    rl.Log.write(line);
  }
  return num;
}

BackpressureSignal signalIn(RequestLoop &rl, const BackendState &from,
                            const MessageHead &head) {
  BackpressureSignal out;
  out.Leaving = findField(head.Fields, rl.Names.Leaving) == "1";
  out.LimitPerSecond = amountIn(rl, from, head, rl.Names.SendLimit);
  out.RejectionsPerSecond = amountIn(rl, from, head, rl.Names.RejectionLimit);
  if (head.Status != ServiceUnavailable)
    return out;
  out.Rejected = findField(head.Fields, rl.Names.NotRun).has_value();
  if (const auto secs = amountIn(rl, from, head, "Retry-After"))
    out.RetryAfter =
        *secs < std::chrono::duration<double>(MaxRetryAfter).count()
            ? std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(*secs))
            : MaxRetryAfter;
  return out;
}

void logLimit(RequestLoop &rl, const BackendState &b, std::string_view source) {
  constexpr double MilliPerUnit = 1000;
  EventLine line = eventLine("backend_limit");
  add(line, "backend", b.Info.Name);
  add(line, "per_second_milli",
      static_cast<std::int64_t>(b.Asked.LimitPerSecond * MilliPerUnit));
  add(line, "fronts", std::int64_t{rl.Board.LivingFronts});
  add(line, "from", source);
  rl.Log.write(line);
}

/// Keeps what \p to says of its limit and publishes it if that is news.
void recordLimit(RequestLoop &rl, BackendState &to, double persecond) {
  const Time now = rl.EventLoop.Now;
  if (setLimit(to.Asked, persecond, now, rl.RandomState))
    logLimit(rl, to, "response");
  auto &list = rl.BackendLimits.List;
  const auto it = std::lower_bound(
      list.begin(), list.end(), to.Info.Id,
      [](const BackendLimit &l, EndpointId id) { return l.Id < id; });
  const bool known = it != list.end() && it->Id == to.Info.Id;
  if (!known && persecond == 0)
    return;
  const bool news = !known || it->PerSecond != to.Asked.LimitPerSecond ||
                    now - it->At > RepublishAge;
  const BackendLimit limit{to.Info.Id, to.Asked.LimitPerSecond, now};
  if (known)
    *it = limit;
  else
    mergeLimits(rl.BackendLimits, {&limit, 1});
  if (!news)
    return;
  rl.Board.OwnLimits.publish(rl.BackendLimits);
  scheduleLoadReport(rl);
}

} // namespace

void recordBackpressure(RequestLoop &rl, BackendState &to,
                        const MessageHead &head, bool echoesid) {
  constexpr int Misdirected = 421; // Another process answered.
  if (head.Status == Misdirected)
    return;
  const BackpressureSignal signal = signalIn(rl, to, head);
  if (signal.Leaving && !to.Asked.Leaving) {
    to.Asked.Leaving = true;
    EventLine line = eventLine("backend_says_leaving");
    add(line, "backend", to.Info.Name);
    rl.Log.write(line);
  }
  if (signal.RetryAfter && *signal.RetryAfter > Duration::zero()) {
    const Time until = rl.EventLoop.Now + *signal.RetryAfter;
    to.Asked.RetryAt = std::max(to.Asked.RetryAt, until);
    EventLine line = eventLine("backend_retry_after");
    add(line, "backend", to.Info.Name);
    add(line, "for_ms", *signal.RetryAfter);
    rl.Log.write(line);
  }
  // A response of unknown origin doesn't end a limit.
  if (signal.LimitPerSecond)
    recordLimit(rl, to, std::max(*signal.LimitPerSecond, MinLimitPerSecond));
  else if (echoesid && !findField(head.Fields, rl.Names.SendLimit))
    recordLimit(rl, to, 0);
  if (signal.RejectionsPerSecond)
    recordRejectionLimit(rl, to, signal.RejectionsPerSecond);
  else if (echoesid && !findField(head.Fields, rl.Names.RejectionLimit))
    recordRejectionLimit(rl, to, std::nullopt);
  recordOutcome(rl, to, signal.Rejected);
}

void updateLimits(RequestLoop &rl) {
  bool changed = dropExpired(rl.BackendLimits, rl.EventLoop.Now);
  {
    const ReadGuard guard;
    changed =
        mergeLimits(rl.BackendLimits, rl.Board.PeerLimits.read(guard).List) ||
        changed;
  }
  for (const BackendLimit &l : rl.BackendLimits.List) {
    const auto it = rl.Backends.find(l.Id);
    if (it != rl.Backends.end() && setLimit(it->second->Asked, l.PerSecond,
                                            rl.EventLoop.Now, rl.RandomState))
      logLimit(rl, *it->second, "peer");
  }
  if (changed)
    rl.Board.OwnLimits.publish(rl.BackendLimits);
}

Duration timeUntilSend(const RequestLoop &rl, PoolId pool) {
  const auto it = rl.Pools.find(pool);
  if (it == rl.Pools.end())
    return Duration::zero();
  const Time now = rl.EventLoop.Now;
  const Time boot = bootNow();
  Time first = Time::max();
  for (const BackendState *b : it->second.Backends) {
    if (!isUsable(*b))
      continue;
    const Time asked =
        std::max(nextSendAt(b->Asked, rl.Board.LivingFronts, now),
                 isBrittle(it->second, *b) ? b->Guard.PausedUntil : now);
    const Time cold = nextColdSendAt(rl, it->second, *b, boot);
    if (cold != Time::max())
      first = std::min(first, std::max(asked, now + (cold - boot)));
  }
  return first == Time::max() ? Duration::zero() : first - now;
}

} // namespace zinniagauge
