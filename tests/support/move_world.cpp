// Implements the simulation of a version move.
#include "support/move_world.h"

#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace zinniagauge {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(100);
constexpr std::size_t EndpointsPerVersion = 4;
constexpr std::uint32_t BaseFailurePermille = 5;
constexpr double FirstTokenNanos = 50e6;
constexpr double TokenNanos = 10e6;

const PoolId ThePool = PoolId::of("dossier");
const VersionId OldVersion = VersionId::of("dossier-6");
const VersionId NewVersion = VersionId::of("dossier-7");
const std::array<RouteId, 2> Routes = {RouteId::of("draft"),
                                       RouteId::of("screen")};

bool chance(MoveWorld &w, std::uint32_t permille) {
  return randomBelow(w.Net.Random, 1000) < permille;
}

/// Returns an approximately normal random number: the sum of uniform ones.
double normal(MoveWorld &w) {
  double sum = -6;
  for (int n = 0; n < 12; ++n)
    sum += static_cast<double>(nextRandom(w.Net.Random) >> 11U) * 0x1p-53;
  return sum;
}

double randomAround(MoveWorld &w, double mean) {
  constexpr double Spread = 0.4;
  return mean * std::exp(Spread * normal(w) - Spread * Spread / 2);
}

Duration elapsed(const MoveWorld &w) { return w.Net.Now - w.StartedAt; }

/// Returns whether a burst is on: the last 20 s of every 80 s, for both
/// versions.
bool inBurst(const MoveWorld &w) {
  const auto s = std::chrono::duration_cast<std::chrono::seconds>(elapsed(w));
  return w.Kind == VersionKind::GoodBurst && s.count() % 80 >= 60;
}

/// Returns a load class: light, busy and full for 20 s each in turn, for both
/// versions alike, and a random one for 20 % of requests. In a burst the load
/// is full.
LoadClass loadOf(MoveWorld &w) {
  if (inBurst(w))
    return LoadClass::Full;
  const auto s = std::chrono::duration_cast<std::chrono::seconds>(elapsed(w));
  const auto phase = static_cast<std::uint64_t>(s.count()) % 60 / 20;
  const bool other = chance(w, 200);
  return static_cast<LoadClass>(other ? randomBelow(w.Net.Random, 3) : phase);
}

std::uint32_t failurePermille(const MoveWorld &w, const FakeEndpoint &ep,
                              std::size_t route) {
  constexpr std::uint32_t Half = 500;
  constexpr std::uint32_t InBurst = 80;
  if (ep.Faulty)
    return Half;
  const bool bad =
      ep.IsNewVersion &&
      (w.Kind == VersionKind::BadAtOnce ||
       (w.Kind == VersionKind::BadLater && elapsed(w) > w.BadLaterDelay) ||
       (w.Kind == VersionKind::BadOneRoute && route == 1));
  if (bad)
    return Half;
  return inBurst(w) ? InBurst : BaseFailurePermille;
}

double slowdown(const MoveWorld &w, const FakeEndpoint &ep, LoadClass load) {
  constexpr std::array<double, 3> ByLoad = {1, 1.5, 3};
  constexpr double Burst = 4;
  double factor = ByLoad[static_cast<std::size_t>(load)];
  if (inBurst(w))
    factor *= Burst;
  if (ep.IsNewVersion && w.Kind == VersionKind::BadSlow)
    factor *= 3;
  if (ep.IsNewVersion && w.Kind == VersionKind::BadUnderLoad &&
      load == LoadClass::Full)
    factor *= 4;
  return factor;
}

FakeEndpoint *pickEndpoint(MoveWorld &w, bool newversion) {
  std::vector<FakeEndpoint *> all;
  for (FakeEndpoint &ep : w.Endpoints)
    if (ep.IsNewVersion == newversion && ep.Reported == ep.Version)
      all.push_back(&ep);
  return all.empty() ? nullptr : all[randomBelow(w.Net.Random, all.size())];
}

