#include "zinniagauge/decide/bundle_propagation.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/assign.h"

#include <algorithm>
#include <utility>

namespace zinniagauge {

BundleOrder orderOf(const BundleVersion &mine,
                    const BundleVersion &other) noexcept {
  if (other.Version != mine.Version)
    return other.Version < mine.Version ? BundleOrder::Older
                                        : BundleOrder::Newer;
  return other.Digest == mine.Digest ? BundleOrder::Same
                                     : BundleOrder::Conflict;
}

BundleVersion versionOf(const Bundle &b) { return {b.Version, b.Digest}; }

BundleOrder activateIfNewer(Cell<Bundle> &active, Bundle next) {
  const std::uint64_t version = next.Version;
  const BundleOrder order = [&] {
    const ReadGuard guard;
    return orderOf(versionOf(active.read(guard)), versionOf(next));
  }();
  if (order == BundleOrder::Newer)
    active.publish(std::move(next));
  const ReadGuard guard;
  check(Invariant::VersionRises, active.read(guard).Version >= version);
  return order;
}

bool shouldReadTable(std::span<const Member> members, VmId self) noexcept {
  const auto own = std::find_if(members.begin(), members.end(),
                                [&](const Member &m) { return m.Id == self; });
  if (own == members.end())
    return true;
  const auto preceding =
      std::count_if(members.begin(), members.end(), [&](const Member &m) {
        return m.Zone == own->Zone && m.State == MemberState::Alive &&
               m.Id < self;
      });
  return static_cast<std::size_t>(preceding) < PollersPerZone;
}

RecoveryView recoveryView(const Exchange &ex,
                          std::optional<std::uint64_t> table_head, Time now) {
  RecoveryView view;
  view.ActiveVersion = ex.ActiveBundle.Version;
  view.TableHead = table_head;
  view.KnownPeers = ex.Seeds.size();
  view.SinceStart = now - ex.Members.StartedAt;
  for (const Member &m : publishMembers(ex.Members, now).Members) {
    if (m.Id == ex.Members.Self || !mayHoldRoles(m))
      continue;
    ++view.ReportedPeers;
    view.HighestPeerVersion =
        std::max(view.HighestPeerVersion, m.BundleVersion);
  }
  return view;
}

bool isRecovered(const RecoveryView &view) noexcept {
  const std::uint64_t highest =
      std::max(view.TableHead.value_or(0), view.HighestPeerVersion);
  if (view.ActiveVersion == 0 || view.ActiveVersion < highest)
    return false;
  if (view.TableHead)
    return true;
  if (view.ReportedPeers == 0)
    return false;
  return view.ReportedPeers >= view.KnownPeers ||
         view.SinceStart >= PeerRecoveryTimeout;
}

} // namespace zinniagauge
