// Tests of answers that end with their header: those to HEAD requests and those
// with status 204 or 304. A byte after one of them would come first where the
// caller reads the answer to its next request.
#include "support/tested_front_loop.h"
#include "zinniagauge/front/status_server.h"
#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

std::string requestText(std::string_view method, std::string_view path,
                        std::string_view id, std::string_view more = {}) {
  std::string out(method);
  out.append(" ").append(path).append(" HTTP/1.1\r\nHost: h\r\n");
  out.append("Zinniagauge-Attempt-Id: ").append(id).append("\r\n");
  return out.append(more).append("\r\n");
}

std::string answerText(std::string_view status, std::string_view id,
                       std::string_view more) {
  std::string out = "HTTP/1.1 ";
  out.append(status).append("\r\nZinniagauge-Attempt-Id: ").append(id);
  out.append("\r\nZinniagauge-Response-Seal: s\r\n").append(more);
  return out.append("\r\n");
}

/// What follows the header of the first answer in \p text.
std::string_view afterHead(std::string_view text) {
  const std::size_t end = text.find("\r\n\r\n");
  return end == std::string_view::npos ? text : text.substr(end + 4);
}

/// Checks that the caller's next request is answered right after the header
/// that it gets first, and returns that header.
std::string checkNextAnswer(TestedFrontLoop &f) {
  f.send(f.Caller, requestText("GET", "/none/next", "c-next"));
  const std::string got = f.receive(f.Caller, "no such route\"}");
  INFO(got);
  CHECK(afterHead(got).starts_with("HTTP/1.1 404"));
  return got.substr(0, got.find("\r\n\r\n") + 2);
}

/// Passes \p answer on as the answer to a request.
void serve(TestedFrontLoop &f, std::string_view method, std::string_view path,
           std::string_view answer) {
  f.send(f.Caller, requestText(method, path, "c-1"));
  const TestSocket conn = f.acceptAny().second;
  REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
  f.send(conn, answer);
}

} // namespace

// Guards against a body in the front's own answer to HEAD, which the caller
// read in front of the answer to its next request.
TEST_CASE("the front's own answer to HEAD has no body", "[front][bodyless]") {
  const auto *const path = GENERATE("/none/x", "/unsafe/x", "/stream/x");
  constexpr std::string_view Limit = "Zinniagauge-Deadline-Ms: 20\r\n";
  TestedFrontLoop f(0);
  f.send(f.Caller, requestText("HEAD", path, "c-1", Limit) +
                       requestText("HEAD", path, "c-2", Limit));
  const std::string got = f.receive(f.Caller, "\r\n\r\nHTTP/1.1 ");
  INFO(path << "\n" << got);
  CHECK(got.find("Content-Length: ") != std::string::npos);
  CHECK(got.find('{') == std::string::npos);
  CHECK(afterHead(got).starts_with("HTTP/1.1 "));
}

TEST_CASE("a request after HEAD gets the body of its own answer",
          "[front][bodyless]") {
  TestedFrontLoop f(1);
  f.send(f.Caller, requestText("HEAD", "/none/x", "c-1") +
                       requestText("GET", "/none/x", "c-2"));
  const std::string got = f.receive(f.Caller, "no such route\"}");
  INFO(got);
  CHECK(afterHead(got).starts_with("HTTP/1.1 404"));
  CHECK(got.ends_with("no such route\"}"));
}

