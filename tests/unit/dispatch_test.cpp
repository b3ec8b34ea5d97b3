#include "zinniagauge/decide/dispatch.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

const VmId SchedulerVm{7};
const EndpointId Endpoint{11};

/// One request with its worker, and a scheduler and endpoint played by the
/// test.
struct Bench {
  Dispatcher Worker;
  Dispatch One;
  DispatchActions Out;
  Time Now{1h};
  std::uint64_t Grants = 0;

  explicit Bench(bool idempotent, bool keyed = false, bool stream = false) {
    DispatchSpec work;
    work.Id = {1, 2};
    work.Admitted.Idempotent = idempotent;
    work.Admitted.Stream = stream;
    work.Admitted.Deadline = Now + 60s;
    work.HasKey = keyed;
    work.IsEngine = stream;
    onAdmitted(One, Worker, work, Now, Out);
  }

  [[nodiscard]] ClockBound bound() const {
    ClockBound cb;
    cb.Scheduler = SchedulerVm;
    cb.Incarnation = 1;
    cb.SchedulerTime = cb.SentAt = Now;
    cb.Measured = true;
    return cb;
  }

  void grant() {
    Grant g;
    g.Id = {SchedulerVm, 1, ++Grants};
    g.Attempt = One.CurrentTransfer.Attempt;
    g.Endpoint = Endpoint;
    g.IssuedAt = Now;
    g.Ttl = 2s;
    onGrant(One, Worker, g, bound(), Now, Out);
  }

  void pass(Duration t) {
    Now += t;
    onTime(One, Worker, Now, Out);
  }

  bool leave() { return tryBeginSend(One, Worker, One.CurrentTransfer, Now); }

  void head(int status, bool notrun = false, bool sse = false) {
    onResponseHead(One, Worker, One.CurrentTransfer, {status, notrun, sse, {}},
                   Now, Out);
  }

  void part(std::string_view text) {
    onResponseBody(One, Worker, One.CurrentTransfer, text, Now, Out);
  }

  void end(bool whole) {
    onResponseEnd(One, Worker, One.CurrentTransfer, whole, Now, Out);
  }

  void breakOff() {
    onTransferFailed(One, Worker, One.CurrentTransfer,
                     {ErrorCode::Broken, Step::ReadResponse, {}, "reset"}, Now,
                     Out);
  }

  template <typename T> [[nodiscard]] int count() const {
    int n = 0;
    for (const DispatchAction &a : Out)
      n += std::holds_alternative<T>(a) ? 1 : 0;
    return n;
  }

  template <typename T> [[nodiscard]] const T &last() const {
    for (auto it = Out.rbegin(); it != Out.rend(); ++it)
      if (const T *a = std::get_if<T>(&*it))
        return *a;
    FAIL("no such action");
    return std::get<T>(Out.front());
  }
};

} // namespace

TEST_CASE("a plain answer is told whole", "[dispatch]") {
  Bench b(false);
  b.grant();
  CHECK(b.last<SendRequest>().NewConnection);
  REQUIRE(b.leave());
  b.head(200);
  b.part("permit ");
  b.part("1");
  b.end(true);
  CHECK(b.last<FinishRequest>().Result == Outcome::Completed);
  CHECK(b.last<FinishRequest>().Body == "permit 1");
  CHECK(b.count<ReturnGrant>() == 1);
  CHECK(dueAt(b.One) == Time::max());
}

TEST_CASE("an answer cut short is never whole", "[dispatch]") {
  Bench b(false);
  b.grant();
  REQUIRE(b.leave());
  b.head(200);
  b.part("permit ");
  b.end(false);
  CHECK(b.last<FinishRequest>().Result == Outcome::Unknown);
  CHECK(b.last<FinishRequest>().Status == 0);
}

TEST_CASE("work that may not be repeated is sent once", "[dispatch]") {
  Bench b(false);
  b.grant();
  REQUIRE(b.leave());
  CHECK_FALSE(b.leave());
  b.breakOff();
  CHECK(b.One.Result == Outcome::Unknown);
  CHECK(b.count<SendRequest>() == 1);
  CHECK_FALSE(b.leave());
}

TEST_CASE("a connection that never opened leaves not_run", "[dispatch]") {
  Bench b(false);
  b.Worker.Limits.MaxRetries = 0;
  b.grant();
  b.breakOff();
  CHECK(b.One.Result == Outcome::NotRun);
}

TEST_CASE("only the endpoint's own word makes a refusal not_run",
          "[dispatch]") {
  const int status = GENERATE(429, 503, 500, 200);
  const bool says = GENERATE(true, false);
  Bench b(false);
  b.Worker.Limits.MaxRetries = 0;
  b.grant();
  REQUIRE(b.leave());
  b.head(status, says);
  b.end(true);
  const bool refused = says && (status == 429 || status == 503);
  CHECK((b.One.Result == Outcome::NotRun) == refused);
}

TEST_CASE("a refused attempt is retried under a new number", "[dispatch]") {
  Bench b(false);
  b.grant();
  REQUIRE(b.leave());
  b.head(503, true);
  CHECK(b.last<ReturnGrant>().Return.RefusedByEndpoint);
  b.pass(1s);
  CHECK(b.last<RequestGrant>().Attempt.Number == 2);
  CHECK(b.last<RequestGrant>().Avoid == Endpoint);
}

