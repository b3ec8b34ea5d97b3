// Tests of back ends that stop in the midst of an answer: its caller never gets
// what looks like a whole one.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

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
