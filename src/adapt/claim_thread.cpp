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

/// A transaction to make, or the end of the thread.
using TableTask = std::optional<ClaimBatch>;
using TableBox = Mailbox<TableTask>;

/// Sleeps until \p fd is readable or \p due has come.
void sleepUntil(int fd, Time due) {
  using std::chrono::milliseconds;
  constexpr milliseconds Most = std::chrono::minutes(1);
  pollfd ready{fd, POLLIN, 0};
  const Duration left = std::max(due - monotonicNow(), Duration::zero());
  const auto ms =
      std::chrono::ceil<milliseconds>(std::min<Duration>(left, Most));
  ::poll(&ready, 1, static_cast<int>(ms.count()));
}

BatchFate fateOf(const Error &err) noexcept {
  return err.Code == ErrorCode::Unavailable || err.Code == ErrorCode::Invalid ||
                 err.Code == ErrorCode::NotFound
             ? BatchFate::NoEffect
             : BatchFate::Unsure;
}

ClaimBatchAnswer callTable(const std::optional<Platform> &table,
                           const ClaimBatch &batch) {
  if (!table)
    return {batch.Number, BatchFate::NoEffect, {}};
  return handle([&] { return table->Transact(toTransaction(batch)); },
                [&](const TableResult &res) { return toAnswer(batch, res); },
                [&](const Error &err) {
                  return ClaimBatchAnswer{batch.Number, fateOf(err), {}};
                });
}

std::uint64_t randomWord() {
  std::random_device dev;
  return (std::uint64_t{dev()} << 32U) | dev();
}

/// All that lives on the deciding thread.
class Decider {
public:
  Decider(const ClaimOptions &opt, ClaimBox &box, TableBox &totable);

  /// Decides until told to stop, and what is to be recorded is, or is given up.
  void run();

private:
  void take(ClaimMessage &msg);
  void take(const AskClaim &msg);
  void take(const AskTicket &msg);
  void take(const WriteOutcome &msg);
  void take(IssueTicket &msg);
  void take(const TableAnswered &msg);
  void take(const StopClaims &msg);
  void tell(const ClaimChanges &out);
  [[nodiscard]] bool isOver(Time now) const;

  const ClaimOptions &Opt;
  ClaimBox &Box;
  TableBox &ToTable;
  Claims Rows;
  TicketBook Tickets;
  std::map<RequestId, IssuedTicket> Spenders;
  std::optional<Time> StopBy;
};

Decider::Decider(const ClaimOptions &opt, ClaimBox &box, TableBox &totable)
    : Opt(opt), Box(box), ToTable(totable) {
  Rows.Self = Tickets.Vm = VmId::of(opt.VmName);
  Rows.Incarnation = Tickets.Incarnation = opt.Incarnation;
  Rows.Limits = opt.Limits;
  Tickets.Zone = ZoneId::of(opt.ZoneName);
  if (!opt.Table)
    Rows.Limits.Timeout = Duration::zero();
}

bool Decider::isOver(Time now) const {
  const bool rest = Rows.Records.empty() && !Rows.InFlight;
  return StopBy && (rest || now >= *StopBy);
}

void Decider::run() {
  while (!isOver(monotonicNow())) {
    sleepUntil(Box.fd(), std::min(dueAt(Rows), StopBy.value_or(Time::max())));
    Box.takeAll([this](std::unique_ptr<ClaimMessage> msg) { take(*msg); });
    ClaimChanges out;
    step(Rows, monotonicNow(), out);
    tell(out);
  }
}

void Decider::take(ClaimMessage &msg) {
  std::visit([this](auto &m) { take(m); }, msg);
}

void Decider::take(const AskClaim &msg) {
  askClaim(Rows, msg.Request, msg.Key, monotonicNow());
}

void Decider::take(const AskTicket &msg) {
  const ClaimResult res = spend(Tickets, msg.Ticket, msg.Request);
  if (res.Status == ClaimStatus::Mine)
    Spenders[msg.Request] = msg.Ticket;
  Opt.ToWorker(msg.Request, ClaimDecided{msg.Request, res});
}

void Decider::take(const WriteOutcome &msg) {
  const auto it = Spenders.find(msg.Request);
  if (it == Spenders.end()) {
    recordOutcome(Rows, msg.Request, msg.Result);
    return;
  }
  recordOutcome(Tickets, it->second, msg.Request, msg.Result);
  Spenders.erase(it);
}

void Decider::take(IssueTicket &msg) {
  const nlohmann::ordered_json body = {
      {"ticket", toString(issue(Tickets, randomWord()))},
      {"zone", Opt.ZoneName},
      {"vm", Opt.VmName}};
  const std::array<HttpHeader, 2> headers = {
      {{"Content-Type", "application/json"},
       {std::string(RequestIdHeader), toString(msg.Request)}}};
  constexpr int Created = 201;
  msg.Reply.send(Created, headers, body.dump());
}

void Decider::take(const TableAnswered &msg) {
  ClaimChanges out;
  onBatch(Rows, msg.Answer, monotonicNow(), out);
  tell(out);
}

void Decider::take(const StopClaims & /*msg*/) {
  StopBy = monotonicNow() + Opt.StopTimeout;
}

void Decider::tell(const ClaimChanges &out) {
  for (const ClaimDecision &d : out.Decided)
    Opt.ToWorker(d.Request, ClaimDecided{d.Request, d.Result});
  if (out.Batch)
    ToTable.post(std::make_unique<TableTask>(out.Batch));
}

} // namespace

struct ClaimThread::State {
  ClaimOptions Opt;
  ClaimBox Box;
  TableBox ToTable;
  std::thread Deciding;
  std::thread Calling;

  void decide();
  void callTables();
};

void ClaimThread::State::decide() {
  Decider decider(Opt, Box, ToTable);
  decider.run();
}

void ClaimThread::State::callTables() {
  bool stopping = false;
  while (!stopping) {
    sleepUntil(ToTable.fd(), Time::max());
    ToTable.takeAll([&](std::unique_ptr<TableTask> task) {
      stopping |= !*task;
      if (*task)
        Box.post(std::make_unique<ClaimMessage>(
            TableAnswered{callTable(Opt.Table, **task)}));
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
  post(StopClaims{});
  St->Deciding.join();
  St->ToTable.post(std::make_unique<TableTask>());
  St->Calling.join();
}

ClaimThread ClaimThread::start(ClaimOptions opt) {
  auto st = std::make_unique<State>();
  st->Opt = std::move(opt);
  st->Calling = std::thread([s = st.get()] { s->callTables(); });
  st->Deciding = std::thread([s = st.get()] { s->decide(); });
  return ClaimThread(std::move(st));
}

void ClaimThread::post(ClaimMessage msg) {
  St->Box.post(std::make_unique<ClaimMessage>(std::move(msg)));
}

} // namespace zinniagauge
