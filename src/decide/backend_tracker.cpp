#include "zinniagauge/decide/backend_tracker.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How long an incarnation is remembered as leaving; longer than any reading
/// can be delayed.
constexpr Duration LeavingRetention = std::chrono::seconds(120);

void recordLeaving(BackendTracker &tracker, const BackendIncarnation &inc,
                   Time now) {
  tracker.LeavingSince.emplace(inc, now);
}

void dropOldLeaving(BackendTracker &tracker, Time now) {
  std::erase_if(tracker.LeavingSince, [&](const auto &it) {
    return now - it.second > LeavingRetention;
  });
}

/// Records when the latest reading was requested. Returns true if the gap to
/// the one before it was an outage.
bool recordReadAt(BackendTracker &tracker, Time requested) {
  const bool outage = requested - tracker.LastReadAt > MinListOutage;
  if (outage)
    tracker.ReadableSince = requested;
  tracker.LastReadAt = requested;
  return outage;
}

/// Drops incarnations that the latest reading didn't list. Returns true if
/// there was one.
bool dropMissing(BackendTracker &tracker, Time now) {
  const auto dropped = std::erase_if(tracker.Incarnations, [&](const auto &it) {
    if (it.second.Listed)
      return false;
    recordLeaving(tracker, it.first, now);
    return true;
  });
  return dropped > 0;
}

/// An earlier end of a cold phase that is nearer to the known one than this
/// isn't taken over, so that not every reading changes the list.
constexpr Duration MinColdCorrection = std::chrono::milliseconds(500);

/// The end of the cold phase of \p next, which was read at \p boot; \p known
/// is the entry before it. The row was written before it was read, so the phase
/// ends no later than that.
Time coldUntilOf(const TrackedBackend &known, const Backend &next, Time boot) {
  const Duration left = next.ColdRemaining.value_or(Duration::zero());
  const Duration before =
      known.LastEntry.ColdRemaining.value_or(Duration::zero());
  if (left <= Duration::zero())
    return {};
  const Time end = boot + left;
  if (left > before)
    return end;
  const bool earlier =
      left < before && known.ColdUntil - end >= MinColdCorrection;
  return earlier ? end : known.ColdUntil;
}

} // namespace

bool applyReading(BackendTracker &tracker, std::span<const Backend> listed,
                  Time requested, Time now, Time boot) {
  if (recordReadAt(tracker, requested) && tracker.HasReading)
    tracker.GraceDeadline = now + RenewalGrace;
  tracker.HasReading = true;
  const bool grace = isInGrace(tracker, now);
  const auto before = usableBackends(tracker).List;
  for (auto &[inc, entry] : tracker.Incarnations)
    entry.Listed = false;
  for (const Backend &b : listed) {
    const BackendIncarnation inc{b.Name, b.StartedAtMs};
    if (b.Leaving)
      recordLeaving(tracker, inc, now);
    TrackedBackend &entry = tracker.Incarnations[inc];
    entry = {b, true, coldUntilOf(entry, b, boot)};
  }
  if (!grace)
    dropMissing(tracker, now);
  dropOldLeaving(tracker, now);
  return usableBackends(tracker).List != before;
}

bool confirmUnchanged(BackendTracker &tracker, Time requested, Time now) {
  recordReadAt(tracker, std::max(tracker.LastReadAt, requested));
  return !isInGrace(tracker, now) && dropMissing(tracker, now);
}

void keepMissing(BackendTracker &tracker, Time now) noexcept {
  if (!tracker.HasReading)
    return;
  tracker.GraceDeadline = now + RenewalGrace;
  tracker.ReadableSince = now;
}

bool isInGrace(const BackendTracker &tracker, Time now) noexcept {
  return now < tracker.GraceDeadline;
}

bool shortenGrace(BackendTracker &tracker, Time since, Time now) {
  if (!isInGrace(tracker, now))
    return false;
  tracker.ReadableSince = std::min(tracker.ReadableSince, since);
  tracker.GraceDeadline = std::min(tracker.GraceDeadline, since + RenewalGrace);
  return !isInGrace(tracker, now) && dropMissing(tracker, now);
}

std::uint64_t digestOf(std::span<const Backend> listed) {
  std::vector<std::string> lines;
  for (const Backend &b : listed)
    lines.push_back(b.Name + "@" + std::to_string(b.StartedAtMs) + "@" +
                    toString(b.Address) + "@" +
                    std::to_string(b.Pool.Value ^ b.Version.Value) + "@" +
                    std::to_string(b.Slots) + (b.Leaving ? "-" : "+") +
                    (b.ColdRemaining == Duration::zero() ? "" : "cold"));
  std::sort(lines.begin(), lines.end());
  std::string text;
  for (const std::string &line : lines)
    text.append(line).append("\n");
  return nameHash(text);
}

BackendList usableBackends(const BackendTracker &tracker) {
  BackendList out;
  for (const auto &[inc, entry] : tracker.Incarnations) {
    Backend b = entry.LastEntry;
    b.ColdUntil = entry.ColdUntil;
    b.ColdRemaining = Duration::zero();
    // A later incarnation of the same name replaces all earlier ones.
    const auto next = tracker.Incarnations.upper_bound(inc);
    const bool replaced =
        next != tracker.Incarnations.end() && next->first.Name == inc.Name;
    b.Leaving = b.Leaving || replaced || tracker.LeavingSince.contains(inc);
    out.List.push_back(std::move(b));
  }
  std::sort(out.List.begin(), out.List.end(),
            [](const Backend &a, const Backend &b) {
              return a.Id != b.Id ? a.Id < b.Id : a.StartedAtMs < b.StartedAtMs;
            });
  return out;
}

} // namespace zinniagauge
