#include "zinniagauge/decide/reachability.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Time between two evaluations of a pool with evidence of failures.
constexpr Duration EvaluationPeriod = std::chrono::milliseconds(50);

/// An evaluation this late shows that the process was paused: connections timed
/// out without having been given their time.
constexpr Duration MaxEvaluationDelay = std::chrono::milliseconds(400);

/// Without any success for this long one failed back end is enough to check
/// others.
constexpr Duration SingleFailureDelay = std::chrono::milliseconds(200);

/// Fewer failures than it takes to check back ends are forgotten after this.
constexpr Duration EvidenceLifetime = std::chrono::seconds(1);

/// A conclusion needs a failure that is no older.
constexpr Duration MaxFailureAge = std::chrono::milliseconds(700);

/// For this long after connections began to fail, bytes may still arrive that
/// were on the way.
constexpr Duration LateByteTime = std::chrono::milliseconds(200);

/// Without bytes for this long older connections no longer count as alive.
constexpr Duration MaxByteGap = std::chrono::milliseconds(1500);

/// Time between checks once all back ends have failed.
constexpr Duration RepeatedCheckPeriod = std::chrono::milliseconds(250);

/// Time between checks that only have to confirm something.
constexpr Duration ConfirmPeriod = std::chrono::milliseconds(100);

/// A check without a result counts as ended after this.
constexpr Duration MaxCheckTime = std::chrono::milliseconds(500);

/// Whether the sorted \p list has \p id.
bool contains(std::span<const EndpointId> list, EndpointId id) {
  return std::binary_search(list.begin(), list.end(), id);
}

/// Adds \p id to the sorted \p list unless it is there.
void addOnce(std::vector<EndpointId> &list, EndpointId id) {
  const auto it = std::lower_bound(list.begin(), list.end(), id);
  if (it == list.end() || *it != id)
    list.insert(it, id);
}

void keepOnly(std::vector<EndpointId> &list,
              std::span<const EndpointId> usable) {
  std::erase_if(list, [&](EndpointId id) { return !contains(usable, id); });
}

void dropEvidence(PoolReachability &reach) {
  reach.Failed.clear();
  reach.Lost.clear();
  reach.FailedAttempts = 0;
  reach.FailingSince = Time();
  reach.FirstFailureAt = Time();
}

void recordFailure(PoolReachability &reach, Time since, Time now) {
  since = std::max(since, reach.LastConnectedAt);
  if (reach.FailingSince == Time()) {
    reach.FailingSince = since;
    reach.FirstFailureAt = now;
  }
  reach.FailingSince = std::min(reach.FailingSince, since);
  reach.LastFailureAt = now;
  if (reach.EvaluateAt == Time())
    reach.EvaluateAt = now;
}

void change(PoolReachability &reach, PoolReach to, Time now) {
  reach.State = to;
  reach.ChangedAt = now;
}

/// Whether new connections fail at all back ends.
bool connectionsFail(const PoolReachability &reach, std::size_t usable,
                     Time now) {
  return reach.Failed.size() >= std::min(usable, MinFailedBackends) &&
         reach.FailedAttempts >= MinFailedConnections &&
         now - reach.FailingSince >= MinUnreachedTime &&
         reach.LastAttemptAt >= reach.FirstFailureAt &&
         now - reach.LastFailureAt <= MaxFailureAge;
}

void updateState(PoolReachability &reach, std::size_t usable, Time now) {
  if (reach.State == PoolReach::Reached) {
    if (!connectionsFail(reach, usable, now))
      return;
    if (reach.LastByteAt > reach.FailingSince + LateByteTime)
      change(reach, PoolReach::NoNewConnections, now);
    else if (now - reach.LastByteAt >= MinUnreachedTime)
      change(reach, PoolReach::Unreached, now);
  } else if (reach.LastConnectedAt > reach.ChangedAt) {
    change(reach, PoolReach::Reached, now);
  } else if (reach.State == PoolReach::Unreached) {
    if (reach.LastByteAt > reach.ChangedAt)
      change(reach, PoolReach::NoNewConnections, now);
  } else if (now - reach.LastByteAt >= MaxByteGap) {
    change(reach, PoolReach::Unreached, now);
  }
}

bool isChecking(const PoolReachability &reach, EndpointId id) {
  return std::any_of(reach.Checks.begin(), reach.Checks.end(),
                     [&](const ReachCheck &c) { return c.Id == id; });
}

