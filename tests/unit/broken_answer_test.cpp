// Tests of back ends that stop in the midst of an answer: its caller never gets
// what looks like a whole one.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

std::string headOf(std::string_view id, std::string_view framing) {
  return "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + std::string(id) +
         "\r\nZinniagauge-Response-Seal: s\r\n" + std::string(framing) + "\r\n";
}

/// An answer, and how many of its bytes can't be a whole one.
struct Answer {
  std::string Text;
  std::size_t Incomplete = 0;
};

/// Whole answers to the call \p id. One without a length may end with its
/// connection after the head.
std::array<Answer, 3> answersTo(std::string_view id) {
  const std::string head = headOf(id, "");
  std::array<Answer, 3> out;
  out[0].Text = headOf(id, "Content-Length: 5\r\n") + "whole";
  out[1].Text = headOf(id, "Transfer-Encoding: chunked\r\n") +
                "000005\r\nwhole\r\n0\r\n\r\n";
  out[2].Text = head;
  for (Answer &a : out)
    a.Incomplete = a.Text.size();
  return out;
}

/// Sends a call and returns the connection on which a back end received it. On
/// a \p kept one, an earlier call was answered.
TestSocket startCall(TestedFrontLoop &f, std::string_view path, bool kept) {
  TestSocket conn;
  if (kept) {
    f.request("c-0", {}, path);
    conn = f.acceptAny().second;
    REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
    f.send(conn, headOf("c-0", "Content-Length: 5\r\n") + "first");
    REQUIRE(f.receive(f.Caller, "first").ends_with("first"));
  }
  f.request("c-1", {}, path);
  if (!kept)
    conn = f.acceptAny().second;
  REQUIRE(f.receive(conn, "\r\n\r\n").find("c-1") != std::string::npos);
  return conn;
}

/// Lets streams be resumed or not.
void setResumable(TestedFrontLoop &f, bool resumable) {
  TrafficPlan plan;
  {
    const ReadGuard guard;
    plan = f.Board.Plan.read(guard);
  }
  for (PlanRoute &route : plan.Routes)
    route.Resumable = resumable;
  f.Board.Plan.publish(std::move(plan));
}

/// Sends a request with a body of \p size bytes.
void upload(TestedFrontLoop &f, std::string_view path, std::size_t size,
            bool chunked) {
  f.Rl->Limits.MaxBodyBytes = std::uint64_t{1} << 24U;
  std::string text = "POST " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n";
  text += "Zinniagauge-Attempt-Id: c-1\r\n";
  if (chunked) {
    text += "Transfer-Encoding: chunked\r\n\r\n";
    writeChunk(text, std::string(size / 2, 'x'));
    writeChunk(text, std::string(size - size / 2, 'x'));
    text += LastChunk;
  } else {
    text += "Content-Length: " + std::to_string(size) + "\r\n\r\n";
    text += std::string(size, 'x');
  }
  std::string_view rest = text;
  for (int n = 0; n < 5000 && !rest.empty(); ++n) {
    const ssize_t sent = ::send(f.Caller.Fd, rest.data(), rest.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0)
      rest.remove_prefix(static_cast<std::size_t>(sent));
    f.step();
  }
  REQUIRE(rest.empty());
}

/// How a back end ends a connection on which a request is still being sent.
enum class Ending : std::uint8_t {
  Reset,          ///< It resets the connection.
  CloseUnread,    ///< It closes with unread bytes, which resets it as well.
  Shutdown,       ///< It ends its side, then closes.
  ShutdownUnread, ///< It ends its side and the front sees that first.
};

void end(TestedFrontLoop &f, TestSocket &conn, Ending how) {
  if (how == Ending::Shutdown || how == Ending::ShutdownUnread) {
    ::shutdown(conn.Fd, SHUT_WR);
    if (how == Ending::ShutdownUnread)
      f.wait(std::chrono::milliseconds(10));
  }
  conn.reset(how == Ending::Reset);
}

/// The part of an answer without a length to the call "c-1" that comes before
/// the back end ends the connection.
std::string partialAnswer() {
  return headOf("c-1", "") + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
}

