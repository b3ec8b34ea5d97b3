#include "zinniagauge/adapt/move_control.h"

#include "zinniagauge/adapt/move_row_json.h"
#include "zinniagauge/adapt/work_queue.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/move.h"
#include "zinniagauge/decide/version_evaluator.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace zinniagauge {

struct MoveControl::State {
  explicit State(MoveControlOptions o) : Opt(std::move(o)) {}

  void onStep(Exchange &ex, Time now);
  void processReport(Exchange &ex);
  void evaluateVersions(Exchange &ex, const EntryReport &rep);
  void stepMoves(const Exchange &ex, Time now);
  void callTable(const MoveRowRequest &ask, const std::string &name);
  void sendOrder(const MoveOrder &order, const EndpointSpec &ep);
  void pollEndpoint(const EndpointSpec &ep);
  void pollAll();

  MoveControlOptions Opt;
  VersionEvaluator Evaluator;
  MoveController Moves;
  Time LastReportAt;
  WorkQueue Table;  // Reads and writes moves' rows.
  WorkQueue Polls;  // Polls endpoints.
  WorkQueue Orders; // Gives orders to endpoints.
};

namespace {

TableTransaction transactionOf(const MoveRowRequest &ask,
                               const std::string &name) {
  TableOp op;
  op.Row = moveRowName(name);
  if (ask.Write) {
    op.Kind = TableOpKind::CompareAndSwap;
    op.Value = encodeMoveRow(ask.NewRow);
    op.ExpectedVersion = ask.ExpectedVersion;
  }
  return {{std::move(op)}, true};
}

Result<MoveRowResponse> answerOf(const MoveRowRequest &ask,
                                 const TableResult &res) {
  if (res.Ops.size() != 1)
    return fail({ErrorCode::Broken, Step::Move, {}, "not one result"});
  const TableOpResult &op = res.Ops.front();
  MoveRowResponse ans{
      ask.Move, ask.RequestNumber, true, ask.Write && op.Applied, {}};
  ans.Snapshot.Version = op.Version;
  if (op.Version != 0) {
    BOOST_LEAF_AUTO(row, decodeMoveRow(op.Value));
    ans.Snapshot.Row = std::move(row);
  }
  return ans;
}

/// Whether this VM polls \p ep: one VM of the endpoint's zone does.
bool isPoller(const Board &b, VmId self, const EndpointSpec &ep) {
  const ReadGuard guard;
  const Member *m = schedulerFor(b.Members.read(guard).Members,
                                 {ep.Zone, PoolId{ep.Id.Value}, 0});
  return m && m->Id == self;
}

/// What to spread of an endpoint's status; a report that is known already
/// keeps its time.
EndpointRecord recordOf(const Board &b, const EndpointSpec &ep,
                        const EndpointStatus &st) {
  EndpointRecord r;
  r.Id = ep.Id;
  r.Incarnation = st.Incarnation;
  r.Leaving = st.Leaving;
  if (st.VersionLabel.empty())
    return r;
  const VersionId reported = VersionId::of(st.VersionLabel);
  const ReadGuard guard;
  const EndpointState *old = findEndpointState(b.Endpoints.read(guard), ep.Id);
  const bool known = old && old->Incarnation == st.Incarnation &&
                     old->ReportedVersion == reported;
  if (known)
    return r;
  r.Reported = reported;
  r.ReportedAt =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  return r;
}

} // namespace

void MoveControl::State::onStep(Exchange &ex, Time now) {
  processReport(ex);
  stepMoves(ex, now);
}

void MoveControl::State::processReport(Exchange &ex) {
  const EntryReport rep = Opt.Report->copy();
  if (!rep.Reachable || rep.LastResponseAt == LastReportAt)
    return;
  LastReportAt = rep.LastResponseAt;
  for (const MoveState &st : rep.BadMoves.Moves)
    recordMove(ex, st);
  evaluateVersions(ex, rep);
}

void MoveControl::State::evaluateVersions(Exchange &ex,
                                          const EntryReport &rep) {
  const ReadGuard guard;
  const MoveList moves = publishMoves(ex);
  std::vector<BadVersion> verdicts;
  zinniagauge::evaluateVersions(
      Evaluator, {Opt.Shared->ActiveBundle.read(guard), moves, rep.Stats},
      verdicts);
  for (const BadVersion &v : verdicts) {
    MoveState st;
    st.Id = v.Move;
    st.VersionIsBad = true;
    st.BadReason = v.Reason;
    recordMove(ex, st);
  }
}

