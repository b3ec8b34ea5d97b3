// Tests of the answers that the front gives by itself: each request gets
// exactly one, however its bytes arrive.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

std::string requestText(std::string_view line, std::string_view id,
                        std::string_view fields, std::string_view body = {}) {
  std::string out = std::string(line) + " HTTP/1.1\r\nHost: h\r\n";
  out.append("Zinniagauge-Attempt-Id: ").append(id).append("\r\n");
  out.append(fields);
  if (!body.empty())
    out.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  return out.append("\r\n").append(body);
}

/// The id of the request that is sent as number \p n: five characters.
std::string idOf(std::size_t n) { return "r" + std::to_string(1000 + n); }

/// A request that the front answers without a back end.
struct OwnAnswer {
  std::string_view Status; // Start of the status line's rest.
  std::string Request;
  bool Closes = false; // The connection ends after the answer.
};

/// Lets the plan count as confirmed however long the test takes.
void keepPlanFresh(TestedFrontLoop &f) {
  f.Board.Proof.publish({1, toNanos(bootNow() + std::chrono::hours(1))});
}

/// Makes the routes other than "/safe/" anonymous and adds a workspace with the
/// key "spent", whose allowance is used up.
void requireKeys(TestedFrontLoop &f) {
  keepPlanFresh(f);
  TrafficPlan plan;
  {
    const ReadGuard guard;
    plan = f.Board.Plan.read(guard);
  }
  plan.RequiresKeys = true;
  for (PlanRoute &route : plan.Routes)
    route.AllowsAnonymous = route.Prefix != "/safe/";
  PlanWorkspace ws;
  ws.Name = "w";
  ws.Id = WorkspaceId::of("w");
  ws.RatePerSecond = 1e-6;
  ws.Burst = 1e-6;
  plan.Workspaces = {ws};
  plan.WorkspaceByKey = {{"spent", 0}};
  f.Board.Plan.publish(std::move(plan));
  f.Rl->Limits.MaxBodyBytes = 64;
  f.Rl->Limits.MaxHeadBytes = 512;
  // Nothing is added to the allowance while the test runs.
  disarm(f.Rl->EventLoop, f.Rl->TrackTimer);
  AllowanceState &st = f.Rl->Allowances[ws.Id];
  st.Initialized = true;
  st.Level = -1e9;
}

constexpr std::string_view Spent = "Zinniagauge-Credential: spent\r\n";

/// Answers the next request on \p conn, or on a new connection if it has none.
/// Returns the request's id, or nothing if none arrives.
std::string answerNext(TestedFrontLoop &f, TestSocket &conn) {
  if (conn.Fd < 0)
    conn = f.accept(0);
  const std::string got = f.receive(conn, "\r\n\r\n");
  constexpr std::string_view Name = "Zinniagauge-Attempt-Id: ";
  const std::size_t at = got.find(Name);
  if (at == std::string::npos)
    return {};
  std::string id = got.substr(at + Name.size(), 5);
  f.send(conn, "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + id +
                   "\r\nZinniagauge-Response-Seal: s\r\nKeep-Alive: timeout=60"
                   "\r\nContent-Length: 9\r\n\r\nran " +
                   id);
  return id;
}

/// Sends a request in two parts, cut at \p n, and in the second part another
/// request that a back end answers. Returns all that the caller receives.
std::string sendCut(TestedFrontLoop &f, TestSocket &conn, const OwnAnswer &a,
                    std::size_t n) {
  f.useNewCaller();
  f.EarlierCallers.clear();
  if (n > 0)
    f.send(f.Caller, std::string_view(a.Request).substr(0, n));
  f.send(f.Caller, a.Request.substr(n) +
                       requestText("POST /unsafe/y", idOf(n), {}, "second"));
  if (a.Closes)
    return f.receive(f.Caller, "ran ");
  CHECK(answerNext(f, conn) == idOf(n));
  return f.receive(f.Caller, "ran " + idOf(n));
}

std::size_t countAnswers(std::string_view text) {
  std::size_t count = 0;
  for (std::size_t at = 0;
       (at = text.find("HTTP/1.1 ", at)) != std::string_view::npos; ++at)
    ++count;
  return count;
}