void countResult(MoveWorld &w, MoveVm &vm, const FakeEndpoint &ep) {
  const std::size_t route = randomBelow(w.Net.Random, Routes.size());
  const LoadClass load = loadOf(w);
  VersionStatsCounts &row =
      vm.Stats[{ThePool, ep.Version, ep.Id, Routes[route], load}];
  ++row.Requests;
  if (chance(w, failurePermille(w, ep, route))) {
    ++row.Failures;
    return;
  }
  const double slow = slowdown(w, ep, load);
  const auto tokens = 20 + randomBelow(w.Net.Random, 200);
  const double first = randomAround(w, FirstTokenNanos * slow);
  const double rest =
      randomAround(w, TokenNanos * slow) * static_cast<double>(tokens);
  row.FirstTokenNanos += static_cast<std::uint64_t>(first);
  row.TotalNanos += static_cast<std::uint64_t>(first + rest);
  row.OutputTokens += tokens;
}

/// Simulates one request: chooses a version, may drop the choice, dispatches
/// and counts the result.
void dispatch(MoveWorld &w, MoveVm &vm, bool knowsbad) {
  const ShareChoice choice = chooseVersion(vm.Gates, w.ActiveBundle, ThePool);
  const bool preferred = choice.Choice == VersionChoice::PreferNew ||
                         choice.Choice == VersionChoice::NewOnly;
  FakeEndpoint *ep = preferred ? pickEndpoint(w, true) : nullptr;
  if (!ep)
    ep = pickEndpoint(w, false);
  if (chance(w, 20) || !startDispatch(vm.Gates, choice, ep->Version))
    return discardChoice(vm.Gates, choice);
  ++w.TotalRequests;
  ++vm.Dispatches;
  if (ep->IsNewVersion) {
    ++w.NewVersionRequests;
    ++vm.NewVersionDispatches;
    w.NewVersionRequestsAfterBad += knowsbad ? 1 : 0;
  }
  check(Invariant::ShareBound, vm.NewVersionDispatches * FullSharePermille <=
                                   std::uint64_t{vm.Share} * vm.Dispatches);
  countResult(w, vm, *ep);
}

VersionStatsList statsOf(const MoveVm &vm) {
  VersionStatsList list;
  for (const auto &[key, counts] : vm.Stats)
    list.Rows.push_back({key, counts});
  return list;
}

void updateShare(MoveWorld &w, std::size_t n) {
  MoveVm &vm = w.Vms[n];
  const MoveList moves = publishMoves(w.Net.Vms[n].State);
  applyShares(vm.Gates, w.ActiveBundle, moves);
  const MoveState &st = moves.Moves.front();
  const bool stopped = st.Stage != MoveStage::Completed &&
                       (st.VersionIsBad || st.Stage == MoveStage::RolledBack);
  const std::uint32_t share = stopped ? 0 : st.SharePermille;
  if (share != vm.Share)
    vm.Dispatches = vm.NewVersionDispatches = 0;
  vm.Share = share;
}

void evaluateAt(MoveWorld &w, std::size_t n) {
  MoveVm &vm = w.Vms[n];
  Exchange &ex = w.Net.Vms[n].State;
  const MoveList moves = publishMoves(ex);
  const VersionStatsList stats = statsOf(vm);
  std::vector<BadVersion> bad;
  evaluateVersions(vm.Evaluator, {w.ActiveBundle, moves, stats}, bad);
  for (const BadVersion &v : bad) {
    stopShare(vm.Gates, v.Move);
    MoveState st;
    st.Id = v.Move;
    st.VersionIsBad = true;
    st.BadReason = v.Reason;
    recordMove(ex, st);
    if (w.FirstBadAt == Time{})
      w.FirstBadAt = w.Net.Now;
  }
}

void send(MoveWorld &w, FakeTableCall call) {
  const auto maxdelay = static_cast<std::size_t>(w.Table.MaxDelay.count());
  call.DueAt = w.Net.Now + Duration(randomBelow(w.Net.Random, maxdelay + 1));
  w.Table.Calls.push_back(std::move(call));
}

