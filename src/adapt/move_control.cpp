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
  void transactMoveRow(const MoveRowRequest &request, const std::string &name);
  void sendOrder(const MoveOrder &order, const EndpointSpec &ep);
  void pollEndpoint(const EndpointSpec &ep);
  void pollAll();

  MoveControlOptions Opt;
  VersionEvaluator Evaluator;
  MoveController Moves;
  Time LastReportAt;
  WorkQueue Table;  // Reads and writes the rows of moves.
  WorkQueue Polls;  // Polls endpoints.
  WorkQueue Orders; // Sends orders to endpoints.
};

namespace {

TableTransaction transactionOf(const MoveRowRequest &request,
                               const std::string &name) {
  TableOp op;
  op.Row = moveRowName(name);
  if (request.Write) {
    op.Kind = TableOpKind::CompareAndSwap;
    op.Value = encodeMoveRow(request.NewRow);
    op.ExpectedVersion = request.ExpectedVersion;
  }
  return {{std::move(op)}, true};
}

Result<MoveRowResponse> responseOf(const MoveRowRequest &request,
                                   const TableResult &res) {
  if (res.Ops.size() != 1)
    return fail({ErrorCode::Broken, Step::Move, {}, "not one result"});
  const TableOpResult &op = res.Ops.front();
  MoveRowResponse response{request.Move,
                           request.RequestNumber,
                           true,
                           request.Write && op.Applied,
                           {}};
  response.Snapshot.Version = op.Version;
  if (op.Version != 0) {
    BOOST_LEAF_AUTO(row, decodeMoveRow(op.Value));
    response.Snapshot.Row = std::move(row);
  }
  return response;
}

/// Whether the VM \p self polls \p ep. One VM of the endpoint's zone does; it
/// is chosen like a scheduler, with the endpoint's id in place of a pool.
bool isPoller(const Board &b, VmId self, const EndpointSpec &ep) {
  const ReadGuard guard;
  const Member *m = schedulerFor(b.Members.read(guard).Members,
                                 {ep.Zone, PoolId{ep.Id.Value}, 0});
  return m && m->Id == self;
}

/// The record of an endpoint's status to send to other VMs. If the board
/// already has the reported version, the record leaves it out, so that the
/// report keeps its original time.
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
  const bool unchanged = old && old->Incarnation == st.Incarnation &&
                         old->ReportedVersion == reported;
  if (unchanged)
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
  std::vector<BadVersion> badversions;
  zinniagauge::evaluateVersions(
      Evaluator, {Opt.SharedBoard->ActiveBundle.read(guard), moves, rep.Stats},
      badversions);
  for (const BadVersion &v : badversions) {
    MoveState st;
    st.Id = v.Move;
    st.VersionIsBad = true;
    st.BadReason = v.Reason;
    recordMove(ex, st);
  }
}

void MoveControl::State::stepMoves(const Exchange &ex, Time now) {
  const ReadGuard guard;
  const Bundle &b = Opt.SharedBoard->ActiveBundle.read(guard);
  const MoveList moves = publishMoves(ex);
  const EndpointList endpoints = publishEndpoints(ex, {});
  const MemberList members = publishMembers(ex.Members, now);
  MoveActions actions;
  zinniagauge::step(Moves, {b, moves, endpoints, members.Members, Evaluator},
                    now, wallNow(), actions);
  for (const MoveRowRequest &request : actions.Requests)
    for (const MoveSpec &m : b.Moves)
      if (m.Id == request.Move)
        Table.post(
            [this, request, name = m.Name] { transactMoveRow(request, name); });
  for (const MoveOrder &order : actions.Orders)
    if (const EndpointSpec *ep = findEndpoint(b, order.Endpoint))
      Orders.post([this, order, ep = *ep] { sendOrder(order, ep); });
}

void MoveControl::State::transactMoveRow(const MoveRowRequest &request,
                                         const std::string &name) {
  const MoveRowResponse response = handleResult(
      [&]() -> Result<MoveRowResponse> {
        BOOST_LEAF_AUTO(res, Opt.Store->Transact(transactionOf(request, name)));
        return responseOf(request, res);
      },
      [](MoveRowResponse result) { return result; },
      [&](const Error &) {
        return MoveRowResponse{
            request.Move, request.RequestNumber, false, false, {}};
      });
  Opt.ExchangeLoop->post([this, response](Exchange &ex) {
    onMoveRowResponse(Moves, response, monotonicNow());
    const MoveState st = moveStateOf(Moves, response.Move);
    if (st.Id != MoveId{})
      recordMove(ex, st);
  });
}

void MoveControl::State::sendOrder(const MoveOrder &order,
                                   const EndpointSpec &ep) {
  if (monotonicNow() >= order.ValidUntil)
    return;
  // The result is ignored: the endpoint's status shows whether it followed the
  // order.
  handleResult(
      [&] {
        return Opt.Endpoints.Order(ep, {order.TargetLabel, order.FencingToken});
      },
      [] { return true; }, [](const Error &) { return false; });
}

void MoveControl::State::pollEndpoint(const EndpointSpec &ep) {
  const auto st = handleResult(
      [&] { return Opt.Endpoints.Status(ep); },
      [](EndpointStatus result) { return std::optional(std::move(result)); },
      [](const Error &) { return std::optional<EndpointStatus>(); });
  if (!st)
    return;
  Opt.ExchangeLoop->post([rec = recordOf(*Opt.SharedBoard, ep, *st)](
                             Exchange &ex) { recordEndpoint(ex, rec); });
}

void MoveControl::State::pollAll() {
  const VmId self = VmId::of(Opt.Settings->VmName);
  std::vector<EndpointSpec> polled; // Copied, since a poll blocks.
  {
    const ReadGuard guard;
    for (const EndpointSpec &ep :
         Opt.SharedBoard->ActiveBundle.read(guard).Endpoints)
      if (isPoller(*Opt.SharedBoard, self, ep))
        polled.push_back(ep);
  }
  for (const EndpointSpec &ep : polled)
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