TEST_CASE("the answer to a HEAD request that can't be read has no body",
          "[front][bodyless]") {
  TestedFrontLoop f(1);
  f.Rl->Limits.MaxBodyBytes = 64;
  f.Rl->Limits.MaxHeadBytes = 512;
  f.Rl->Limits.HeadTimeout = std::chrono::milliseconds(30);
  const std::array<std::string, 4> requests = {
      requestText("HEAD", "/safe/x", "c-1", "Bad Field: 1\r\n"),
      requestText("HEAD", "/safe/x", "c-1", "Content-Length: 65\r\n"),
      requestText("HEAD", "/safe/x", "c-1",
                  "X: " + std::string(600, 'x') + "\r\n"),
      "HEAD /safe/x HTTP/1.1\r\nHost: h\r\n"};
  for (const std::string &text : requests) {
    INFO(text);
    f.useNewCaller();
    f.send(f.Caller, text);
    const std::string got = f.receive(f.Caller, "}");
    INFO(got);
    CHECK(got.starts_with("HTTP/1.1 4"));
    CHECK(got.ends_with("\r\n\r\n"));
  }
}

// Guards against the last chunk of a stream in the answer to HEAD.
TEST_CASE("a back end's answer to HEAD is passed on without a body",
          "[front][bodyless]") {
  const auto *const path = GENERATE("/stream/x", "/safe/x", "/unsafe/x");
  const auto *const framing =
      GENERATE("Transfer-Encoding: chunked\r\n", "Content-Length: 7\r\n", "");
  INFO(path << ", " << framing);
  TestedFrontLoop f(1);
  serve(f, "HEAD", path, answerText("200 OK", "c-1", framing));
  const std::string head = checkNextAnswer(f);
  CHECK(head.starts_with("HTTP/1.1 200"));
  // The length is that of the answer to GET, which only the back end knows.
  const bool states = std::string_view(framing).starts_with("Content-Length");
  CHECK((head.find("Content-Length: 7\r\n") != std::string::npos) == states);
  CHECK((head.find("Content-Length") != std::string::npos) == states);
}

TEST_CASE("an answer with status 204 or 304 is passed on without a body",
          "[front][bodyless]") {
  const auto *const path = GENERATE("/stream/x", "/safe/x", "/unsafe/x");
  const auto *const method = GENERATE("GET", "HEAD");
  const auto *const status = GENERATE("204 No Content", "304 Not Modified");
  INFO(method << " " << path << ", " << status);
  TestedFrontLoop f(1);
  serve(f, method, path, answerText(status, "c-1", ""));
  const std::string head = checkNextAnswer(f);
  CHECK(head.starts_with("HTTP/1.1 " + std::string(status)));
  CHECK(head.find("Transfer-Encoding") == std::string::npos);
}

TEST_CASE("bytes after an answer without a body go to no caller",
          "[front][bodyless]") {
  const auto *const path = GENERATE("/stream/x", "/safe/x");
  TestedFrontLoop f(1);
  serve(f, "HEAD", path,
        answerText("200 OK", "c-1", "Content-Length: 4\r\n") + "body");
  CHECK(checkNextAnswer(f).find("body") == std::string::npos);
}

TEST_CASE("the readiness check's answer to HEAD has no body",
          "[front][bodyless]") {
  Loop lp;
  REQUIRE(openLoop(lp));
  StatusServer server;
  REQUIRE(
      startStatusServer(server, lp, {INADDR_LOOPBACK, 0}, [](std::string_view) {
        return StatusResponse{200, "ready"};
      }));
  const TestSocket conn(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in sa = socketAddress(addressOf(server.Listening.Socket.Fd));
  REQUIRE(::connect(conn.Fd, reinterpret_cast<const sockaddr *>(&sa),
                    sizeof sa) == 0);
  const std::string text =
      requestText("HEAD", "/", "c-1") + requestText("GET", "/", "c-2");
  REQUIRE(::send(conn.Fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
  std::string got;
  std::array<char, 1024> buf{};
  for (int n = 0; n < 100 && !got.ends_with("ready"); ++n) {
    runOnce(lp);
    const ssize_t size = ::recv(conn.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (size > 0)
      got.append(buf.data(), static_cast<std::size_t>(size));
  }
  INFO(got);
  CHECK(afterHead(got).starts_with("HTTP/1.1 200"));
  CHECK(got.ends_with("ready"));
}