TEST_CASE("retries stop when the budget is spent", "[dispatch]") {
  Bench b(true);
  b.Worker.Budget.BalanceMilli = 0;
  b.grant();
  b.breakOff();
  CHECK(b.One.Result == Outcome::NotRun);
}

TEST_CASE("a lapsed grant is given back and asked anew", "[dispatch]") {
  Bench b(false);
  b.grant();
  b.Now += 3s;
  CHECK_FALSE(b.leave());
  b.breakOff();
  CHECK_FALSE(b.last<ReturnGrant>().Return.Dispatched);
  CHECK(b.last<RequestGrant>().Attempt.Number == 2);
  b.grant();
  CHECK(b.leave());
}

TEST_CASE("a transfer that its owner refuses is asked for anew", "[dispatch]") {
  Bench b(false);
  b.grant();
  REQUIRE(isReadyToSend(b.One, b.One.CurrentTransfer, b.Now));
  refuseSend(b.One);
  CHECK_FALSE(b.leave());
  b.breakOff();
  CHECK(b.last<RequestGrant>().Attempt.Number == 2);
  CHECK(b.One.AttemptsSent == 0);
}

TEST_CASE("a keyed request waits for its claim", "[dispatch]") {
  Bench b(false, true);
  b.grant();
  CHECK(b.count<AcquireClaim>() == 1);
  CHECK(b.count<SendRequest>() == 0);
  SECTION("mine") {
    onClaimDecided(b.One, b.Worker, {ClaimStatus::Acquired, {}, {}}, b.Now,
                   b.Out);
    CHECK(b.count<SendRequest>() == 1);
  }
  SECTION("mine, but too late for the grant") {
    b.Now += 3s;
    onClaimDecided(b.One, b.Worker, {ClaimStatus::Acquired, {}, {}}, b.Now,
                   b.Out);
    CHECK(b.count<SendRequest>() == 0);
    b.grant();
    CHECK(b.count<AcquireClaim>() == 1);
    CHECK(b.count<SendRequest>() == 1);
  }
  SECTION("another's") {
    onClaimDecided(b.One, b.Worker, {ClaimStatus::HeldByOther, {}, {}}, b.Now,
                   b.Out);
    CHECK(b.One.Result == Outcome::Unknown);
  }
  SECTION("another's, which has ended") {
    onClaimDecided(b.One, b.Worker,
                   {ClaimStatus::HeldByOther, Outcome::Completed, {}}, b.Now,
                   b.Out);
    CHECK(b.One.Result == Outcome::Completed);
  }
  SECTION("unreadable") {
    onClaimDecided(b.One, b.Worker, {ClaimStatus::Undetermined, {}, {}}, b.Now,
                   b.Out);
    CHECK(b.One.Result == Outcome::Unknown);
    CHECK(b.count<SendRequest>() == 0);
    CHECK(b.last<RecordOutcome>().Result == Outcome::NotRun);
  }
}

TEST_CASE("a broken stream is resumed by offset", "[dispatch]") {
  Bench b(true, false, true);
  b.grant();
  REQUIRE(b.leave());
  b.head(200, false, true);
  b.part("data: one\n\n");
  const TransferId old = b.One.CurrentTransfer;
  b.breakOff();
  b.pass(1s);
  CHECK(b.last<SendRequest>().ResumeOffset == 11U);
  REQUIRE(b.leave());
  onResponseBody(b.One, b.Worker, old, "data: crossed\n\n", b.Now, b.Out);
  CHECK(b.count<ForwardBody>() == 1);
  SECTION("where it broke off") {
    onResponseHead(b.One, b.Worker, b.One.CurrentTransfer,
                   {206, false, true, 11}, b.Now, b.Out);
    b.part("data: [DONE]\n\n");
    b.end(true);
    CHECK(b.One.Result == Outcome::Completed);
    CHECK(b.last<FinishRequest>().Complete);
  }
  SECTION("elsewhere") {
    onResponseHead(b.One, b.Worker, b.One.CurrentTransfer,
                   {206, false, true, 10}, b.Now, b.Out);
    CHECK(b.One.Result == Outcome::Unknown);
    CHECK_FALSE(b.last<FinishRequest>().Complete);
  }
}

TEST_CASE("a stream without its end mark is not whole", "[dispatch]") {
  Bench b(false, false, true);
  b.grant();
  REQUIRE(b.leave());
  b.head(200, false, true);
  b.part("data: one\n\ndata: [DO");
  SECTION("cut within the mark") {
    b.end(true);
    CHECK_FALSE(b.last<FinishRequest>().Complete);
  }
  SECTION("the mark in two parts") {
    b.part("NE]\n\n");
    const bool ends = GENERATE(true, false);
    if (ends)
      b.end(true);
    else
      b.pass(1s);
    CHECK(b.last<FinishRequest>().Complete);
  }
}

