#include "zinniagauge/decide/dispatch.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;
using namespace std::chrono_literals;

namespace {

const VmId SchedulerVm{7};
const EndpointId Endpoint{11};

/// One request with the state of its worker. The test acts as its scheduler and
/// its endpoint.
struct RequestFixture {
  Dispatcher Worker;
  Dispatch Request;
  DispatchActions Out;
  Time Now{1h};
  std::uint64_t Grants = 0;

  explicit RequestFixture(bool idempotent, bool keyed = false,
                          bool stream = false) {
    DispatchSpec work;
    work.Id = {1, 2};
    work.Admitted.Idempotent = idempotent;
    work.Admitted.Stream = stream;
    work.Admitted.Deadline = Now + 60s;
    work.HasKey = keyed;
    work.IsEngine = stream;
    onAdmitted(Request, Worker, work, Now, Out);
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
    g.Attempt = Request.CurrentTransfer.Attempt;
    g.Endpoint = Endpoint;
    g.IssuedAt = Now;
    g.Ttl = 2s;
    onGrant(Request, Worker, g, bound(), Now, Out);
  }

  void pass(Duration t) {
    Now += t;
    onTime(Request, Worker, Now, Out);
  }

  bool beginSend() {
    return tryBeginSend(Request, Worker, Request.CurrentTransfer, Now);
  }

  void head(int status, bool not_run = false, bool sse = false) {
    onResponseHead(Request, Worker, Request.CurrentTransfer,
                   {status, not_run, sse, {}}, Now, Out);
  }

  void part(std::string_view text) {
    onResponseBody(Request, Worker, Request.CurrentTransfer, text, Now, Out);
  }

  void end(bool whole) {
    onResponseEnd(Request, Worker, Request.CurrentTransfer, whole, Now, Out);
  }

