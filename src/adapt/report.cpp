// Decodes and merges the reports of nodes, and formats the result.

#include "zinniagauge/adapt/report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace zinniagauge {

using nlohmann::json;

namespace {

/// Names of the stages in JSON, in the order of MoveStage.
constexpr std::array<std::string_view, 4> StageNames = {
    "waiting", "moving", "completed", "taken_back"};
/// Names of the stages in the text report, in the order of MoveStage.
constexpr std::array<std::string_view, 4> StageTexts = {
    "waiting", "moving", "completed", "TAKEN BACK"};
/// Names of the verdicts in JSON, in the order of BurnVerdict.
constexpr std::array<std::string_view, 3> VerdictNames = {"ok", "slow", "fast"};

/// Positions of the one-hour and six-hour windows in BurnWindowMinutes.
constexpr std::size_t OneHourWindow = 2;
constexpr std::size_t SixHourWindow = 3;

/// Maximum number of lines for tiers in the text report.
constexpr std::size_t MaxTierLines = MaxTiers;

std::string truncate(std::string text, std::size_t width) {
  if (text.size() > width)
    text = text.substr(0, width - 3) + "...";
  return text;
}

template <typename... Args>
std::string printfText(const char *format, Args... args) {
  std::array<char, 2 * MaxReportColumns> buf{};
  std::snprintf(buf.data(), buf.size(), format, args...);
  return buf.data();
}

MoveStage stageOf(const json &name) {
  const auto it = std::find(StageNames.begin(), StageNames.end(), name);
  if (it == StageNames.end())
    return MoveStage::Waiting;
  return static_cast<MoveStage>(it - StageNames.begin());
}

TierReport decodeTier(const json &doc) {
  TierReport tier;
  doc.at("name").get_to(tier.Name);
  doc.at("objective").get_to(tier.Objective);
  for (const json &it : doc.at("windows")) {
    const auto at =
        std::find(BurnWindowMinutes.begin(), BurnWindowMinutes.end(),
                  it.at("minutes").get<std::uint32_t>());
    if (at == BurnWindowMinutes.end())
      continue;
    TierCount &to =
        tier.Windows[static_cast<std::size_t>(at - BurnWindowMinutes.begin())];
    it.at("total").get_to(to.Total);
    it.at("good").get_to(to.Good);
  }
  return tier;
}

MoveReport decodeMove(const json &doc) {
  MoveReport move;
  doc.at("name").get_to(move.Name);
  move.OldVersion = doc.value("from", "");
  move.NewVersion = doc.value("to", "");
  move.Stage = stageOf(doc.at("stage"));
  doc.at("share_permille").get_to(move.SharePermille);
  doc.at("bad").get_to(move.VersionIsBad);
  doc.at("evidence").get_to(move.BadReason);
  return move;
}

NodeReport decodeNode(const json &doc) {
  NodeReport node;
  doc.at("vm").get_to(node.VmName);
  doc.at("zone").get_to(node.ZoneName);
  doc.at("bundle_version").get_to(node.BundleVersion);
  doc.at("history_minutes").get_to(node.HistoryMinutes);
  for (const json &it : doc.at("tiers"))
    node.Tiers.push_back(decodeTier(it));
  for (const json &it : doc.at("moves"))
    node.Moves.push_back(decodeMove(it));
  return node;
}

template <typename T>
T *findNamed(std::vector<T> &list, std::string_view name) {
  const auto it = std::find_if(list.begin(), list.end(),
                               [&](const T &x) { return x.Name == name; });
  return it == list.end() ? nullptr : &*it;
}

void addTier(FleetReport &to, const TierReport &tier) {
  if (TierReport *merged = findNamed(to.Tiers, tier.Name))
    addWindowCounts(merged->Windows, tier.Windows);
  else
    to.Tiers.push_back(tier);
}

void addMove(FleetReport &to, const MoveReport &move) {
  MoveReport *merged = findNamed(to.Moves, move.Name);
  if (!merged) {
    to.Moves.push_back(move);
    return;
  }
  merged->Stage = std::max(merged->Stage, move.Stage);
  merged->SharePermille = std::max(merged->SharePermille, move.SharePermille);
  merged->VersionIsBad = merged->VersionIsBad || move.VersionIsBad;
  if (merged->BadReason.empty())
    merged->BadReason = move.BadReason;
}

std::string nodesLine(const FleetReport &rep) {
  const std::size_t all = rep.ReachedNodes + rep.UnreachableNodes.size();
  std::string text =
      printfText("nodes    %u of %zu reached", rep.ReachedNodes, all);
  if (!rep.UnreachableNodes.empty())
    text += ", not: ";
  for (std::size_t i = 0; i < rep.UnreachableNodes.size(); ++i)
    text += (i == 0 ? "" : " ") + rep.UnreachableNodes[i];
  return text;
}

std::string bundleLine(const FleetReport &rep) {
  if (rep.MaxBundleVersion == 0)
    return "bundle   none in force";
  if (rep.MinBundleVersion == rep.MaxBundleVersion)
    return "bundle   version " + std::to_string(rep.MaxBundleVersion) +
           " on all reached nodes";
  return "bundle   versions " + std::to_string(rep.MinBundleVersion) + " to " +
         std::to_string(rep.MaxBundleVersion);
}

std::string historyLine(const FleetReport &rep) {
  if (rep.MinHistoryMinutes >= BurnHistoryMinutes)
    return "history  6 h on all reached nodes";
  return printfText("history  %u min on the youngest node",
                    rep.MinHistoryMinutes);
}

std::string burnText(double burn) {
  return std::isinf(burn) ? "inf" : printfText("%.1f", burn);
}

std::string goodText(const TierCount &count) {
  if (count.Total == 0)
    return "-";
  return printfText("%.2f%%", 100.0 * static_cast<double>(count.Good) /
                                  static_cast<double>(count.Total));
}

std::string_view verdictText(BurnAlert verdict) noexcept {
  constexpr std::array<std::string_view, 3> Texts = {"ok", "SLOW BURN",
                                                     "FAST BURN"};
  return Texts[static_cast<std::size_t>(verdict)];
}

std::string tierLine(const TierReport &tier) {
  const auto &counts = tier.Windows;
  return printfText(
      "%-13s%6.2f%%%8s%8s%9s  %s", truncate(tier.Name, 12).c_str(),
      100 * tier.Objective,
      burnText(burnRate(counts[OneHourWindow], tier.Objective)).c_str(),
      burnText(burnRate(counts[SixHourWindow], tier.Objective)).c_str(),
      goodText(counts[OneHourWindow]).c_str(),
      std::string(verdictText(burnAlertOf(counts, tier.Objective))).c_str());
}

std::vector<std::string> moveLines(const MoveReport &move) {
  std::string first = "move " + move.Name + ": ";
  first += StageTexts[static_cast<std::size_t>(move.Stage)];
  if (move.Stage == MoveStage::Moving)
    first += printfText(", %.1f%% on new", move.SharePermille / 10.0);
  if (!move.NewVersion.empty())
    first += " (" + move.OldVersion + " to " + move.NewVersion + ")";
  std::vector<std::string> lines = {std::move(first)};
  if (!move.BadReason.empty())
    lines.push_back("  " + move.BadReason);
  return lines;
}

void addTiers(const FleetReport &rep, std::vector<std::string> &lines) {
  if (rep.Tiers.empty())
    return;
  lines.push_back("tier           goal 1h burn 6h burn  1h good");
  const std::size_t n = std::min(rep.Tiers.size(), MaxTierLines);
  for (std::size_t i = 0; i < n; ++i)
    lines.push_back(tierLine(rep.Tiers[i]));
}

/// Adds moves until the report is full, sorted by stage with those rolled back
/// first.
void addMoves(const FleetReport &rep, std::vector<std::string> &lines) {
  std::vector<MoveReport> moves = rep.Moves;
  std::stable_sort(moves.begin(), moves.end(),
                   [](const MoveReport &a, const MoveReport &b) {
                     return a.Stage > b.Stage;
                   });
  for (std::size_t i = 0; i < moves.size(); ++i) {
    const auto movelines = moveLines(moves[i]);
    const bool last = i + 1 == moves.size();
    if (lines.size() + movelines.size() + (last ? 0 : 1) > MaxReportLines) {
      lines.push_back(
          printfText("and %zu more moves; see --json", moves.size() - i));
      return;
    }
    lines.insert(lines.end(), movelines.begin(), movelines.end());
  }
}

json tierJson(const TierReport &tier) {
  json windows = json::array();
  for (std::size_t i = 0; i < BurnWindowMinutes.size(); ++i) {
    const double burn = burnRate(tier.Windows[i], tier.Objective);
    windows.push_back({{"minutes", BurnWindowMinutes[i]},
                       {"total", tier.Windows[i].Total},
                       {"good", tier.Windows[i].Good},
                       {"burn", std::isinf(burn) ? json("inf") : json(burn)}});
  }
  const auto verdict =
      static_cast<std::size_t>(burnAlertOf(tier.Windows, tier.Objective));
  return {{"name", tier.Name},
          {"objective", tier.Objective},
          {"verdict", VerdictNames[verdict]},
          {"windows", std::move(windows)}};
}

json moveJson(const MoveReport &move) {
  return {{"name", move.Name},
          {"from", move.OldVersion},
          {"to", move.NewVersion},
          {"stage", StageNames[static_cast<std::size_t>(move.Stage)]},
          {"share_permille", move.SharePermille},
          {"bad", move.VersionIsBad},
          {"evidence", move.BadReason}};
}

} // namespace

