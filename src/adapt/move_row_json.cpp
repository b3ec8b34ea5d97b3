// Converts version moves' rows to JSON and back.

#include "zinniagauge/adapt/move_row_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace zinniagauge {

namespace {

using nlohmann::json;

/// Stored names of the stages, in the order of MoveStage.
constexpr std::array<std::string_view, 4> StageNames = {
    "waiting", "moving", "completed", "taken_back"};

MoveStage stageOf(std::string_view name) {
  const auto it = std::find(StageNames.begin(), StageNames.end(), name);
  if (it == StageNames.end())
    throw json::other_error::create(501, "unknown stage", nullptr);
  return static_cast<MoveStage>(it - StageNames.begin());
}

MoveRow rowOf(const json &j) {
  MoveRow row;
  row.Stage = stageOf(j.at("stage").get<std::string>());
  row.SharePermille = j.at("share_permille").get<std::uint32_t>();
  row.FencingToken = j.at("fence").get<std::uint64_t>();
  row.Holder = VmId{j.at("holder").get<std::uint64_t>()};
  row.HolderIncarnation = j.at("holder_incarnation").get<std::uint64_t>();
  row.Renewals = j.at("renewals").get<std::uint64_t>();
  row.VersionIsBad = j.at("bad").get<bool>();
  row.BadReason = j.at("evidence").get<std::string>();
  row.ChangedAt =
      WallTime(std::chrono::milliseconds(j.at("changed_ms").get<long>()));
  return row;
}

} // namespace

std::string moveRowName(std::string_view name) {
  return std::string("move/").append(name);
}

std::string encodeMoveRow(const MoveRow &row) {
  const json j = {
      {"stage", StageNames[static_cast<std::size_t>(row.Stage)]},
      {"share_permille", row.SharePermille},
      {"fence", row.FencingToken},
      {"holder", row.Holder.Value},
      {"holder_incarnation", row.HolderIncarnation},
      {"renewals", row.Renewals},
      {"bad", row.VersionIsBad},
      {"evidence", row.BadReason},
      {"changed_ms", row.ChangedAt.time_since_epoch().count()},
  };
  return j.dump();
}

Result<MoveRow> decodeMoveRow(std::string_view text) {
  try {
    return rowOf(json::parse(text));
  } catch (const json::exception &ex) {
    return fail({ErrorCode::Broken, Step::Move, {}, ex.what()});
  }
}

} // namespace zinniagauge