/// Starts a check of the next back end for which \p wanted holds. Returns false
/// if there is none.
template <typename Pred>
bool checkNext(PoolReachability &reach, std::span<const EndpointId> usable,
               Time now, std::vector<EndpointId> &out, Pred wanted) {
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const std::size_t at = (reach.NextCheck + n) % usable.size();
    const EndpointId id = usable[at];
    if (isChecking(reach, id) || !wanted(id))
      continue;
    reach.NextCheck = at + 1;
    reach.LastCheckAt = now;
    reach.Checks.push_back({id, now});
    out.push_back(id);
    return true;
  }
  return false;
}

} // namespace

void recordConnected(PoolReachability &reach, Time now) {
  reach.LastConnectedAt = now;
  reach.Confirming = false;
  reach.Checks.clear();
  dropEvidence(reach);
  if (reach.State != PoolReach::Reached)
    reach.EvaluateAt = now;
}

void recordBytes(PoolReachability &reach, Time now) noexcept {
  reach.LastByteAt = now;
}

void recordConnectFailure(PoolReachability &reach, EndpointId id, Time since,
                          Time now) {
  std::erase_if(reach.Checks, [&](const ReachCheck &c) { return c.Id == id; });
  addOnce(reach.Failed, id);
  ++reach.FailedAttempts;
  reach.LastAttemptAt = std::max(reach.LastAttemptAt, since);
  recordFailure(reach, since, now);
}

void recordLoss(PoolReachability &reach, EndpointId id, Time since, Time now) {
  addOnce(reach.Lost, id);
  recordFailure(reach, since, now);
}

void requestConfirmation(PoolReachability &reach, Time at) noexcept {
  reach.Confirming = true;
  if (reach.EvaluateAt == Time())
    reach.EvaluateAt = at;
}

bool isSuspected(const PoolReachability &reach,
                 std::span<const EndpointId> usable, Time now) {
  std::size_t count = reach.Failed.size();
  for (const EndpointId id : reach.Lost)
    count += contains(reach.Failed, id) ? 0 : 1;
  if (count == 0)
    return false;
  return count >= std::min<std::size_t>(usable.size(), 2) ||
         (std::max(reach.LastConnectedAt, reach.LastByteAt) <=
              reach.FailingSince &&
          now - reach.FailingSince >= SingleFailureDelay);
}

void evaluate(PoolReachability &reach, std::span<const EndpointId> usable,
              Time now) {
  const bool paused =
      reach.EvaluateAt != Time() && now - reach.EvaluateAt > MaxEvaluationDelay;
  keepOnly(reach.Failed, usable);
  keepOnly(reach.Lost, usable);
  std::erase_if(reach.Checks, [&](const ReachCheck &c) {
    return now - c.StartedAt > MaxCheckTime;
  });
  const bool outdated = reach.State == PoolReach::Reached &&
                        now - reach.LastFailureAt > EvidenceLifetime &&
                        !isSuspected(reach, usable, now);
  if (paused || outdated || (reach.Failed.empty() && reach.Lost.empty()))
    dropEvidence(reach);
  if (!usable.empty())
    updateState(reach, usable.size(), now);
  else if (reach.State != PoolReach::Reached)
    change(reach, PoolReach::Reached, now);
  const bool calm = reach.State == PoolReach::Reached && !reach.Confirming &&
                    reach.FailingSince == Time();
  reach.EvaluateAt = calm ? Time() : now + EvaluationPeriod;
}

std::vector<EndpointId> startChecks(PoolReachability &reach,
                                    std::span<const EndpointId> usable,
                                    Time now) {
  std::vector<EndpointId> out;
  const auto any = [](EndpointId) { return true; };
  const auto sound = [&](EndpointId id) {
    return !contains(reach.Failed, id) && !contains(reach.Lost, id);
  };
  const Duration sincecheck = now - reach.LastCheckAt;
  if (reach.State != PoolReach::Reached) {
    // A few failures make a large pool unreached, and others may be listed
    // later: those that haven't failed are checked without delay.
    while (reach.Checks.size() < MaxReachChecks &&
           checkNext(reach, usable, now, out, sound)) {
    }
    if (out.empty() && sincecheck >= UnreachedCheckPeriod)
      checkNext(reach, usable, now, out, any);
  } else if (isSuspected(reach, usable, now)) {
    while (reach.Checks.size() < MaxReachChecks &&
           checkNext(reach, usable, now, out, [&](EndpointId id) {
             return !contains(reach.Failed, id);
           })) {
    }
    if (reach.Checks.empty() && sincecheck >= RepeatedCheckPeriod)
      checkNext(reach, usable, now, out, any);
  } else if (reach.Confirming && reach.Checks.empty() &&
             sincecheck >= ConfirmPeriod) {
    if (!checkNext(reach, usable, now, out, sound))
      checkNext(reach, usable, now, out, any);
  }
  return out;
}

} // namespace zinniagauge
