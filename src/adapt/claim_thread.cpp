#include "zinniagauge/adapt/claim_thread.h"

#include "zinniagauge/adapt/claim_rows.h"
#include "zinniagauge/adapt/problem.h"

#include <nlohmann/json.hpp>

#include <poll.h>

#include <algorithm>
#include <array>
#include <random>
#include <thread>
#include <utility>

namespace zinniagauge {

namespace {

/// A batch for the table, or nullopt to stop the table thread.
using TableTask = std::optional<ClaimBatch>;
using TableMailbox = Mailbox<TableTask>;

/// Blocks until \p fd is readable or \p due is reached, for a minute at most.
void waitReadable(int fd, Time due) {
  using std::chrono::milliseconds;
  constexpr milliseconds MaxWait = std::chrono::minutes(1);
  pollfd ready{fd, POLLIN, 0};
  const Duration left = std::max(due - monotonicNow(), Duration::zero());
  const auto ms =
      std::chrono::ceil<milliseconds>(std::min<Duration>(left, MaxWait));
  ::poll(&ready, 1, static_cast<int>(ms.count()));
}

BatchStatus batchStatusOf(const Error &err) noexcept {
  return err.Code == ErrorCode::Unavailable || err.Code == ErrorCode::Invalid ||
                 err.Code == ErrorCode::NotFound
             ? BatchStatus::NotApplied
             : BatchStatus::Undetermined;
}

ClaimBatchResult callTable(const std::optional<Platform> &table,
                           const ClaimBatch &batch) {
  if (!table)
    return {batch.Number, BatchStatus::NotApplied, {}};
  return handleResult(
      [&] { return table->Transact(toTransaction(batch)); },
      [&](const TableResult &res) { return toBatchResult(batch, res); },
      [&](const Error &err) {
        return ClaimBatchResult{batch.Number, batchStatusOf(err), {}};
      });
}

std::uint64_t randomUint64() {
  std::random_device dev;
  return (std::uint64_t{dev()} << 32U) | dev();
}

/// The state and message handlers of the deciding thread.
class ClaimDecider {
public:
  ClaimDecider(const ClaimOptions &opt, ClaimMailbox &inbox,
               TableMailbox &tableinbox);

  /// Handles messages until StopClaimThread arrives, and then until all pending
  /// outcomes are recorded or StopTimeout has passed.
  void run();

private:
  void handle(ClaimMessage &msg);
  void handle(const RequestClaim &msg);
  void handle(const RedeemTicket &msg);
  void handle(const WriteOutcome &msg);
  void handle(IssueTicket &msg);
  void handle(const ClaimBatchCompleted &msg);
  void handle(const StopClaimThread &msg);
  void sendActions(const ClaimActions &out);
  [[nodiscard]] bool isFinished(Time now) const;

