#include "zinniagauge/decide/schedule.h"

#include <algorithm>
#include <optional>

namespace zinniagauge {

namespace {

/// How long a grant may be used after it was issued.
constexpr Duration GrantTtl = std::chrono::seconds(2);

bool servedBefore(const QueuedTicket &a, const QueuedTicket &b) noexcept {
  if (a.Asked.Rank != b.Asked.Rank)
    return isHigher(a.Asked.Rank, b.Asked.Rank);
  return a.Deadline < b.Deadline;
}

std::uint32_t inFlight(const Scheduler &s, EndpointId id) noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(s.Open.begin(), s.Open.end(), [&](const auto &it) {
        return it.second.Given.Endpoint == id;
      }));
}

bool usable(const ScheduleView &view, const EndpointSpec &ep) noexcept {
  const EndpointState *st = findState(view.Endpoints, ep.Id);
  return !st || (!st->Leaving && !st->Draining);
}

const EndpointSpec *choose(const Scheduler &s, const ScheduleView &view) {
  const EndpointSpec *best = nullptr;
  std::uint32_t least = 0;
  for (const EndpointSpec &ep : view.InForce.Endpoints) {
    if (ep.Pool != s.Pool || ep.Zone != s.Zone || !usable(view, ep))
      continue;
    const std::uint32_t n = inFlight(s, ep.Id);
    if (n >= ep.Slots || (best && n >= least))
      continue;
    best = &ep;
    least = n;
  }
  return best;
}

Grant grantTo(Scheduler &s, const QueuedTicket &q, const EndpointSpec &ep,
              Time now) {
  Grant g;
  g.Id = {s.Self, s.Incarnation, s.NextGrant++};
  g.Attempt = q.Asked.Attempt;
  g.Endpoint = ep.Id;
  g.Version = ep.Version;
  g.Tokens = q.Asked.PromptTokens + q.Asked.OutputTokens;
  g.Issued = now;
  g.Ttl = GrantTtl;
  return g;
}

void refuseLate(Scheduler &s, Time now, ScheduleChanges &out) {
  std::erase_if(s.Queue, [&](const QueuedTicket &q) {
    if (q.Deadline > now)
      return false;
    out.Refusals.push_back(
        {q.Asked.Attempt, q.Asked.Entry, RefusalReason::TooLate});
    return true;
  });
}

} // namespace

void enqueue(Scheduler &s, const Ticket &t, Time now) {
  const bool queued =
      std::any_of(s.Queue.begin(), s.Queue.end(),
                  [&](const auto &q) { return q.Asked.Attempt == t.Attempt; });
  if (queued || s.Open.contains(t.Attempt))
    return;
  const QueuedTicket q{t, now, now + t.TimeLeft};
  s.Queue.insert(
      std::upper_bound(s.Queue.begin(), s.Queue.end(), q, servedBefore), q);
}

void cancel(Scheduler &s, AttemptId id) {
  std::erase_if(s.Queue, [&](const auto &q) { return q.Asked.Attempt == id; });
}

void giveBack(Scheduler &s, const GrantReturn &ret, Time /*now*/) {
  s.Open.erase(ret.Attempt);
}

void announce(Scheduler &s, const Grant &g, VmId entry, Time now) {
  s.Open.emplace(g.Attempt, OpenGrant{g, entry, now + g.Ttl});
}

void step(Scheduler &s, const ScheduleView &view, Time now,
          ScheduleChanges &out) {
  refuseLate(s, now, out);
  while (!s.Queue.empty()) {
    const EndpointSpec *ep = choose(s, view);
    if (!ep)
      return;
    const QueuedTicket q = s.Queue.front();
    s.Queue.erase(s.Queue.begin());
    const Grant g = grantTo(s, q, *ep, now);
    s.Open.emplace(g.Attempt, OpenGrant{g, q.Asked.Entry, now + g.Ttl});
    out.Grants.push_back(g);
  }
}

} // namespace zinniagauge
