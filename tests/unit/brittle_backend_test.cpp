// Tests that a front reads which back ends are brittle, and which calls it
// sends them.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

constexpr const char *Ok = "HTTP/1.1 200 OK\r\n";
constexpr const char *Full = "HTTP/1.1 503 Service Unavailable\r\n"
                             "Zinniagauge-Not-Run: 1\r\n";
constexpr const char *Brittle = "Server-Brittle: 3\r\n";

/// Answers the call \p id on \p conn as \p head says, and closes \p conn.
void answer(TestedFrontLoop &f, TestSocket &conn, const std::string &head,
            const std::string &id) {
  f.send(conn, head + "Zinniagauge-Attempt-Id: " + id +
                   "\r\nConnection: close\r\nContent-Length: 0\r\n" +
                   "Zinniagauge-Response-Seal: s\r\n\r\n");
  conn.reset();
}

/// Sends a call that is answered as \p heads say, one for each back end.
/// Returns the back ends that received it.
std::vector<std::size_t> serveCall(TestedFrontLoop &f,
                                   const std::vector<std::string> &heads) {
  static int number = 0;
  std::vector<std::size_t> out;
  const std::string id = "b-" + std::to_string(++number);
  // Calls prefer back end 0, as it is faster.
  for (std::size_t n = 0; n < f.Backends.size(); ++n)
    f.Rl->Backends.at(f.Backends[n].Info.Id)->EventMs = n == 0 ? 1 : 50;
  f.request(id, {}, "/safe/x");
  for (;;) {
    auto [at, conn] = f.acceptAny();
    if (conn.Fd < 0 || f.receive(conn, "\r\n\r\n").empty())
      return out;
    out.push_back(at);
    answer(f, conn, heads.at(at), id);
    if (heads.at(at).find(" 200 ") == std::string::npos)
      continue;
    static_cast<void>(f.receive(f.Caller, "\r\n\r\n"));
    return out;
  }
}

/// The calls that back end 0 receives while calls are sent for \p span.
int callsInSpan(TestedFrontLoop &f, Duration span,
                const std::vector<std::string> &heads) {
  int count = 0;
  for (const Time end = monotonicNow() + span; monotonicNow() < end;)
    for (const std::size_t at : serveCall(f, heads))
      count += at == 0 ? 1 : 0;
  return count;
}

bool isFirstBrittle(TestedFrontLoop &f) {
  const BackendState &b = *f.Rl->Backends.at(f.Backends.at(0).Info.Id);
  return isBrittle(f.Rl->Pools[b.Info.Pool], b);
}

} // namespace

TEST_CASE("a brittle back end that rejected a call isn't sent another at once",
          "[front]") {
  TestedFrontLoop f(2);
  f.Board.LivingFronts = 6;
  const std::string rejection = std::string(Full) + Brittle;
  REQUIRE(callsInSpan(f, milliseconds(10), {rejection, Ok}) == 1);
  CHECK(isFirstBrittle(f));
  CHECK(callsInSpan(f, milliseconds(1500), {rejection, Ok}) == 0);
  // The pause ends, and then the brittle state.
  const BackendState &b = *f.Rl->Backends.at(f.Backends.at(0).Info.Id);
  f.wait(b.Guard.PausedUntil - monotonicNow());
  CHECK(callsInSpan(f, milliseconds(300), {Ok, Ok}) > 3);
  CHECK_FALSE(isFirstBrittle(f));
  CHECK(callsInSpan(f, milliseconds(300), {Full, Ok}) > 1);
}

TEST_CASE("a call that the only brittle back end rejected waits in the front",
          "[front]") {
  TestedFrontLoop f(1);
  f.Board.LivingFronts = 6;
  CHECK(serveCall(f, {std::string(Full) + Brittle}).size() == 1);
  const std::string refusal = f.receive(f.Caller, "\r\n\r\n");
  CHECK(refusal.find(" 503 ") != std::string::npos);
  CHECK(refusal.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a brittle back end with calls waiting inside it gets no more",
          "[front]") {
  TestedFrontLoop f(2);
  const std::string waiting = "Zinniagauge-Server-Load: 8,2,8\r\n";
  // Reports without a pace are used only of brittle back ends.
  REQUIRE(callsInSpan(f, milliseconds(200), {Ok + waiting, Ok}) > 2);
  static_cast<void>(serveCall(f, {Ok + waiting + Brittle, Ok}));
  CHECK(callsInSpan(f, milliseconds(300), {Ok + waiting + Brittle, Ok}) == 0);
}

TEST_CASE("a limit of rejections that can't be read changes nothing",
          "[front]") {
  TestedFrontLoop f(2);
  const std::string unreadable = std::string(Ok) + "Server-Brittle: many\r\n";
  static_cast<void>(serveCall(f, {unreadable, Ok}));
  CHECK_FALSE(isFirstBrittle(f));
  static_cast<void>(serveCall(f, {std::string(Ok) + Brittle, Ok}));
  CHECK(isFirstBrittle(f));
  static_cast<void>(serveCall(f, {unreadable, Ok}));
  CHECK(isFirstBrittle(f));
}

TEST_CASE("a back end that hasn't answered yet is brittle with its pool",
          "[front]") {
  TestedFrontLoop f(2);
  static_cast<void>(serveCall(f, {std::string(Ok) + Brittle, Ok}));
  const BackendState &other = *f.Rl->Backends.at(f.Backends.at(1).Info.Id);
  const PoolState &pool = f.Rl->Pools[other.Info.Pool];
  CHECK(isBrittle(pool, other));
  static_cast<void>(serveCall(f, {Ok, Ok}));
  CHECK_FALSE(isBrittle(pool, other));
}