Result<NodeReport> decodeBurn(std::string_view text) {
  try {
    return decodeNode(json::parse(text));
  } catch (const json::exception &ex) {
    return fail({ErrorCode::Broken, Step::Exchange, {}, ex.what()});
  }
}

FleetReport mergeReports(std::span<const NodeReport> nodes,
                         std::span<const std::string> unreachable) {
  FleetReport rep;
  rep.UnreachableNodes.assign(unreachable.begin(), unreachable.end());
  if (nodes.empty())
    return rep;
  std::vector<const NodeReport *> byversion;
  for (const NodeReport &node : nodes)
    byversion.push_back(&node);
  // Merging keeps the order of tiers and the objectives of the first node, so
  // the node with the newest bundle must come first.
  std::stable_sort(byversion.begin(), byversion.end(),
                   [](const NodeReport *a, const NodeReport *b) {
                     return a->BundleVersion > b->BundleVersion;
                   });
  rep.ReachedNodes = static_cast<std::uint32_t>(nodes.size());
  rep.MaxBundleVersion = byversion.front()->BundleVersion;
  rep.MinBundleVersion = byversion.back()->BundleVersion;
  rep.MinHistoryMinutes = byversion.front()->HistoryMinutes;
  for (const NodeReport *node : byversion) {
    rep.MinHistoryMinutes =
        std::min(rep.MinHistoryMinutes, node->HistoryMinutes);
    for (const TierReport &tier : node->Tiers)
      addTier(rep, tier);
    for (const MoveReport &move : node->Moves)
      addMove(rep, move);
  }
  std::sort(
      rep.Moves.begin(), rep.Moves.end(),
      [](const MoveReport &a, const MoveReport &b) { return a.Name < b.Name; });
  return rep;
}

std::string reportText(const FleetReport &rep) {
  std::vector<std::string> lines = {nodesLine(rep)};
  if (rep.ReachedNodes > 0) {
    lines.push_back(bundleLine(rep));
    lines.push_back(historyLine(rep));
    addTiers(rep, lines);
    addMoves(rep, lines);
  }
  std::string text;
  for (std::string &line : lines)
    text += truncate(std::move(line), MaxReportColumns) + "\n";
  return text;
}

std::string reportJson(const FleetReport &rep) {
  json tiers = json::array();
  for (const TierReport &tier : rep.Tiers)
    tiers.push_back(tierJson(tier));
  json moves = json::array();
  for (const MoveReport &move : rep.Moves)
    moves.push_back(moveJson(move));
  const json doc = {{"nodes_reached", rep.ReachedNodes},
                    {"nodes_not_reached", rep.UnreachableNodes},
                    {"least_bundle_version", rep.MinBundleVersion},
                    {"most_bundle_version", rep.MaxBundleVersion},
                    {"least_history_minutes", rep.MinHistoryMinutes},
                    {"tiers", std::move(tiers)},
                    {"moves", std::move(moves)}};
  return doc.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace zinniagauge
