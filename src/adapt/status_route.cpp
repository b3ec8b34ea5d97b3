#include "zinniagauge/adapt/status_route.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace zinniagauge {

using nlohmann::json;

namespace {

constexpr std::array<const char *, 4> MemberStates = {"alive", "suspect",
                                                      "leaving", "dead"};
constexpr std::array<const char *, 4> MoveStages = {"waiting", "moving",
                                                    "completed", "taken_back"};

json entryJson(const EntryReport &rep) {
  return {{"reached", rep.Reachable},
          {"bundle_version", rep.BundleVersion},
          {"in_progress", rep.InProgress},
          {"stopping", rep.Stopping}};
}

json membersJson(const MemberList &list) {
  json out = json::array();
  for (const Member &m : list.Members)
    out.push_back(
        {{"name", m.Name},
         {"zone", m.ZoneName},
         {"metrics_address", m.MetricsAddress},
         {"state", MemberStates.at(static_cast<std::size_t>(m.State))},
         {"bundle_version", m.BundleVersion}});
  return out;
}

std::string nameOf(const Bundle &b, MoveId id) {
  for (const MoveSpec &m : b.Moves)
    if (m.Id == id)
      return m.Name;
  return {};
}

json movesJson(const Bundle &b, const MoveList &list) {
  json out = json::array();
  for (const MoveState &m : list.Moves)
    out.push_back({{"name", nameOf(b, m.Id)},
                   {"stage", MoveStages.at(static_cast<std::size_t>(m.Stage))},
                   {"share_permille", m.SharePermille},
                   {"bad", m.VersionIsBad},
                   {"evidence", m.BadReason}});
  return out;
}

/// Counts the endpoints that have \p flag set.
std::size_t countOf(const EndpointList &list, bool EndpointState::*flag) {
  return static_cast<std::size_t>(
      std::count_if(list.Endpoints.begin(), list.Endpoints.end(),
                    [&](const EndpointState &st) { return st.*flag; }));
}

std::string statusJson(const StatusSources &src) {
  const ReadGuard guard;
  const Bundle &b = src.SharedBoard->ActiveBundle.read(guard);
  const EndpointList &eps = src.SharedBoard->Endpoints.read(guard);
  const json out{{"vm", src.Settings->VmName},
                 {"zone", src.Settings->ZoneName},
                 {"bundle_version", b.Version},
                 {"bundle_digest", b.Digest},
                 {"table_reached", src.IsTableReachable()},
                 {"leaving", countOf(eps, &EndpointState::Leaving)},
                 {"draining", countOf(eps, &EndpointState::Draining)},
                 {"entry", entryJson(src.Report->read(guard))},
                 {"members", membersJson(src.SharedBoard->Members.read(guard))},
                 {"moves", movesJson(b, src.SharedBoard->Moves.read(guard))}};
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

OperatorRoute statusRoute(StatusSources src) {
  return {"GET", "/v1/status",
          [src = std::move(src)](const OperatorCall & /*call*/) {
            return Result<std::string>(statusJson(src));
          }};
}

} // namespace zinniagauge
