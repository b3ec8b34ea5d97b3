// The indexes of a bundle and the look-ups in them.
#include "zinniagauge/board/bundle.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Whether \p prefix matches whole segments of \p path, so that "/cue" doesn't
/// match "/cues".
bool matchesPrefix(std::string_view prefix, std::string_view path) noexcept {
  if (prefix.empty() || !path.starts_with(prefix))
    return false;
  return prefix.back() == '/' || path.size() == prefix.size() ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

/// The element of \p list that \p index has for \p id, or null.
template <typename T, typename Id>
const T *lookUp(const std::vector<T> &list,
                const std::unordered_map<Id, std::size_t> &index,
                Id id) noexcept {
  const auto it = index.find(id);
  return it == index.end() ? nullptr : &list[it->second];
}

void indexZones(Bundle &b) {
  b.ZonesByPool.clear();
  for (const EndpointSpec &ep : b.Endpoints) {
    std::vector<ZoneId> &zones = b.ZonesByPool[ep.Pool];
    const auto it = std::lower_bound(zones.begin(), zones.end(), ep.Zone);
    if (it == zones.end() || *it != ep.Zone)
      zones.insert(it, ep.Zone);
  }
}

} // namespace

void indexBundle(Bundle &b) {
  b.ByKeyDigest.clear();
  b.ByEndpoint.clear();
  b.ByPool.clear();
  for (std::size_t n = 0; n < b.Workspaces.size(); ++n)
    for (const std::string &digest : b.Workspaces[n].KeyDigests)
      b.ByKeyDigest.emplace(digest, n);
  for (std::size_t n = 0; n < b.Endpoints.size(); ++n)
    b.ByEndpoint.emplace(b.Endpoints[n].Id, n);
  for (std::size_t n = 0; n < b.Pools.size(); ++n)
    b.ByPool.emplace(b.Pools[n].Id, n);
  indexZones(b);
}

const WorkspaceSpec *findWorkspace(const Bundle &b,
                                   std::string_view digest) noexcept {
  const auto it = b.ByKeyDigest.find(std::string(digest));
  return it == b.ByKeyDigest.end() ? nullptr : &b.Workspaces[it->second];
}

const RouteSpec *findRouteByModel(const Bundle &b,
                                  std::string_view model) noexcept {
  const auto it =
      std::find_if(b.Routes.begin(), b.Routes.end(), [&](const RouteSpec &r) {
        return !r.Model.empty() && r.Model == model;
      });
  return it == b.Routes.end() ? nullptr : &*it;
}

const RouteSpec *findRouteByPath(const Bundle &b,
                                 std::string_view path) noexcept {
  const RouteSpec *best = nullptr;
  for (const RouteSpec &r : b.Routes) {
    if (!matchesPrefix(r.PathPrefix, path))
      continue;
    if (!best || r.PathPrefix.size() > best->PathPrefix.size())
      best = &r;
  }
  return best;
}

const TierSpec *findTier(const Bundle &b, std::string_view name) noexcept {
  const auto it =
      std::find_if(b.Tiers.begin(), b.Tiers.end(),
                   [&](const TierSpec &t) { return t.Name == name; });
  return it == b.Tiers.end() ? nullptr : &*it;
}

const EndpointSpec *findEndpoint(const Bundle &b, EndpointId id) noexcept {
  return lookUp(b.Endpoints, b.ByEndpoint, id);
}

const PoolSpec *findPool(const Bundle &b, PoolId id) noexcept {
  return lookUp(b.Pools, b.ByPool, id);
}

std::span<const ZoneId> zonesOf(const Bundle &b, PoolId pool) noexcept {
  const auto it = b.ZonesByPool.find(pool);
  if (it == b.ZonesByPool.end())
    return {};
  return it->second;
}

} // namespace zinniagauge
