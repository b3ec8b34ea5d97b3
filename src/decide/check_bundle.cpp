#include "zinniagauge/decide/check_bundle.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace zinniagauge {

namespace {

using Faults = std::vector<BundleFault>;

/// All of a pool's traffic, in thousandths.
constexpr std::uint32_t FullSharePermille = 1000;

std::string pathOf(std::string_view list, std::size_t n,
                   std::string_view member = {}) {
  std::string path = "/";
  path.append(list).append("/").append(std::to_string(n));
  if (!member.empty())
    path.append("/").append(member);
  return path;
}

/// The message for a name whose hash equals that of an earlier item at \p path.
std::string duplicateMessage(const std::string &name, const std::string &other,
                             const std::string &path) {
  if (name == other)
    return "the name is used at " + path + " already";
  std::string text = "choose another name: its hash equals that of ";
  text.append(other).append(" at ").append(path);
  return text;
}

/// Reports names of \p list that are equal or have equal hashes.
template <typename T>
void checkNames(std::string_view list, const std::vector<T> &specs,
                Faults &out) {
  std::map<std::uint64_t, std::size_t> seen;
  for (std::size_t n = 0; n < specs.size(); ++n) {
    if (specs[n].Name.empty())
      continue;
    const auto [it, fresh] = seen.emplace(specs[n].Id.Value, n);
    if (!fresh)
      out.push_back({pathOf(list, n, "name"),
                     duplicateMessage(specs[n].Name, specs[it->second].Name,
                                      pathOf(list, it->second))});
  }
}

/// Reports texts that occur at more than one path. Empty texts are ignored.
class UniqueTexts {
public:
  explicit UniqueTexts(std::string what) : What(std::move(what)) {}