  const ClaimOptions &Opt;
  ClaimMailbox &Inbox;
  TableMailbox &TableInbox;
  Claims ClaimState;
  TicketStore Tickets;
  std::map<RequestId, IssuedTicket> TicketByRequest;
  std::optional<Time> StopDeadline;
};

ClaimDecider::ClaimDecider(const ClaimOptions &opt, ClaimMailbox &inbox,
                           TableMailbox &tableinbox)
    : Opt(opt), Inbox(inbox), TableInbox(tableinbox) {
  ClaimState.Self = Tickets.Vm = VmId::of(opt.VmName);
  ClaimState.Incarnation = Tickets.Incarnation = opt.Incarnation;
  ClaimState.Limits = opt.Limits;
  Tickets.Zone = ZoneId::of(opt.ZoneName);
  if (!opt.Table)
    ClaimState.Limits.Timeout = Duration::zero();
}

bool ClaimDecider::isFinished(Time now) const {
  const bool idle = ClaimState.PendingOutcomes.empty() && !ClaimState.InFlight;
  return StopDeadline && (idle || now >= *StopDeadline);
}

void ClaimDecider::run() {
  while (!isFinished(monotonicNow())) {
    waitReadable(Inbox.fd(), std::min(dueAt(ClaimState),
                                      StopDeadline.value_or(Time::max())));
    Inbox.takeAll([this](std::unique_ptr<ClaimMessage> msg) { handle(*msg); });
    ClaimActions out;
    step(ClaimState, monotonicNow(), out);
    sendActions(out);
  }
}

void ClaimDecider::handle(ClaimMessage &msg) {
  std::visit([this](auto &m) { handle(m); }, msg);
}

void ClaimDecider::handle(const RequestClaim &msg) {
  requestClaim(ClaimState, msg.Request, msg.Key, monotonicNow());
}

void ClaimDecider::handle(const RedeemTicket &msg) {
  const ClaimResult res = redeem(Tickets, msg.Ticket, msg.Request);
  if (res.Status == ClaimStatus::Acquired)
    TicketByRequest[msg.Request] = msg.Ticket;
  Opt.SendToWorker(msg.Request, ClaimDecided{msg.Request, res});
}

void ClaimDecider::handle(const WriteOutcome &msg) {
  const auto it = TicketByRequest.find(msg.Request);
  if (it == TicketByRequest.end()) {
    recordOutcome(ClaimState, msg.Request, msg.Result);
    return;
  }
  recordOutcome(Tickets, it->second, msg.Request, msg.Result);
  TicketByRequest.erase(it);
}

void ClaimDecider::handle(IssueTicket &msg) {
  const nlohmann::ordered_json body = {
      {"ticket", toString(issue(Tickets, randomUint64()))},
      {"zone", Opt.ZoneName},
      {"vm", Opt.VmName}};
  const std::array<HttpHeader, 2> headers = {
      {{"Content-Type", "application/json"},
       {std::string(RequestIdHeader), toString(msg.Request)}}};
  constexpr int Created = 201;
  msg.Responder.send(Created, headers, body.dump());
}

void ClaimDecider::handle(const ClaimBatchCompleted &msg) {
  ClaimActions out;
  onBatchResult(ClaimState, msg.Result, monotonicNow(), out);
  sendActions(out);
}

void ClaimDecider::handle(const StopClaimThread & /*msg*/) {
  StopDeadline = monotonicNow() + Opt.StopTimeout;
}

void ClaimDecider::sendActions(const ClaimActions &out) {
  for (const ClaimDecision &d : out.Decisions)
    Opt.SendToWorker(d.Request, ClaimDecided{d.Request, d.Result});
  if (out.Batch)
    TableInbox.post(std::make_unique<TableTask>(out.Batch));
}

} // namespace

struct ClaimThread::State {
  ClaimOptions Opt;
  ClaimMailbox Inbox;
  TableMailbox TableInbox;
  std::thread DecisionThread;
  std::thread TableThread;

  void runDecisions();
  void runTableCalls();
};

void ClaimThread::State::runDecisions() {
  ClaimDecider decider(Opt, Inbox, TableInbox);
  decider.run();
}

void ClaimThread::State::runTableCalls() {
  bool stopping = false;
  while (!stopping) {
    waitReadable(TableInbox.fd(), Time::max());
    TableInbox.takeAll([&](std::unique_ptr<TableTask> task) {
      stopping |= !*task;
      if (*task)
        Inbox.post(std::make_unique<ClaimMessage>(
            ClaimBatchCompleted{callTable(Opt.Table, **task)}));
    });
  }
}

ClaimThread::ClaimThread(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
ClaimThread::ClaimThread(ClaimThread &&) noexcept = default;
ClaimThread &ClaimThread::operator=(ClaimThread &&) noexcept = default;

ClaimThread::~ClaimThread() {
  if (!St)
    return;
  post(StopClaimThread{});
  St->DecisionThread.join();
  St->TableInbox.post(std::make_unique<TableTask>());
  St->TableThread.join();
}

ClaimThread ClaimThread::start(ClaimOptions opt) {
  auto st = std::make_unique<State>();
  st->Opt = std::move(opt);
  st->TableThread = std::thread([s = st.get()] { s->runTableCalls(); });
  st->DecisionThread = std::thread([s = st.get()] { s->runDecisions(); });
  return ClaimThread(std::move(st));
}

void ClaimThread::post(ClaimMessage msg) {
  St->Inbox.post(std::make_unique<ClaimMessage>(std::move(msg)));
}

} // namespace zinniagauge