/// Whether \p got looks like a whole answer with status 200.
bool looksWhole(std::string_view got) {
  return got.starts_with("HTTP/1.1 200") &&
         (got.find("Content-Length:") != std::string_view::npos ||
          got.ends_with(LastChunk));
}

} // namespace

TEST_CASE("an answer that stops in its head or before its end isn't passed on "
          "as whole",
          "[front][broken]") {
  const bool kept = GENERATE(false, true);
  const bool reset = GENERATE(false, true);
  for (const Answer &a : answersTo("c-1"))
    for (std::size_t n = 0; n < a.Incomplete;
         n += n + 9 < a.Incomplete ? 7 : 1) {
      INFO("kept " << kept << ", reset " << reset << ", " << n << " bytes of\n"
                   << a.Text);
      TestedFrontLoop f(1);
      TestSocket conn = startCall(f, "/unsafe/x", kept);
      if (n > 0)
        f.send(conn, std::string_view(a.Text).substr(0, n));
      conn.reset(reset);
      const std::string got = f.receive(f.Caller, "\r\n\r\n");
      CHECK(got.starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("a safe call whose answer stops in its head is tried elsewhere",
          "[front][broken]") {
  const bool reset = GENERATE(false, true);
  for (const std::size_t n : {8U, 17U, 30U, 60U, 80U, 100U}) {
    INFO("reset " << reset << ", " << n << " bytes");
    TestedFrontLoop f(2);
    TestSocket conn = startCall(f, "/safe/x", false);
    f.send(conn, std::string_view(answersTo("c-1")[0].Text).substr(0, n));
    conn.reset(reset);
    TestSocket second = f.acceptAny().second;
    REQUIRE_FALSE(f.receive(second, "\r\n\r\n").empty());
    f.send(second, answersTo("c-1")[0].Text);
    const std::string got = f.receive(f.Caller, "whole");
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(got.ends_with("\r\n\r\nwhole"));
    CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
  }
}

TEST_CASE("a stream whose head or chunk size stops short doesn't end as whole",
          "[front][broken]") {
  const bool reset = GENERATE(false, true);
  const std::string text = headOf("c-1", "Transfer-Encoding: chunked\r\n") +
                           "f\r\nid: 1\ndata: a\n\n\r\n1";
  for (const std::size_t n :
       {17UL, 40UL, text.size() - 24, text.size() - 1, text.size()}) {
    INFO("reset " << reset << ", " << n << " bytes");
    TestedFrontLoop f(1);
    TestSocket conn = startCall(f, "/stream/x", false);
    f.send(conn, std::string_view(text).substr(0, n));
    conn.reset(reset);
    f.Backends[0].Listener.reset();
    const std::string got = f.receive(f.Caller, "0\r\n\r\n");
    CHECK(got.find("\r\n0\r\n\r\n") == std::string::npos);
  }
}

// Guards against the part of an answer without a length that came before a
// reset being passed on as whole.
TEST_CASE("an answer without a length isn't whole if the connection ends while "
          "the request is being sent",
          "[front][broken]") {
  const auto *const path = GENERATE("/unsafe/x", "/safe/x", "/stream/x");
  const auto how = GENERATE(Ending::Reset, Ending::CloseUnread,
                            Ending::Shutdown, Ending::ShutdownUnread);
  const bool chunked = GENERATE(false, true);
  const bool resumable =
      path == std::string_view("/stream/x") ? GENERATE(false, true) : false;
  INFO(path << ", ending " << int(how) << ", chunked " << chunked
            << ", resumable " << resumable);
  TestedFrontLoop f(1);
  setResumable(f, resumable);
  // A part of the request stays with the front's system.
  const int few = 4096;
  ::setsockopt(f.Backends[0].Listener.Fd, SOL_SOCKET, SO_RCVBUF, &few,
               sizeof few);
  upload(f, path, std::size_t{1} << 20U, chunked);
  TestSocket conn = f.acceptAny().second;
  f.Backends[0].Listener.reset();
  f.wait(std::chrono::milliseconds(5));
  f.send(conn, partialAnswer());
  end(f, conn, how);
  const std::string got = f.receive(f.Caller, "\n0\r\n\r\n");
  INFO(got);
  CHECK_FALSE(looksWhole(got));
  if (path == std::string_view("/unsafe/x"))
    CHECK(got.starts_with("HTTP/1.1 502"));
}

TEST_CASE("an answer without a length is whole if the connection ends in order",
          "[front][broken]") {
  const auto *const path = GENERATE("/unsafe/x", "/safe/x", "/stream/x");
  const bool kept = GENERATE(false, true);
  INFO(path << ", kept " << kept);
  TestedFrontLoop f(1);
  TestSocket conn = startCall(f, path, kept && path[1] != 's');
  f.send(conn, partialAnswer());
  conn.reset();
  const std::string got = f.receive(f.Caller, "b\n\n");
  CHECK(got.starts_with("HTTP/1.1 200"));
  f.wait(std::chrono::milliseconds(10));
  CHECK(looksWhole(got + f.receive(f.Caller, LastChunk)));
}

// Guards against a reset that the front meets as it sends a request: the system
// reports it once only, and the end of the connection after it.
TEST_CASE("an answer without a length isn't whole if sending met the reset",
          "[front][broken]") {
  const auto *const path = GENERATE("/unsafe/x", "/safe/x", "/stream/x");
  INFO(path);
  TestedFrontLoop f(1);
  f.request("c-0", {}, "/safe/x");
  TestSocket conn = f.acceptAny().second;
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, headOf("c-0", "Content-Length: 5\r\n") + "first");
  REQUIRE(f.receive(f.Caller, "first").ends_with("first"));
  f.Backends[0].Listener.reset();
  // The request is the first that the loop sees.
  f.request("c-1", {}, path);
  // It fills the loop's buffer, so the loop reads on at once.
  std::string part = partialAnswer();
  part.append("id: 3\ndata: ");
  part.append(f.Rl->EventLoop.ReadBuffer.size() - part.size() - 2, 'x');
  part.append("\n\n");
  REQUIRE(::send(conn.Fd, part.data(), part.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(part.size()));
  conn.reset(true);
  const std::string got = f.receive(f.Caller, "\n0\r\n\r\n");
  INFO(got);
  CHECK_FALSE(looksWhole(got));
  CHECK_FALSE(got.empty());
}

// Guards against the same while nothing is read, as the caller is slow.
TEST_CASE("a stream without a length that is reset while its caller is slow "
          "doesn't end as whole",
          "[front][broken]") {
  const bool resumable = GENERATE(false, true);
  INFO("resumable " << resumable);
  TestedFrontLoop f(1);
  setResumable(f, resumable);
  TestSocket conn = startCall(f, "/stream/x", false);
  f.Backends[0].Listener.reset();
  f.send(conn, headOf("c-1", ""));
  std::string events;
  for (int n = 1; n <= 12000; ++n)
    events += "id: " + std::to_string(n) + "\ndata: " + std::string(1000, 'x') +
              "\n\n";
  std::string_view rest = events;
  for (int idle = 0; idle < 50 && !rest.empty();) {
    const ssize_t n =
        ::send(conn.Fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    idle = n > 0 ? 0 : idle + 1;
    rest.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
    f.step();
  }
  REQUIRE_FALSE(rest.empty());
  conn.reset(true);
  const std::string got = f.receive(f.Caller, "\n0\r\n\r\n");
  CHECK(got.starts_with("HTTP/1.1 200"));
  CHECK_FALSE(got.ends_with(LastChunk));
}

// Guards against statuses that HTTP doesn't have being passed on.
TEST_CASE("a response whose status isn't from 100 to 599 is no answer",
          "[front][broken]") {
  const auto *const path = GENERATE("/unsafe/x", "/safe/x", "/stream/x");
  const auto *const status =
      GENERATE("000", "099", "600", "999", "20", "2000", "-20", "2x0", "");
  INFO(path << ", status " << status);
  TestedFrontLoop f(1);
  TestSocket conn = startCall(f, path, false);
  f.Backends[0].Listener.reset();
  f.send(conn, "HTTP/1.1 " + std::string(status) +
                   " OK\r\nZinniagauge-Attempt-Id: c-1\r\n"
                   "Zinniagauge-Response-Seal: s\r\n"
                   "Content-Length: 4\r\n\r\nbody");
  const std::string got = f.receive(f.Caller, "}");
  INFO(got);
  CHECK(got.starts_with("HTTP/1.1 50"));
  CHECK(got.find("body") == std::string::npos);
}