TEST_CASE("a silent connection is given up", "[dispatch]") {
  const bool idempotent = GENERATE(true, false);
  Bench b(idempotent);
  b.Worker.Limits.PlainHeadTimeout = 5s;
  b.grant();
  REQUIRE(b.leave());
  b.pass(6s);
  CHECK(b.count<CancelAtEndpoint>() == 1);
  b.pass(2s);
  CHECK(b.count<RequestGrant>() == (idempotent ? 2 : 1));
  CHECK((b.One.Phase == DispatchPhase::Done) != idempotent);
}

TEST_CASE("a caller that has left frees the engine", "[dispatch]") {
  Bench b(true, false, true);
  b.grant();
  REQUIRE(b.leave());
  onCallerDisconnected(b.One, b.Worker, b.Now, b.Out);
  CHECK(b.last<CancelAtEndpoint>().CancelWork);
  CHECK(b.count<ReturnGrant>() == 1);
}

TEST_CASE("a permit whose caller has left runs to its end", "[dispatch]") {
  Bench b(false, true);
  b.grant();
  onClaimDecided(b.One, b.Worker, {ClaimStatus::Acquired, {}, {}}, b.Now,
                 b.Out);
  REQUIRE(b.leave());
  onCallerDisconnected(b.One, b.Worker, b.Now, b.Out);
  CHECK(b.count<CancelAtEndpoint>() == 0);
  b.head(200);
  b.end(true);
  CHECK(b.last<RecordOutcome>().Result == Outcome::Completed);
}

TEST_CASE("a refusal is taken to the next scheduler first", "[dispatch]") {
  Bench b(true);
  b.One.Spec.SchedulerCount = 2;
  onTicketRefused(b.One, b.Worker, b.One.CurrentTransfer.Attempt,
                  RefusalReason::Shed, b.Now, b.Out);
  CHECK(b.last<RequestGrant>().SchedulerIndex == 1);
  onTicketRefused(b.One, b.Worker, b.One.CurrentTransfer.Attempt,
                  RefusalReason::Shed, b.Now, b.Out);
  CHECK(b.One.Result == Outcome::NotRun);
  CHECK(b.last<FinishRequest>().Err->Code == ErrorCode::Overloaded);
}

TEST_CASE("a lost scheduler loses no request", "[dispatch]") {
  Bench b(true);
  onSchedulerUnreachable(b.One, b.Worker, b.One.CurrentTransfer.Attempt, b.Now,
                         b.Out);
  b.pass(1s);
  CHECK(b.count<RequestGrant>() == 2);
  b.grant();
  CHECK(b.count<SendRequest>() == 1);
}

TEST_CASE("a late grant goes back unused", "[dispatch]") {
  Bench b(true);
  Grant g;
  g.Id = {SchedulerVm, 1, 99};
  g.Attempt = {b.One.Spec.Id, 0};
  onGrant(b.One, b.Worker, g, b.bound(), b.Now, b.Out);
  CHECK(b.last<ReturnGrant>().Return.Id == g.Id);
  CHECK(b.count<SendRequest>() == 0);
}

TEST_CASE("the deadline ends a request truthfully", "[dispatch]") {
  Bench b(false);
  const bool sent = GENERATE(true, false);
  b.grant();
  if (sent)
    REQUIRE(b.leave());
  b.pass(60s);
  CHECK(b.One.Result == (sent ? Outcome::Unknown : Outcome::NotRun));
}

TEST_CASE("an endpoint that fails gets a probe at a time", "[breaker]") {
  BreakerList list;
  Time now{1h};
  const EndpointId id{3};
  for (int n = 0; n < 10; ++n)
    recordUse(list, {id, true, {}}, now);
  CHECK_FALSE(mayTry(list, id, now));
  now += 2s;
  CHECK(mayTry(list, id, now));
  CHECK_FALSE(mayTry(list, id, now));
  recordUse(list, {id, true, {}}, now);
  now += 1500ms;
  CHECK_FALSE(mayTry(list, id, now));
  now += 1s;
  CHECK(mayTry(list, id, now));
  recordUse(list, {id, false, 1ms}, now);
  CHECK(mayTry(list, id, now));
}

TEST_CASE("an endpoint that slows is tried less", "[breaker]") {
  BreakerList list;
  const Time now{1h};
  const EndpointId id{3};
  for (int n = 0; n < 100; ++n)
    recordUse(list, {id, false, 1ms}, now);
  CHECK(mayTry(list, id, now));
  for (int n = 0; n < 20; ++n)
    recordUse(list, {id, false, 30ms}, now);
  CHECK_FALSE(mayTry(list, id, now));
}

TEST_CASE("a caller who leaves says nothing against the endpoint",
          "[dispatch]") {
  Bench b(true, false, true);
  b.grant();
  REQUIRE(b.leave());
  b.head(200, false, true);
  b.part("data: {}\n\n");
  onCallerDisconnected(b.One, b.Worker, b.Now, b.Out);
  CHECK_FALSE(b.last<ReturnGrant>().Return.EndpointFailed);
  CHECK(b.last<ReturnGrant>().Return.Cancelled);
  CHECK(b.last<FinishRequest>().Result == Outcome::Unknown);
}