/// Records what the agent of a VM reads from the endpoints.
void pollEndpoints(MoveWorld &w, std::size_t n) {
  for (const FakeEndpoint &ep : w.Endpoints) {
    EndpointRecord r;
    r.Id = ep.Id;
    r.ReportedAt = ep.Reported == VersionId{} ? 0 : ep.Orders + 1;
    r.Reported = ep.Reported;
    recordEndpoint(w.Net.Vms[n].State, r);
  }
}

void executeOrder(MoveWorld &w, const MoveOrder &o) {
  const auto it =
      std::find_if(w.Endpoints.begin(), w.Endpoints.end(),
                   [&](const auto &ep) { return ep.Id == o.Endpoint; });
  if (it->ChecksFencing && o.FencingToken < it->HighestFencingToken)
    return;
  it->HighestFencingToken = std::max(it->HighestFencingToken, o.FencingToken);
  ++it->Orders;
  it->Reported = o.TargetVersion;
}

void stepController(MoveWorld &w, std::size_t n) {
  MoveVm &vm = w.Vms[n];
  Exchange &ex = w.Net.Vms[n].State;
  const MoveList moves = publishMoves(ex);
  const EndpointList endpoints = publishEndpoints(ex, {});
  const MemberList members = publishMembers(ex.Members, w.Net.Now);
  MoveActions out;
  step(vm.Controller,
       {w.ActiveBundle, moves, endpoints, members.Members, vm.Evaluator},
       w.Net.Now, wallOf(w), out);
  for (MoveRowRequest &req : out.Requests) {
    FakeTableCall call;
    call.Vm = n;
    call.Incarnation = vm.Controller.Incarnation;
    call.Request = std::move(req);
    send(w, std::move(call));
  }
  for (const MoveOrder &o : out.Orders)
    executeOrder(w, o);
}

/// Executes a request to the table.
MoveRowResponse executeRequest(MoveWorld &w, const MoveRowRequest &req) {
  MoveRowSnapshot &row = w.Table.Rows[req.Move];
  MoveRowResponse resp;
  resp.Move = req.Move;
  resp.RequestNumber = req.RequestNumber;
  resp.Received = true;
  resp.Applied = req.Write && row.Version == req.ExpectedVersion;
  if (resp.Applied) {
    check(Invariant::MoveEndsOnce,
          !isFinal(row.Row.Stage) || row.Row.Stage == req.NewRow.Stage);
    row.Row = req.NewRow;
    ++row.Version;
  }
  resp.Snapshot = row;
  if (isFinal(row.Row.Stage) && !w.Ended) {
    w.Ended = true;
    w.FinalStage = row.Row.Stage;
    w.EndedAt = wallOf(w);
  }
  return resp;
}

void deliverResponse(MoveWorld &w, const FakeTableCall &call) {
  MoveVm &vm = w.Vms[call.Vm];
  const FakeVm &net = w.Net.Vms[call.Vm];
  if (vm.Controller.Incarnation != call.Incarnation ||
      net.PausedUntil > w.Net.Now)
    return;
  onMoveRowResponse(vm.Controller, call.Response, w.Net.Now);
  const MoveState st = moveStateOf(vm.Controller, call.Request.Move);
  if (st.Id != MoveId{})
    recordMove(w.Net.Vms[call.Vm].State, st);
}

void stepTable(MoveWorld &w) {
  std::vector<FakeTableCall> due;
  std::erase_if(w.Table.Calls, [&](FakeTableCall &call) {
    const bool now = call.DueAt <= w.Net.Now;
    if (now)
      due.push_back(std::move(call));
    return now;
  });
  for (FakeTableCall &call : due) {
    if (call.IsResponse) {
      deliverResponse(w, call);
      continue;
    }
    if (w.Table.Unavailable)
      continue;
    call.Response = executeRequest(w, call.Request);
    call.IsResponse = true;
    if (!chance(w, w.Table.LostResponsePermille))
      send(w, std::move(call));
  }
}

EndpointSpec specOf(const FakeEndpoint &ep) {
  EndpointSpec s;
  s.Id = ep.Id;
  s.Pool = ThePool;
  s.Version = ep.Version;
  return s;
}

