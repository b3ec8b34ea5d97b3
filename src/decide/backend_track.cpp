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
  for (auto it = track.Lives.begin(); it != track.Lives.end();) {
    if (it->second.Listed || grace) {
      ++it;
      continue;
    }
    noteLeft(track, it->first, now);
    it = track.Lives.erase(it);
  }
  forgetOld(track, now);
  return usable(track).List != before;
}

void confirmReading(BackendTrack &track, Time asked) noexcept {
  track.LastRead = std::max(track.LastRead, asked);
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
