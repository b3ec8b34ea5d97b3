#include "zinniagauge/adapt/control.h"

#include "zinniagauge/adapt/move_row_json.h"
#include "zinniagauge/adapt/work_queue.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/evidence.h"
#include "zinniagauge/decide/move.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace zinniagauge {

struct Control::State {
  explicit State(ControlOptions o) : Opt(std::move(o)) {}

  void onStep(Exchange &ex, Time now);
  void takeReport(Exchange &ex);
  void judge(Exchange &ex, const EntryReport &rep);
  void leadMoves(const Exchange &ex, Time now);
  void askTable(const MoveAsk &ask, const std::string &name);
  void giveOrder(const MoveOrder &order, const EndpointSpec &ep);
  void pollEndpoint(const EndpointSpec &ep);
  void pollAll();

  ControlOptions Opt;
  Judge Judging;
  MoveController Moves;
  Time ReportAt;
  WorkQueue Table;  // Reads and writes moves' rows.
  WorkQueue Polls;  // Polls endpoints.
  WorkQueue Orders; // Gives orders to endpoints.
};

namespace {

TableTransaction transactionOf(const MoveAsk &ask, const std::string &name) {
  TableOp op;
  op.Row = moveRowName(name);
  if (ask.Write) {
    op.Kind = TableOpKind::CompareAndSwap;
    op.Value = encodeMoveRow(ask.Next);
    op.Expected = ask.Expected;
  }
  return {{std::move(op)}, true};
}

Result<MoveAnswer> answerOf(const MoveAsk &ask, const TableResult &res) {
  if (res.Ops.size() != 1)
    return fail({ErrorCode::Broken, Step::Move, {}, "not one result"});
  const TableOpResult &op = res.Ops.front();
  MoveAnswer ans{ask.Move, ask.Number, true, ask.Write && op.Applied, {}};
  ans.Seen.Version = op.Version;
  if (op.Version != 0) {
    BOOST_LEAF_AUTO(row, decodeMoveRow(op.Value));
    ans.Seen.Row = std::move(row);
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
  const EndpointState *old = findState(b.Endpoints.read(guard), ep.Id);
  const bool known =
      old && old->Incarnation == st.Incarnation && old->Reported == reported;
  if (known)
    return r;
  r.Reported = reported;
  r.ReportedAt =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  return r;
}

} // namespace

void Control::State::onStep(Exchange &ex, Time now) {
  takeReport(ex);
  leadMoves(ex, now);
}

void Control::State::takeReport(Exchange &ex) {
  const EntryReport rep = Opt.Report->copy();
  if (!rep.Reached || rep.At == ReportAt)
    return;
  ReportAt = rep.At;
  for (const MoveState &st : rep.BadMoves.Moves)
    noteMove(ex, st);
  judge(ex, rep);
}

void Control::State::judge(Exchange &ex, const EntryReport &rep) {
  const ReadGuard guard;
  const MoveList moves = publishMoves(ex);
  std::vector<Verdict> verdicts;
  zinniagauge::step(Judging, {Opt.Shared->InForce.read(guard), moves, rep.Seen},
                    verdicts);
  for (const Verdict &v : verdicts) {
    MoveState st;
    st.Id = v.Move;
    st.Bad = true;
    st.Evidence = v.Why;
    noteMove(ex, st);
  }
}

void Control::State::leadMoves(const Exchange &ex, Time now) {
  const ReadGuard guard;
  const Bundle &b = Opt.Shared->InForce.read(guard);
  const MoveList moves = publishMoves(ex);
  const EndpointList endpoints = publishEndpoints(ex, {});
  const MemberList members = publishMembers(ex.Members, now);
  MoveChanges out;
  zinniagauge::step(Moves, {b, moves, endpoints, members.Members, Judging}, now,
                    wallNow(), out);
  for (const MoveAsk &ask : out.Asks)
    for (const MoveSpec &m : b.Moves)
      if (m.Id == ask.Move)
        Table.post([this, ask, name = m.Name] { askTable(ask, name); });
  for (const MoveOrder &order : out.Orders)
    if (const EndpointSpec *ep = findEndpoint(b, order.Endpoint))
      Orders.post([this, order, ep = *ep] { giveOrder(order, ep); });
}

void Control::State::askTable(const MoveAsk &ask, const std::string &name) {
  const MoveAnswer ans = handle(
      [&]() -> Result<MoveAnswer> {
        BOOST_LEAF_AUTO(res, Opt.Store->Transact(transactionOf(ask, name)));
        return answerOf(ask, res);
      },
      [](MoveAnswer got) { return got; },
      [&](const Error &) {
        return MoveAnswer{ask.Move, ask.Number, false, false, {}};
      });
  Opt.Swaps->post([this, ans](Exchange &ex) {
    onAnswer(Moves, ans, monotonicNow());
    const MoveState st = stateOf(Moves, ans.Move);
    if (st.Id != MoveId{})
      noteMove(ex, st);
  });
}

void Control::State::giveOrder(const MoveOrder &order, const EndpointSpec &ep) {
  if (monotonicNow() >= order.ValidUntil)
    return;
  // Whether it was followed is seen by what the endpoint reports.
  handle(
      [&] {
        return Opt.Endpoints.Order(ep, {order.ServeLabel, order.Fence});
      },
      [] { return true; }, [](const Error &) { return false; });
}

void Control::State::pollEndpoint(const EndpointSpec &ep) {
  const auto st =
      handle([&] { return Opt.Endpoints.Status(ep); },
             [](EndpointStatus got) { return std::optional(std::move(got)); },
             [](const Error &) { return std::optional<EndpointStatus>(); });
  if (!st)
    return;
  Opt.Swaps->post([rec = recordOf(*Opt.Shared, ep, *st)](Exchange &ex) {
    noteEndpoint(ex, rec);
  });
}

void Control::State::pollAll() {
  const VmId self = VmId::of(Opt.Settings->VmName);
  std::vector<EndpointSpec> mine; // Copies, since a poll waits for its answer.
  {
    const ReadGuard guard;
    for (const EndpointSpec &ep : Opt.Shared->InForce.read(guard).Endpoints)
      if (isPoller(*Opt.Shared, self, ep))
        mine.push_back(ep);
  }
  for (const EndpointSpec &ep : mine)
    pollEndpoint(ep);
}

Control::Control(ControlOptions opt)
    : St(std::make_unique<State>(std::move(opt))) {
  St->Moves.Self = VmId::of(St->Opt.Settings->VmName);
  St->Moves.Incarnation = St->Opt.Incarnation;
}

Control::~Control() = default;

void Control::step() {
  St->Opt.Swaps->post(
      [s = St.get()](Exchange &ex) { s->onStep(ex, monotonicNow()); });
}

void Control::pollEndpoints() {
  St->Polls.postIfIdle([s = St.get()] { s->pollAll(); });
}

void Control::stop() {
  St->Table.stop();
  St->Polls.stop();
  St->Orders.stop();
}

} // namespace zinniagauge