void addEndpoints(MoveWorld &w) {
  for (std::size_t n = 0; n < 2 * EndpointsPerVersion; ++n) {
    FakeEndpoint ep;
    ep.Id = EndpointId::of("engine-" + std::to_string(n));
    ep.IsNewVersion = n >= EndpointsPerVersion;
    ep.Version = ep.IsNewVersion ? NewVersion : OldVersion;
    ep.Reported = ep.IsNewVersion ? VersionId{} : OldVersion;
    ep.ChecksFencing = n % 2 == 0;
    ep.Faulty =
        w.Kind == VersionKind::GoodOneBadEndpoint && n == EndpointsPerVersion;
    w.Endpoints.push_back(ep);
    w.ActiveBundle.Endpoints.push_back(specOf(ep));
  }
}

void startController(MoveWorld &w, std::size_t n) {
  MoveVm &vm = w.Vms[n];
  vm.Controller = {};
  vm.Controller.Self = VmId::of(w.Net.Vms[n].Name);
  vm.Controller.Incarnation = w.Net.Vms[n].Incarnation;
  vm.Evaluator = {};
  vm.Stats.clear();
  vm.Share = 0;
  vm.Dispatches = vm.NewVersionDispatches = 0;
  for (ShareGate &g : vm.Gates.Gates) {
    g.Move = 0;
    g.PackedState = 0;
  }
}

} // namespace

WallTime wallOf(const MoveWorld &w) noexcept {
  return WallTime(std::chrono::milliseconds(1764800000000)) +
         std::chrono::duration_cast<std::chrono::milliseconds>(elapsed(w));
}

MoveId theMove() noexcept { return MoveId::of("to-7"); }

MoveWorld makeMoveWorld(const MoveWorldOptions &opt) {
  MoveWorld w;
  w.Kind = opt.Kind;
  w.Net.Random = opt.Seed;
  for (std::size_t n = 0; n < opt.VmCount; ++n)
    addVm(w.Net, "vm" + std::to_string(n), "hvar");
  run(w.Net, std::chrono::seconds(3));
  w.StartedAt = w.Net.Now;
  w.ActiveBundle.Version = 1;
  addEndpoints(w);
  MoveSpec m;
  m.Id = theMove();
  m.Pool = ThePool;
  m.OldVersion = OldVersion;
  m.NewVersion = NewVersion;
  m.SharesPermille = {10, 100, 500, 1000};
  m.MinStepInterval = opt.StepTime;
  m.Deadline =
      wallOf(w) +
      std::chrono::duration_cast<std::chrono::milliseconds>(opt.TimeToDeadline);
  w.ActiveBundle.Moves.push_back(m);
  indexBundle(w.ActiveBundle);
  activateBundleEverywhere(w.Net, w.ActiveBundle);
  w.Vms = std::vector<MoveVm>(opt.VmCount);
  for (std::size_t n = 0; n < opt.VmCount; ++n)
    startController(w, n);
  return w;
}

void tick(MoveWorld &w) {
  run(w.Net, Tick);
  stepTable(w);
  for (std::size_t n = 0; n < w.Vms.size(); ++n) {
    const FakeVm &net = w.Net.Vms[n];
    if (!net.Running || net.PausedUntil > w.Net.Now ||
        net.State.ActiveBundle.Version == 0)
      continue;
    pollEndpoints(w, n);
    stepController(w, n);
    updateShare(w, n);
    const bool knowsbad = net.State.Moves.at(theMove()).VersionIsBad;
    for (std::uint32_t k = 0; k < w.RequestsPerTick; ++k)
      dispatch(w, w.Vms[n], knowsbad);
    evaluateAt(w, n);
  }
}

void run(MoveWorld &w, Duration len) {
  const Time end = w.Net.Now + len;
  while (w.Net.Now < end)
    tick(w);
}

void restart(MoveWorld &w, std::size_t n) {
  kill(w.Net, n);
  restart(w.Net, n);
  startController(w, n);
}

} // namespace zinniagauge