void MoveControl::State::stepMoves(const Exchange &ex, Time now) {
  const ReadGuard guard;
  const Bundle &b = Opt.Shared->ActiveBundle.read(guard);
  const MoveList moves = publishMoves(ex);
  const EndpointList endpoints = publishEndpoints(ex, {});
  const MemberList members = publishMembers(ex.Members, now);
  MoveActions out;
  zinniagauge::step(Moves, {b, moves, endpoints, members.Members, Evaluator},
                    now, wallNow(), out);
  for (const MoveRowRequest &ask : out.Requests)
    for (const MoveSpec &m : b.Moves)
      if (m.Id == ask.Move)
        Table.post([this, ask, name = m.Name] { callTable(ask, name); });
  for (const MoveOrder &order : out.Orders)
    if (const EndpointSpec *ep = findEndpoint(b, order.Endpoint))
      Orders.post([this, order, ep = *ep] { sendOrder(order, ep); });
}

void MoveControl::State::callTable(const MoveRowRequest &ask,
                                   const std::string &name) {
  const MoveRowResponse ans = handleResult(
      [&]() -> Result<MoveRowResponse> {
        BOOST_LEAF_AUTO(res, Opt.Store->Transact(transactionOf(ask, name)));
        return answerOf(ask, res);
      },
      [](MoveRowResponse got) { return got; },
      [&](const Error &) {
        return MoveRowResponse{ask.Move, ask.RequestNumber, false, false, {}};
      });
  Opt.ExchangeLoop->post([this, ans](Exchange &ex) {
    onMoveRowResponse(Moves, ans, monotonicNow());
    const MoveState st = moveStateOf(Moves, ans.Move);
    if (st.Id != MoveId{})
      recordMove(ex, st);
  });
}

void MoveControl::State::sendOrder(const MoveOrder &order,
                                   const EndpointSpec &ep) {
  if (monotonicNow() >= order.ValidUntil)
    return;
  // Whether it was followed is seen by what the endpoint reports.
  handleResult(
      [&] {
        return Opt.Endpoints.Order(ep, {order.TargetLabel, order.FencingToken});
      },
      [] { return true; }, [](const Error &) { return false; });
}

void MoveControl::State::pollEndpoint(const EndpointSpec &ep) {
  const auto st = handleResult(
      [&] { return Opt.Endpoints.Status(ep); },
      [](EndpointStatus got) { return std::optional(std::move(got)); },
      [](const Error &) { return std::optional<EndpointStatus>(); });
  if (!st)
    return;
  Opt.ExchangeLoop->post([rec = recordOf(*Opt.Shared, ep, *st)](Exchange &ex) {
    recordEndpoint(ex, rec);
  });
}

void MoveControl::State::pollAll() {
  const VmId self = VmId::of(Opt.Settings->VmName);
  std::vector<EndpointSpec> mine; // Copies, since a poll waits for its answer.
  {
    const ReadGuard guard;
    for (const EndpointSpec &ep :
         Opt.Shared->ActiveBundle.read(guard).Endpoints)
      if (isPoller(*Opt.Shared, self, ep))
        mine.push_back(ep);
  }
  for (const EndpointSpec &ep : mine)
    pollEndpoint(ep);
}

MoveControl::MoveControl(MoveControlOptions opt)
    : St(std::make_unique<State>(std::move(opt))) {
  St->Moves.Self = VmId::of(St->Opt.Settings->VmName);
  St->Moves.Incarnation = St->Opt.Incarnation;
}

MoveControl::~MoveControl() = default;

void MoveControl::step() {
  St->Opt.ExchangeLoop->post(
      [s = St.get()](Exchange &ex) { s->onStep(ex, monotonicNow()); });
}

void MoveControl::pollEndpoints() {
  St->Polls.postIfIdle([s = St.get()] { s->pollAll(); });
}

void MoveControl::stop() {
  St->Table.stop();
  St->Polls.stop();
  St->Orders.stop();
}

} // namespace zinniagauge
