#include "zinniagauge/decide/backend_tracker.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How long it is remembered that a life has left; longer than any reading can
/// be late.
constexpr Duration LeftMemory = std::chrono::seconds(120);

void noteLeft(BackendTracker &track, const BackendIncarnation &life, Time now) {
  track.LeavingSince.emplace(life, now);
}

void forgetOld(BackendTracker &track, Time now) {
  std::erase_if(track.LeavingSince,
                [&](const auto &it) { return now - it.second > LeftMemory; });
}

/// Drops lives that the latest reading didn't list. True if there was one.
bool dropMissing(BackendTracker &track, Time now) {
  const auto dropped = std::erase_if(track.Incarnations, [&](const auto &it) {
    if (it.second.Listed)
      return false;
    noteLeft(track, it.first, now);
    return true;
  });
  return dropped > 0;
}

} // namespace

bool applyReading(BackendTracker &track, std::span<const Backend> listed,
                  Time asked, Time now) {
  if (track.HasReading && asked - track.LastReadAt > MinListOutage)
    track.GraceDeadline = now + RenewalGrace;
  track.LastReadAt = asked;
  track.HasReading = true;
  const bool grace = now < track.GraceDeadline;
  const auto before = usableBackends(track).List;
  for (auto &[life, seen] : track.Incarnations)
    seen.Listed = false;
  for (const Backend &b : listed) {
    const BackendIncarnation life{b.Name, b.StartedAtMs};
    if (b.Leaving)
      noteLeft(track, life, now);
    track.Incarnations[life] = {b, true};
  }
  if (!grace)
    dropMissing(track, now);
  forgetOld(track, now);
  return usableBackends(track).List != before;
}

bool confirmUnchanged(BackendTracker &track, Time asked, Time now) {
  track.LastReadAt = std::max(track.LastReadAt, asked);
  return now >= track.GraceDeadline && dropMissing(track, now);
}

std::uint64_t digestOf(std::span<const Backend> listed) {
  std::vector<std::string> lines;
  for (const Backend &b : listed)
    lines.push_back(b.Name + "@" + std::to_string(b.StartedAtMs) + "@" +
                    toString(b.Address) + "@" +
                    std::to_string(b.Pool.Value ^ b.Version.Value) + "@" +
                    std::to_string(b.Slots) + (b.Leaving ? "-" : "+"));
  std::sort(lines.begin(), lines.end());
  std::string all;
  for (const std::string &line : lines)
    all.append(line).append("\n");
  return nameHash(all);
}

BackendList usableBackends(const BackendTracker &track) {
  BackendList out;
  for (const auto &[life, seen] : track.Incarnations) {
    Backend b = seen.LastEntry;
    // A later life of the same name ends all earlier ones.
    const auto next = track.Incarnations.upper_bound(life);
    const bool replaced =
        next != track.Incarnations.end() && next->first.Name == life.Name;
    b.Leaving = b.Leaving || replaced || track.LeavingSince.contains(life);
    out.List.push_back(std::move(b));
  }
  std::sort(out.List.begin(), out.List.end(),
            [](const Backend &a, const Backend &b) {
              return a.Id != b.Id ? a.Id < b.Id : a.StartedAtMs < b.StartedAtMs;
            });
  return out;
}

} // namespace zinniagauge