  void breakConnection() {
    onTransferFailed(Request, Worker, Request.CurrentTransfer,
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

TEST_CASE("a plain response is returned complete", "[dispatch]") {
  RequestFixture b(false);
  b.grant();
  CHECK(b.last<SendRequest>().NewConnection);
  REQUIRE(b.beginSend());
  b.head(200);
  b.part("permit ");
  b.part("1");
  b.end(true);
  CHECK(b.last<FinishRequest>().Result == Outcome::Completed);
  CHECK(b.last<FinishRequest>().Body == "permit 1");
  CHECK(b.count<ReturnGrant>() == 1);
  CHECK(dueAt(b.Request) == Time::max());
}

TEST_CASE("a truncated response is never complete", "[dispatch]") {
  RequestFixture b(false);
  b.grant();
  REQUIRE(b.beginSend());
  b.head(200);
  b.part("permit ");
  b.end(false);
  CHECK(b.last<FinishRequest>().Result == Outcome::Unknown);
  CHECK(b.last<FinishRequest>().Status == 0);
}

TEST_CASE("a request that is not idempotent is sent once", "[dispatch]") {
  RequestFixture b(false);
  b.grant();
  REQUIRE(b.beginSend());
  CHECK_FALSE(b.beginSend());
  b.breakConnection();
  CHECK(b.Request.Result == Outcome::Unknown);
  CHECK(b.count<SendRequest>() == 1);
  CHECK_FALSE(b.beginSend());
}

TEST_CASE("a failed connect ends a request as not_run", "[dispatch]") {
  RequestFixture b(false);
  b.Worker.Limits.MaxRetries = 0;
  b.grant();
  b.breakConnection();
  CHECK(b.Request.Result == Outcome::NotRun);
}

TEST_CASE("only a refusal with the not-run header gives not_run",
          "[dispatch]") {
  const int status = GENERATE(429, 503, 500, 200);
  const bool says = GENERATE(true, false);
  RequestFixture b(false);
  b.Worker.Limits.MaxRetries = 0;
  b.grant();
  REQUIRE(b.beginSend());
  b.head(status, says);
  b.end(true);
  const bool refused = says && (status == 429 || status == 503);
  CHECK((b.Request.Result == Outcome::NotRun) == refused);
}

TEST_CASE("a refused attempt is retried under a new attempt number",
          "[dispatch]") {
  RequestFixture b(false);
  b.grant();
  REQUIRE(b.beginSend());
  b.head(503, true);
  CHECK(b.last<ReturnGrant>().Return.RefusedByEndpoint);
  b.pass(1s);
  CHECK(b.last<RequestGrant>().Attempt.Number == 2);
  CHECK(b.last<RequestGrant>().AvoidEndpoint == Endpoint);
}

TEST_CASE("no retry without retry budget", "[dispatch]") {
  RequestFixture b(true);
  b.Worker.Budget.BalanceMilli = 0;
  b.grant();
  b.breakConnection();
  CHECK(b.Request.Result == Outcome::NotRun);
}

TEST_CASE("an expired grant is returned and replaced", "[dispatch]") {
  RequestFixture b(false);
  b.grant();
  b.Now += 3s;
  CHECK_FALSE(b.beginSend());
  b.breakConnection();
  CHECK_FALSE(b.last<ReturnGrant>().Return.Dispatched);
  CHECK(b.last<RequestGrant>().Attempt.Number == 2);
  b.grant();
  CHECK(b.beginSend());
}

TEST_CASE("a transfer that its owner refuses gets a new grant", "[dispatch]") {
  RequestFixture b(false);
  b.grant();
  REQUIRE(isReadyToSend(b.Request, b.Request.CurrentTransfer, b.Now));
  refuseSend(b.Request);
  CHECK_FALSE(b.beginSend());
  b.breakConnection();
  CHECK(b.last<RequestGrant>().Attempt.Number == 2);
  CHECK(b.Request.AttemptsSent == 0);
}

TEST_CASE("a keyed request waits for its claim", "[dispatch]") {
  RequestFixture b(false, true);
  b.grant();
  CHECK(b.count<AcquireClaim>() == 1);
  CHECK(b.count<SendRequest>() == 0);
  SECTION("acquired") {
    onClaimDecided(b.Request, b.Worker, {ClaimStatus::Acquired, {}, {}}, b.Now,
                   b.Out);
    CHECK(b.count<SendRequest>() == 1);
  }
  SECTION("acquired after the grant expired") {
    b.Now += 3s;
    onClaimDecided(b.Request, b.Worker, {ClaimStatus::Acquired, {}, {}}, b.Now,
                   b.Out);
    CHECK(b.count<SendRequest>() == 0);
    b.grant();
    CHECK(b.count<AcquireClaim>() == 1);
    CHECK(b.count<SendRequest>() == 1);
  }
  SECTION("held by another request") {
    onClaimDecided(b.Request, b.Worker, {ClaimStatus::HeldByOther, {}, {}},
                   b.Now, b.Out);
    CHECK(b.Request.Result == Outcome::Unknown);
  }
  SECTION("held by another request that has ended") {
    onClaimDecided(b.Request, b.Worker,
                   {ClaimStatus::HeldByOther, Outcome::Completed, {}}, b.Now,
                   b.Out);
    CHECK(b.Request.Result == Outcome::Completed);
  }
  SECTION("unreadable") {
    onClaimDecided(b.Request, b.Worker, {ClaimStatus::Undetermined, {}, {}},
                   b.Now, b.Out);
    CHECK(b.Request.Result == Outcome::Unknown);
    CHECK(b.count<SendRequest>() == 0);
    CHECK(b.last<RecordOutcome>().Result == Outcome::NotRun);
  }
}

TEST_CASE("a broken stream is resumed by offset", "[dispatch]") {
  RequestFixture b(true, false, true);
  b.grant();
  REQUIRE(b.beginSend());
  b.head(200, false, true);
  b.part("data: one\n\n");
  const TransferId old = b.Request.CurrentTransfer;
  b.breakConnection();
  b.pass(1s);
  CHECK(b.last<SendRequest>().ResumeOffset == 11U);
  REQUIRE(b.beginSend());
  onResponseBody(b.Request, b.Worker, old, "data: crossed\n\n", b.Now, b.Out);
  CHECK(b.count<ForwardBody>() == 1);
  SECTION("at the offset where it broke off") {
    onResponseHead(b.Request, b.Worker, b.Request.CurrentTransfer,
                   {206, false, true, 11}, b.Now, b.Out);
    b.part("data: [DONE]\n\n");
    b.end(true);
    CHECK(b.Request.Result == Outcome::Completed);
    CHECK(b.last<FinishRequest>().Complete);
  }
  SECTION("at another offset") {
    onResponseHead(b.Request, b.Worker, b.Request.CurrentTransfer,
                   {206, false, true, 10}, b.Now, b.Out);
    CHECK(b.Request.Result == Outcome::Unknown);
    CHECK_FALSE(b.last<FinishRequest>().Complete);
  }
}

TEST_CASE("a stream without its end mark is incomplete", "[dispatch]") {
  RequestFixture b(false, false, true);
  b.grant();
  REQUIRE(b.beginSend());
  b.head(200, false, true);
  b.part("data: one\n\ndata: [DO");
  SECTION("truncated within the end mark") {
    b.end(true);
    CHECK_FALSE(b.last<FinishRequest>().Complete);
  }
  SECTION("the end mark in two parts") {
    b.part("NE]\n\n");
    const bool ends = GENERATE(true, false);
    if (ends)
      b.end(true);
    else
      b.pass(1s);
    CHECK(b.last<FinishRequest>().Complete);
  }
}

TEST_CASE("a silent connection times out", "[dispatch]") {
  const bool idempotent = GENERATE(true, false);
  RequestFixture b(idempotent);
  b.Worker.Limits.PlainHeadTimeout = 5s;
  b.grant();
  REQUIRE(b.beginSend());
  b.pass(6s);
  CHECK(b.count<CancelAtEndpoint>() == 1);
  b.pass(2s);
  CHECK(b.count<RequestGrant>() == (idempotent ? 2 : 1));
  CHECK((b.Request.Phase == DispatchPhase::Done) != idempotent);
}

TEST_CASE("work at an engine is cancelled when its caller disconnects",
          "[dispatch]") {
  RequestFixture b(true, false, true);
  b.grant();
  REQUIRE(b.beginSend());
  onCallerDisconnected(b.Request, b.Worker, b.Now, b.Out);
  CHECK(b.last<CancelAtEndpoint>().CancelWork);
  CHECK(b.count<ReturnGrant>() == 1);
}

TEST_CASE("a keyed request runs to its end after its caller disconnected",
          "[dispatch]") {
  RequestFixture b(false, true);
  b.grant();
  onClaimDecided(b.Request, b.Worker, {ClaimStatus::Acquired, {}, {}}, b.Now,
                 b.Out);
  REQUIRE(b.beginSend());
  onCallerDisconnected(b.Request, b.Worker, b.Now, b.Out);
  CHECK(b.count<CancelAtEndpoint>() == 0);
  b.head(200);
  b.end(true);
  CHECK(b.last<RecordOutcome>().Result == Outcome::Completed);
}

TEST_CASE("a refused ticket goes to the next scheduler", "[dispatch]") {
  RequestFixture b(true);
  b.Request.Spec.SchedulerCount = 2;
  onTicketRefused(b.Request, b.Worker, b.Request.CurrentTransfer.Attempt,
                  RefusalReason::Shed, b.Now, b.Out);
  CHECK(b.last<RequestGrant>().SchedulerIndex == 1);
  onTicketRefused(b.Request, b.Worker, b.Request.CurrentTransfer.Attempt,
                  RefusalReason::Shed, b.Now, b.Out);
  CHECK(b.Request.Result == Outcome::NotRun);
  CHECK(b.last<FinishRequest>().Err->Code == ErrorCode::Overloaded);
}

TEST_CASE("a request outlives an unreachable scheduler", "[dispatch]") {
  RequestFixture b(true);
  onSchedulerUnreachable(b.Request, b.Worker, b.Request.CurrentTransfer.Attempt,
                         b.Now, b.Out);
  b.pass(1s);
  CHECK(b.count<RequestGrant>() == 2);
  b.grant();
  CHECK(b.count<SendRequest>() == 1);
}

TEST_CASE("a late grant is returned unused", "[dispatch]") {
  RequestFixture b(true);
  Grant g;
  g.Id = {SchedulerVm, 1, 99};
  g.Attempt = {b.Request.Spec.Id, 0};
  onGrant(b.Request, b.Worker, g, b.bound(), b.Now, b.Out);
  CHECK(b.last<ReturnGrant>().Return.Id == g.Id);
  CHECK(b.count<SendRequest>() == 0);
}

TEST_CASE("a request at its deadline ends as unknown only if it was sent",
          "[dispatch]") {
  RequestFixture b(false);
  const bool sent = GENERATE(true, false);
  b.grant();
  if (sent)
    REQUIRE(b.beginSend());
  b.pass(60s);
  CHECK(b.Request.Result == (sent ? Outcome::Unknown : Outcome::NotRun));
}

TEST_CASE("a failing endpoint gets one probe at a time", "[breaker]") {
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

TEST_CASE("an endpoint that becomes slow gets no requests", "[breaker]") {
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

TEST_CASE("a disconnected caller is no failure of the endpoint", "[dispatch]") {
  RequestFixture b(true, false, true);
  b.grant();
  REQUIRE(b.beginSend());
  b.head(200, false, true);
  b.part("data: {}\n\n");
  onCallerDisconnected(b.Request, b.Worker, b.Now, b.Out);
  CHECK_FALSE(b.last<ReturnGrant>().Return.EndpointFailed);
  CHECK(b.last<ReturnGrant>().Return.Cancelled);
  CHECK(b.last<FinishRequest>().Result == Outcome::Unknown);
}