void checkEachCut(TestedFrontLoop &f, const OwnAnswer &a) {
  TestSocket conn;
  for (std::size_t n = 0; n < a.Request.size(); ++n) {
    INFO(a.Status << ", cut at byte " << n);
    const std::string got = sendCut(f, conn, a, n);
    INFO(got);
    REQUIRE(got.starts_with("HTTP/1.1 " + std::string(a.Status)));
    REQUIRE(countAnswers(got) == (a.Closes ? 1 : 2));
    if (!a.Closes)
      REQUIRE(got.ends_with("ran " + idOf(n)));
  }
}

} // namespace

// Guards against a refused request whose header came in two parts being
// answered again, so that later requests get the answers of others.
TEST_CASE("a request that the front answers itself is answered once, wherever "
          "it is cut",
          "[front][own]") {
  TestedFrontLoop f(1);
  requireKeys(f);
  checkEachCut(f, {"404", requestText("GET /none/x", "r-own", {}), false});
  checkEachCut(f,
               {"404", requestText("POST /none/x", "r-own", {}, "b"), false});
  checkEachCut(f,
               {"401", requestText("POST /safe/x", "r-own", {}, "b"), false});
  checkEachCut(
      f, {"429", requestText("POST /safe/x", "r-own", Spent, "b"), false});
  checkEachCut(f,
               {"413",
                requestText("POST /safe/x", "r-own", {}, std::string(65, 'x'))
                    .substr(0, 96),
                true});
}

// Guards against the same with refusals of a front that can't confirm its plan.
TEST_CASE("a request refused under an unconfirmed plan is answered once",
          "[front][own]") {
  TestedFrontLoop f(1);
  f.Board.Proof.publish({1, toNanos(bootNow() - std::chrono::minutes(1))});
  checkEachCut(f,
               {"503", requestText("POST /none/x", "r-own", {}, "b"), false});
}

// Guards against a second answer to a malformed or too large request, and
// against serving what follows it.
TEST_CASE("a request that can't be read is answered once and ends the "
          "connection",
          "[front][own]") {
  TestedFrontLoop f(1);
  requireKeys(f);
  const std::string bad =
      requestText("GET /none/x", "r-own", "Bad Field: 1\r\n");
  const std::size_t at = bad.find("Bad Field") + 6;
  TestSocket conn;
  for (std::size_t n = 0; n < at; ++n) {
    INFO("cut at byte " << n);
    const std::string got = sendCut(f, conn, {"400", bad, true}, n);
    REQUIRE(got.starts_with("HTTP/1.1 400"));
    REQUIRE(countAnswers(got) == 1);
  }
}

// Guards against requests being served after an answer that closes the
// connection.
TEST_CASE("a front that stops answers a refused request once and serves "
          "nothing after it",
          "[front][own]") {
  TestedFrontLoop f(1);
  f.Rl->Settings.StopTimeout = std::chrono::seconds(8);
  const std::string text = requestText("POST /unsafe/x", "r-own", {}, "b");
  beginShutdown(*f.Rl);
  f.Rl->StopTimer.Fn = [](void *, Time) {};
  f.Rl->StoppingSince -= std::chrono::seconds(5);
  checkEachCut(f, {"503", text, true});
  CHECK(f.accept(0).Fd < 0);
}

// Guards against a call that is served being run or answered twice.
TEST_CASE("requests in one packet after a part of the first are each served "
          "once",
          "[front][own]") {
  TestedFrontLoop f(1);
  keepPlanFresh(f);
  TestSocket conn;
  const std::size_t size = requestText("POST /safe/x", idOf(0), {}, "b").size();
  const std::string refused = requestText("GET /none/x", "r-404", {});
  for (std::size_t n = 1; n < size; ++n) {
    INFO("cut at byte " << n);
    const std::string first =
        requestText("POST /safe/x", idOf(size + n), {}, "b");
    f.useNewCaller();
    f.EarlierCallers.clear();
    f.send(f.Caller, first.substr(0, n));
    std::string rest = first.substr(n);
    rest.append(refused).append(refused);
    rest.append(requestText("POST /unsafe/y", idOf(n), {}, "second"));
    f.send(f.Caller, rest);
    REQUIRE(answerNext(f, conn) == idOf(size + n));
    REQUIRE(answerNext(f, conn) == idOf(n));
    const std::string got = f.receive(f.Caller, "ran " + idOf(n));
    INFO(got);
    REQUIRE(countAnswers(got) == 4);
    REQUIRE(got.find("ran " + idOf(size + n)) < got.find("404"));
    REQUIRE(got.ends_with("ran " + idOf(n)));
  }
}
