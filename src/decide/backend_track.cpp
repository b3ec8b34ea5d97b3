#include "zinniagauge/decide/backend_track.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// How long it is remembered that a life has left; longer than any reading can
/// be late.
constexpr Duration LeftMemory = std::chrono::seconds(120);

void noteLeft(BackendTrack &track, const BackendLife &life, Time now) {
  track.Left.emplace(life, now);
}

void forgetOld(BackendTrack &track, Time now) {
  std::erase_if(track.Left,
                [&](const auto &it) { return now - it.second > LeftMemory; });
}

/// Drops lives that the latest reading didn't list. True if there was one.
bool dropMissing(BackendTrack &track, Time now) {
  const auto dropped = std::erase_if(track.Lives, [&](const auto &it) {
    if (it.second.Listed)
      return false;
    noteLeft(track, it.first, now);
    return true;
  });
  return dropped > 0;
}

} // namespace

bool takeReading(BackendTrack &track, std::span<const Backend> listed,
                 Time asked, Time now) {
  if (track.Read && asked - track.LastRead > ListOutage)
    track.GraceEnds = now + RenewalGrace;
  track.LastRead = asked;
  track.Read = true;
  const bool grace = now < track.GraceEnds;
  const auto before = usable(track).List;
  for (auto &[life, seen] : track.Lives)
    seen.Listed = false;
  for (const Backend &b : listed) {
    const BackendLife life{b.Name, b.Born};
    if (b.Leaving)
      noteLeft(track, life, now);
    track.Lives[life] = {b, true};
  }
  if (!grace)
    dropMissing(track, now);
  forgetOld(track, now);
  return usable(track).List != before;
}

bool confirmReading(BackendTrack &track, Time asked, Time now) {
  track.LastRead = std::max(track.LastRead, asked);
  return now >= track.GraceEnds && dropMissing(track, now);
}

std::uint64_t digestOf(std::span<const Backend> listed) {
  std::vector<std::string> lines;
  for (const Backend &b : listed)
    lines.push_back(b.Name + "@" + std::to_string(b.Born) + "@" +
                    toString(b.Address) + "@" +
                    std::to_string(b.Pool.Value ^ b.Version.Value) + "@" +
                    std::to_string(b.Slots) + (b.Leaving ? "-" : "+"));
  std::sort(lines.begin(), lines.end());
  std::string all;
  for (const std::string &line : lines)
    all.append(line).append("\n");
  return nameHash(all);
}

BackendList usable(const BackendTrack &track) {
  BackendList out;
  for (const auto &[life, seen] : track.Lives) {
    Backend b = seen.Last;
    // A later life of the same name ends all earlier ones.
    const auto next = track.Lives.upper_bound(life);
    const bool replaced =
        next != track.Lives.end() && next->first.Name == life.Name;
    b.Leaving = b.Leaving || replaced || track.Left.contains(life);
    out.List.push_back(std::move(b));
  }
  std::sort(out.List.begin(), out.List.end(),
            [](const Backend &a, const Backend &b) {
              return a.Id != b.Id ? a.Id < b.Id : a.Born < b.Born;
            });
  return out;
}

} // namespace zinniagauge
