// Tests of callers that read large responses slowly: they get them whole.
#include "support/tested_front_loop.h"

#include "zinniagauge/decide/silence_timeout.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view Sealed = "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id:"
                                    " c-1\r\nZinniagauge-Response-Seal: s\r\n";

/// Larger than what the sockets hold.
constexpr std::size_t LargeBytes = std::size_t{12} << 20U;

std::string largeEvents() {
  std::string out;
  for (std::size_t n = 1; out.size() < LargeBytes; ++n)
    out += "id: " + std::to_string(n) + "\ndata: " + std::string(1000, 'x') +
           "\n\n";
  return out;
}

/// Sends \p text as far as the front reads it; returns the rest.
std::string_view sendPart(const TestSocket &to, std::string_view text) {
  const ssize_t n =
      ::send(to.Fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return text.substr(n > 0 ? static_cast<std::size_t>(n) : 0);
}

/// Sends \p text, which doesn't all fit, until the front reads no more of it
/// and for \p pause longer.
std::string_view sendUntilPaused(TestedFrontLoop &f, const TestSocket &to,
                                 std::string_view text, Duration pause) {
  const Time end = monotonicNow() + pause;
  while (!text.empty() && monotonicNow() < end) {
    text = sendPart(to, text);
    f.step();
  }
  return text;
}

/// Reads what the caller receives until the connection closes or, if \p end
/// isn't empty, until it ends with \p end; sends \p rest meanwhile and then
/// closes \p from. Waits for \p pause after each \p most bytes.
std::string readSlowly(TestedFrontLoop &f, TestSocket &from,
                       std::string_view rest, std::string_view end,
                       std::size_t most = std::size_t{1} << 20U,
                       Duration pause = milliseconds(5)) {
  std::string out;
  std::array<char, 65536> buf{};
  std::size_t sincepause = 0;
  for (int idle = 0; idle < 1000;) {
    rest = sendPart(from, rest);
    if (rest.empty() && from.Fd >= 0)
      from.reset();
    const ssize_t n = ::recv(f.Caller.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n == 0)
      break;
    if (n > 0) {
      out.append(buf.data(), static_cast<std::size_t>(n));
      sincepause += static_cast<std::size_t>(n);
    }
    idle = n > 0 ? 0 : idle + 1;
    if (!end.empty() && out.ends_with(end))
      break;
    f.step();
    if (sincepause >= most) {
      sincepause = 0;
      f.wait(pause);
    }
  }
  return out;
}

/// The body of a chunked response; empty if it isn't complete.
std::string bodyOfChunked(std::string_view text) {
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Response, 4096, LargeBytes * 2);
  readMessage(p, text, body);
  return stateOf(p) == ParseState::Done ? body : std::string();
}

} // namespace

// Guards against a stream being cut when its back end has sent it all and
// closes the connection while the caller still reads.
TEST_CASE("a stream whose back end closes the connection reaches a slow caller "
          "whole",
          "[front][slow]") {
  const std::string events = largeEvents();
  TestedFrontLoop f(1);
  f.request("c-1");
  TestSocket conn = f.acceptAny().second;
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, std::string(Sealed) + "\r\n");
  const std::string_view rest =
      sendUntilPaused(f, conn, events, milliseconds(200));
  REQUIRE_FALSE(rest.empty());
  // The back end ends its answer after the event that it is sending.
  std::string_view last = rest.substr(0, rest.find("\n\n") + 2);
  const std::size_t total =
      static_cast<std::size_t>(last.data() - events.data()) + last.size();
  std::string got;
  std::array<char, 4096> buf{};
  while (!last.empty()) {
    const ssize_t n = ::recv(f.Caller.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    REQUIRE(n > 0);
    got.append(buf.data(), static_cast<std::size_t>(n));
    f.step();
    last = sendPart(conn, last);
  }
  conn.reset();
  f.wait(milliseconds(50));
  got += readSlowly(f, conn, {}, "\r\n0\r\n\r\n");
  CHECK((bodyOfChunked(got) == events.substr(0, total)));
}

// Guards against a back end being taken for silent while nothing is read from
// it, as its caller is slow.
TEST_CASE("a stream isn't tried elsewhere while its caller is slow",
          "[front][slow]") {
  const std::string events = largeEvents();
  TestedFrontLoop f(2);
  f.request("c-1");
  auto [at, conn] = f.acceptAny();
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, std::string(Sealed) + "\r\n");
  const std::string_view rest =
      sendUntilPaused(f, conn, events, MinGapTimeout * 2);
  REQUIRE_FALSE(rest.empty());
  CHECK(f.accept(1 - at).Fd < 0);
  const std::string got = readSlowly(f, conn, rest, "\r\n0\r\n\r\n");
  CHECK((bodyOfChunked(got) == events));
}

// Guards against the timeout of idle connections cutting a response that is
// being read.
TEST_CASE("a response that is read for longer than the idle timeout is whole",
          "[front][slow]") {
  const bool close = GENERATE(false, true);
  INFO("connection closes afterwards: " << close);
  TestedFrontLoop f(1);
  f.Rl->Limits.IdleTimeout = milliseconds(300);
  f.request("c-1", {}, "/safe/x");
  TestSocket conn = f.acceptAny().second;
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  const std::string body(LargeBytes, 'x');
  const std::string answer = std::string(Sealed) +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
  f.Board.Stopping = close;
  const std::string got = readSlowly(f, conn, answer, close ? "" : "x\r\n",
                                     LargeBytes / 8, milliseconds(150));
  CHECK(got.size() > body.size());
  CHECK((got.ends_with(body)));
}

// Guards against a caller that reads nothing holding its connection for ever.
TEST_CASE("a caller that reads nothing of its response is disconnected",
          "[front][slow]") {
  TestedFrontLoop f(1);
  f.Rl->Limits.IdleTimeout = milliseconds(100);
  f.request("c-1", {}, "/safe/x");
  TestSocket conn = f.acceptAny().second;
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  const std::string answer = std::string(Sealed) +
                             "Content-Length: " + std::to_string(LargeBytes) +
                             "\r\n\r\n" + std::string(LargeBytes, 'x');
  CHECK(sendUntilPaused(f, conn, answer, milliseconds(600)).empty());
  f.wait(milliseconds(300));
  CHECK(f.Rl->Callers.empty());
}