  void add(const std::string &text, const std::string &path, Faults &out) {
    if (text.empty())
      return;
    const auto [it, fresh] = FirstPaths.emplace(text, path);
    if (!fresh)
      out.push_back({path, What + " is used at " + it->second + " already"});
  }

private:
  std::string What;
  std::map<std::string, std::string> FirstPaths;
};

void checkTiers(const Bundle &b, Faults &out) {
  if (b.Tiers.empty())
    out.push_back({"/tiers", "a bundle needs at least one tier"});
  if (b.Tiers.size() > MaxTiers)
    out.push_back({"/tiers", "at most " + std::to_string(MaxTiers) +
                                 " tiers are allowed"});
  UniqueTexts names("the name");
  std::map<Tier, std::size_t> ranks;
  for (std::size_t n = 0; n < b.Tiers.size(); ++n) {
    const TierSpec &t = b.Tiers[n];
    names.add(t.Name, pathOf("tiers", n, "name"), out);
    if (t.Rank == UnknownTier)
      continue;
    const auto [it, fresh] = ranks.emplace(t.Rank, n);
    if (!fresh)
      out.push_back(
          {pathOf("tiers", n, "rank"),
           "the rank is used at " + pathOf("tiers", it->second) + " already"});
    else if (t.Rank.Rank >= b.Tiers.size())
      out.push_back({pathOf("tiers", n, "rank"),
                     "ranks must count up from 0 without a gap"});
  }
}

void checkWorkspaces(const Bundle &b, Faults &out) {
  checkNames("workspaces", b.Workspaces, out);
  UniqueTexts digests("the key digest");
  for (std::size_t n = 0; n < b.Workspaces.size(); ++n)
    for (std::size_t k = 0; k < b.Workspaces[n].KeyDigests.size(); ++k)
      digests.add(b.Workspaces[n].KeyDigests[k],
                  pathOf("workspaces", n, "key_digests/" + std::to_string(k)),
                  out);
}

const PoolSpec *poolOf(const Bundle &b, PoolId id) {
  const auto it = std::find_if(b.Pools.begin(), b.Pools.end(),
                               [&](const PoolSpec &p) { return p.Id == id; });
  return it == b.Pools.end() ? nullptr : &*it;
}

/// Finds the pool of \p id, and reports a fault at \p path if there is none. An
/// id of zero stands for a missing name that the reader has already reported.
const PoolSpec *requirePool(const Bundle &b, PoolId id, std::string path,
                            Faults &out) {
  const PoolSpec *pool = poolOf(b, id);
  if (!pool && id != PoolId{})
    out.push_back({std::move(path), "no pool has this name"});
  return pool;
}

bool hasEndpoint(const Bundle &b, PoolId id) {
  return std::any_of(b.Endpoints.begin(), b.Endpoints.end(),
                     [&](const EndpointSpec &e) { return e.Pool == id; });
}

void checkRoute(const Bundle &b, std::size_t n, Faults &out) {
  const RouteSpec &r = b.Routes[n];
  const std::string path = pathOf("routes", n);
  if (r.Model.empty() == r.PathPrefix.empty())
    out.push_back({path, "a route needs either model or path_prefix"});
  if (!r.PathPrefix.empty() && r.PathPrefix.front() != '/')
    out.push_back({path + "/path_prefix", "a path prefix starts with '/'"});
  const PoolSpec *pool = requirePool(b, r.Pool, path + "/pool", out);
  if (!pool)
    return;
  if (!r.Model.empty() && pool->Kind != PoolKind::Engine)
    out.push_back({path + "/pool", "a model's pool must be of kind engine"});
  if (!r.PathPrefix.empty() && pool->Kind != PoolKind::Service)
    out.push_back({path + "/pool", "a path's pool must be of kind service"});
  if (!hasEndpoint(b, r.Pool))
    out.push_back({path + "/pool", "the pool has no endpoint"});
}

void checkRoutes(const Bundle &b, Faults &out) {
  checkNames("routes", b.Routes, out);
  UniqueTexts models("the model");
  UniqueTexts prefixes("the path prefix");
  for (std::size_t n = 0; n < b.Routes.size(); ++n) {
    checkRoute(b, n, out);
    models.add(b.Routes[n].Model, pathOf("routes", n, "model"), out);
    prefixes.add(b.Routes[n].PathPrefix, pathOf("routes", n, "path_prefix"),
                 out);
  }
}

void checkEndpoints(const Bundle &b, Faults &out) {
  checkNames("endpoints", b.Endpoints, out);
  UniqueTexts addresses("the address");
  for (std::size_t n = 0; n < b.Endpoints.size(); ++n) {
    const EndpointSpec &e = b.Endpoints[n];
    const PoolSpec *pool =
        requirePool(b, e.Pool, pathOf("endpoints", n, "pool"), out);
    if (!e.Host.empty() && e.Port != 0)
      addresses.add(e.Host + ":" + std::to_string(e.Port),
                    pathOf("endpoints", n, "port"), out);
    if (!pool || pool->Kind != PoolKind::Engine)
      continue;
    if (e.TokenLimit == 0)
      out.push_back({pathOf("endpoints", n, "token_limit"),
                     "an engine needs a token limit"});
    if (e.TokensPerSecond == 0)
      out.push_back({pathOf("endpoints", n, "tokens_per_second"),
                     "an engine needs a stated speed"});
  }
}

void checkShares(const MoveSpec &m, const std::string &path, Faults &out) {
  const auto &shares = m.SharesPermille;
  if (shares.empty())
    return;
  const auto falls_or_stays = [](std::uint32_t a, std::uint32_t c) {
    return a >= c;
  };
  if (std::adjacent_find(shares.begin(), shares.end(), falls_or_stays) !=
      shares.end())
    out.push_back({path + "/shares_permille", "the shares must rise"});
  if (shares.back() != FullSharePermille)
    out.push_back({path + "/shares_permille", "the last share must be 1000"});
}

bool servesVersion(const Bundle &b, const MoveSpec &m) {
  return std::any_of(
      b.Endpoints.begin(), b.Endpoints.end(), [&](const EndpointSpec &e) {
        return e.Pool == m.Pool &&
               (e.Version == m.OldVersion || e.Version == m.NewVersion);
      });
}

void checkMoves(const Bundle &b, Faults &out) {
  checkNames("moves", b.Moves, out);
  std::map<PoolId, std::size_t> pools;
  for (std::size_t n = 0; n < b.Moves.size(); ++n) {
    const MoveSpec &m = b.Moves[n];
    const std::string path = pathOf("moves", n);
    checkShares(m, path, out);
    if (!m.OldVersionLabel.empty() && m.OldVersion == m.NewVersion)
      out.push_back({path + "/to", "a move needs two different versions"});
    if (!requirePool(b, m.Pool, path + "/pool", out))
      continue;
    const auto [it, fresh] = pools.emplace(m.Pool, n);
    if (!fresh)
      out.push_back({path + "/pool", "the pool has a move at " +
                                         pathOf("moves", it->second) +
                                         " already"});
    if (!m.OldVersionLabel.empty() && !m.NewVersionLabel.empty() &&
        !servesVersion(b, m))
      out.push_back(
          {path + "/from", "no endpoint of the pool serves either version"});
  }
}

} // namespace

void checkBundle(const Bundle &b, std::vector<BundleFault> &out) {
  checkTiers(b, out);
  checkWorkspaces(b, out);
  checkNames("pools", b.Pools, out);
  checkRoutes(b, out);
  checkEndpoints(b, out);
  checkMoves(b, out);
}

std::string describe(std::span<const BundleFault> faults) {
  std::string text;
  for (const BundleFault &f : faults) {
    if (!text.empty())
      text.push_back('\n');
    text.append(f.Path.empty() ? "bundle" : f.Path)
        .append(": ")
        .append(f.Message);
  }
  return text;
}

} // namespace zinniagauge
