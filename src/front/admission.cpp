// Finds the route and workspace of a call and charges its cost.
#include "zinniagauge/front/admission.h"

#include <algorithm>
#include <charconv>

namespace zinniagauge {

namespace {

/// Number of events assumed for a stream whose caller states no length.
constexpr double DefaultEvents = 16;

std::string_view pathOf(const Call &call) {
  const std::string_view target = call.Head.Target;
  return target.substr(0, target.find('?'));
}

/// The parts in \p list but the last, which belongs to the call itself or to
/// its session. Further ones than the limit are ignored.
std::vector<CallTraitId> parseSharedParts(std::string_view list) {
  constexpr std::size_t MaxSharedParts = 16;
  std::vector<CallTraitId> out;
  for (std::size_t comma = list.find(',');
       comma != std::string_view::npos && out.size() < MaxSharedParts;
       comma = list.find(',')) {
    const std::string_view entry = list.substr(0, comma);
    out.push_back(
        promptPartTrait(CallTraitId::of(entry.substr(0, entry.find(':')))));
    list.remove_prefix(comma + 1);
  }
  return out;
}

/// Copies the plan's settings for the route and the workspace into the call.
void fillPlan(Call &call, const TrafficPlan &plan, const PlanRoute &route,
              const PlanWorkspace *ws) {
  CallPlan &cp = call.Plan;
  cp.Version = plan.Version;
  cp.Route = route.Name;
  cp.Pool = pickPool(route, call.RandomValue);
  cp.Timeout = route.Timeout;
  cp.LatencyTarget = route.LatencyTarget;
  cp.GapTarget = route.GapTarget;
  cp.Priority = ws && ws->HasPriority ? ws->Priority : route.Priority;
  cp.RoutePriority = route.Priority;
  cp.MostUrgent = isMostUrgent(plan, route, cp.Pool);
  cp.HasWorkspace = ws != nullptr;
  if (ws) {
    cp.Workspace = ws->Id;
    cp.WorkspaceName = ws->Name;
  }
  if (route.Kind == CallKind::Stream)
    estimateEvents(call.Work, findPool(plan, cp.Pool));
  call.Facts.Kind = route.Kind;
  call.Facts.Resumable = route.Resumable;
  call.Facts.MaxAttempts = std::max(route.MaxAttempts, 1U);
}

constexpr Denial OutdatedPlan{503, "plan may be outdated", DefaultRetryAfter};

/// Records that \p call is decided on by the plan, with its proof of now.
void recordPlanUse(RequestLoop &rl, const Call &call) {
  if (call.Plan.ProofAge)
    rl.OldestProof = std::max(rl.OldestProof.value_or(Duration::zero()),
                              *call.Plan.ProofAge);
}

/// The denial of a call that the plan doesn't allow, as far as \p fresh lets
/// this front rely on the plan.
Denial denyByPlan(RequestLoop &rl, const Call &call, const Freshness &fresh,
                  int status, std::string_view reason) {
  if (!fresh.MayReject)
    return OutdatedPlan;
  recordPlanUse(rl, call);
  return {status, reason, {}};
}

/// The fraction of all living processes whose spending is known here.
double heardFraction(const FrontBoard &board) {
  const double living = std::max(board.LivingFronts.load(), 1U);
  const std::int64_t at = board.HeardAt;
  const bool recent = at != 0 && bootNow() - fromNanos(at) < PeerReportTimeout;
  const double heard = recent ? board.HeardFronts.load() : 1;
  return std::min(heard / living, 1.0);
}

/// The cost that the other processes charged to a workspace.
PeerSpending peerSpendingOf(RequestLoop &rl, WorkspaceId id) {
  PeerSpending out;
  out.HeardFraction = heardFraction(rl.Board);
  const ReadGuard guard;
  const SpendList &list = rl.Board.PeerSpend.read(guard);
  const auto it =
      std::lower_bound(list.List.begin(), list.List.end(), id,
                       [](const WorkspaceSpend &a, WorkspaceId key) {
                         return a.Workspace < key;
                       });
  if (it != list.List.end() && it->Workspace == id) {
    out.Total = it->Total;
    out.BeforeFirstReport = it->BeforeFirstReport;
  }
  return out;
}

/// Logs a call that is refused because its workspace's allowance is spent.
void logAllowanceSpent(RequestLoop &rl, const Call &call,
                       const PlanWorkspace &ws, double cost) {
  if (!rl.Log.logsCalls())
    return;
  constexpr double Permille = 1000;
  EventLine line = eventLine("allowance_spent");
  add(line, "call", call.Id);
  add(line, "workspace", ws.Name);
  add(line, "cost", static_cast<std::int64_t>(cost));
  const AllowanceState &st = rl.Allowances[ws.Id];
  const double heard = heardFraction(rl.Board);
  add(line, "level_all", static_cast<std::int64_t>(st.Level));
  add(line, "peers_heard", std::int64_t{heard >= EnoughHeardFraction ? 1 : 0});
  add(line, "heard_permille", static_cast<std::int64_t>(heard * Permille));
  add(line, "rate_per_s", static_cast<std::int64_t>(ws.RatePerSecond));
  rl.Log.write(line);
}

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept {
  std::uint64_t val = 0;
  const auto res = std::from_chars(text.data(), text.data() + text.size(), val);
  if (res.ec != std::errc())
    return std::nullopt;
  return val;
}

void estimateEvents(CallWork &work, const PlanPool *pool) {
  const double tokensperevent = pool ? pool->TokensPerEvent : 1;
  const auto maxevents =
      static_cast<double>(work.OutputTokens) / tokensperevent;
  const auto expected =
      static_cast<double>(work.ExpectedTokens) / tokensperevent;
  work.MaxEvents = std::max(maxevents > 0 ? maxevents : DefaultEvents, 1.0);
  work.ExpectedEvents =
      std::clamp(expected > 0 ? expected : DefaultEvents, 1.0, work.MaxEvents);
}

CallWork parseCallWork(const Call &call, const HeaderNames &names) {
  CallWork work;
  const auto tokens = findField(call.Head.Fields, names.Tokens);
  if (tokens) {
    const std::size_t comma = tokens->find(',');
    work.PromptTokens = parseNumber(*tokens).value_or(0);
    if (comma != std::string_view::npos)
      work.OutputTokens = parseNumber(tokens->substr(comma + 1)).value_or(0);
  }
  if (const auto parts = findField(call.Head.Fields, names.PromptParts))
    work.Traits = parseSharedParts(*parts);
  if (const auto hint = findField(call.Head.Fields, names.LengthHint))
    work.ExpectedTokens = parseNumber(*hint).value_or(0);
  return work;
}

std::optional<Denial> routeCall(RequestLoop &rl, Call &call) {
  const ReadGuard guard;
  // The proof first: a plan that is published afterwards is newer than it.
  const PlanProof &proof = rl.Board.Proof.read(guard);
  const TrafficPlan &plan = rl.Board.Plan.read(guard);
  if (plan.Version == 0)
    return Denial{503, "no plan yet", DefaultRetryAfter};
  call.Plan.Version = plan.Version; // A denial is logged with this version.
  call.Plan.ProofAge = proofAge(proof, plan.Version, bootNow());
  const Freshness fresh =
      freshnessOf(rl.Settings.FreshnessBounds, call.Plan.ProofAge,
                  lacksOperatorRows(rl.Board, guard));
  if (!fresh.MayRoute)
    return OutdatedPlan;
  const auto host = findField(call.Head.Fields, "Host").value_or("");
  const PlanRoute *route = findRoute(plan, host, pathOf(call));
  if (!route)
    return denyByPlan(rl, call, fresh, 404, "no such route");
  const PlanWorkspace *ws = nullptr;
  if (plan.RequiresKeys) {
    const auto key = findField(call.Head.Fields, rl.Names.Credential);
    ws = key ? findWorkspaceByKey(plan, *key) : nullptr;
    if (!route->AllowsAnonymous && !fresh.MayServe)
      return OutdatedPlan;
    if (!route->AllowsAnonymous && !ws)
      return denyByPlan(rl, call, fresh, 401, "unknown key");
    if (!fresh.MayServe)
      ws = nullptr;
  }
  recordPlanUse(rl, call);
  fillPlan(call, plan, *route, ws);
  return std::nullopt;
}

std::optional<Denial> chargeCall(RequestLoop &rl, Call &call) {
  if (!call.Plan.HasWorkspace)
    return std::nullopt;
  const ReadGuard guard;
  const TrafficPlan &plan = rl.Board.Plan.read(guard);
  const auto it = std::find_if(
      plan.Workspaces.begin(), plan.Workspaces.end(),
      [&](const PlanWorkspace &w) { return w.Id == call.Plan.Workspace; });
  if (it == plan.Workspaces.end() || it->RatePerSecond <= 0)
    return std::nullopt;
  const std::uint64_t tokens = call.Work.PromptTokens + call.Work.OutputTokens;
  const double cost =
      !it->CountsTokens
          ? 1.0
          : static_cast<double>(tokens > 0 ? tokens : it->DefaultCallCost);
  const auto wait =
      takeAllowance(rl.Allowances[it->Id], *it, peerSpendingOf(rl, it->Id),
                    rl.Settings.Margin, cost, rl.EventLoop.Now);
  if (wait) {
    logAllowanceSpent(rl, call, *it, cost);
    return Denial{429, "allowance spent", *wait};
  }
  call.Plan.Cost = cost;
  return std::nullopt;
}

void trackAllowances(RequestLoop &rl) {
  const ReadGuard guard;
  for (const PlanWorkspace &ws : rl.Board.Plan.read(guard).Workspaces) {
    const PeerSpending peers = peerSpendingOf(rl, ws.Id);
    const auto it = rl.Allowances.find(ws.Id);
    const bool tracked = it != rl.Allowances.end() && it->second.Initialized;
    if (ws.RatePerSecond > 0 &&
        (tracked || peers.HeardFraction >= EnoughHeardFraction))
      updateAllowance(rl.Allowances[ws.Id], ws, peers, rl.Settings.Margin,
                      rl.EventLoop.Now);
  }
}

} // namespace zinniagauge
