// Tests of peers that send bytes without end in some part of a message: what is
// kept of them has a limit.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>

using namespace zinniagauge;
using namespace zinniagauge::testing;

namespace {

/// The start of a message and what a peer then repeats without end.
struct EndlessMessage {
  std::string_view Place;
  std::string Start;
  std::string Repeated;
};

std::vector<EndlessMessage> endlessParts(const std::string &head) {
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  // The parser consumes each whole field, so a head may also grow by fields
  // that each arrive as a whole.
  return {
      {"name of a field", head, "x"},
      {"value of a field", head + "X: ", "x"},
      {"fields", head, "Field: valu\r\n"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "5;x=", "x"},
      {"chunk extensions", chunked + "5", ";x=y"},
      {"extension of the last chunk", chunked + "0;x=", "x"},
      {"extensions of many chunks", chunked,
       "1;extension=" + std::string(200, 'x') + "\r\nx\r\n"},
      {"sizes of many chunks", chunked, std::string(200, '0') + "1\r\nx\r\n"},
      {"name of a trailer field", chunked + "0\r\n", "x"},
      {"value of a trailer field", chunked + "0\r\nX: ", "x"},
      {"trailer fields", chunked + "0\r\n", "Field: valu\r\n"}};
}

constexpr std::size_t MaxHead = 4096;

/// Sends \p msg in parts of \p size repetitions until the parser gives up.
/// Returns the most bytes that were kept unread, or nothing if it reads on.
std::optional<std::size_t> mostKept(MessageKind kind, const EndlessMessage &msg,
                                    std::size_t size) {
  MessageParser p;
  std::string body;
  std::string unread = msg.Start;
  std::string part;
  for (std::size_t n = 0; n < size; ++n)
    part += msg.Repeated;
  beginMessage(p, kind, MaxHead, 1U << 20U);
  std::size_t most = 0;
  for (std::size_t sent = 0; sent < (1U << 20U); sent += part.size()) {
    unread += part;
    unread.erase(0, readMessage(p, unread, body));
    most = std::max(most, unread.size());
    if (hasFailed(p))
      return most;
  }
  return std::nullopt;
}

} // namespace

// Guards against bytes without end in a part of a message that isn't the body
// filling the memory of whoever receives them.
TEST_CASE("each part of a message has a limit, however its bytes arrive",
          "[http1][endless]") {
  for (const auto &[kind, line] :
       {std::pair(MessageKind::Request, "POST / HTTP/1.1\r\n"),
        std::pair(MessageKind::Response, "HTTP/1.1 200 OK\r\n")})
    for (const EndlessMessage &msg : endlessParts(line))
      for (const std::size_t size : {1U, 7U, 100U}) {
        INFO(line << msg.Place << ", parts of " << size);
        const auto kept = mostKept(kind, msg, size);
        REQUIRE(kept);
        CHECK(*kept <= MaxHead + size * msg.Repeated.size());
      }
}

TEST_CASE("a start line has a limit", "[http1][endless]") {
  for (const auto &[kind, start] :
       {std::pair(MessageKind::Request, "POST /"),
        std::pair(MessageKind::Response, "HTTP/1.1 200 ")}) {
    const auto kept = mostKept(kind, {"start line", start, "x"}, 7);
    REQUIRE(kept);
    CHECK(*kept <= MaxHead + 7);
  }
}

TEST_CASE("small chunks, and a trailer within the limit, are read",
          "[http1][endless]") {
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Response, MaxHead, 1U << 20U);
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int n = 0; n < 20000; ++n)
    text += "1;n=v\r\nx\r\n";
  text += "0\r\nTrailer: " + std::string(MaxHead / 2, 'x') + "\r\n\r\n";
  CHECK(readMessage(p, text, body) == text.size());
  CHECK(stateOf(p) == ParseState::Done);
  CHECK(body.size() == 20000);
}

namespace {

constexpr std::string_view Sealed = "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id:"
                                    " c-1\r\nZinniagauge-Response-Seal: s\r\n";

/// Answers to the stream c-1 that never end, by the part of the message.
std::vector<EndlessMessage> endlessAnswers() {
  std::vector<EndlessMessage> out = endlessParts(std::string(Sealed));
  const std::string head(Sealed);
  const std::string bare = "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: c-1\r\n";
  const std::string other =
      "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: c-0\r\n";
  const std::string failed =
      "HTTP/1.1 500 Error\r\nZinniagauge-Attempt-Id: c-1\r\n";
  const std::string length = "Content-Length: 100000000000\r\n\r\n";
  out.push_back({"event, to the end", head + "\r\nid: 1\ndata: ", "x"});
  out.push_back({"event, by length", head + length, "x"});
  out.push_back({"event, in chunks",
                 head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"});
  out.push_back({"event of many lines", head + "\r\n", "data: x\n"});
  out.push_back({"body without a seal", bare + "\r\n", "x"});
  out.push_back({"body without a seal, by length", bare + length, "x"});
  out.push_back({"body of a failure", failed + length, "x"});
  out.push_back({"body of another call's answer", other + length, "x"});
  out.push_back({"answers to another call", other + "Content-Length: 0\r\n\r\n",
                 other + "Content-Length: 0\r\n\r\n"});
  out.push_back({"interim answers", "HTTP/1.1 100 Continue\r\n\r\n",
                 "HTTP/1.1 100 Continue\r\n\r\n"});
  return out;
}

/// What is allowed to be sent before the connection is closed: the largest
/// response, and what the sockets hold.
constexpr std::size_t MaxSent = std::size_t{24} << 20U;

/// The most that a connection keeps of a message that isn't a response's body.
constexpr std::size_t MaxKept = std::size_t{160} << 10U;

/// Sends \p msg until the front closes the connection. Returns whether it did.
bool sendEndless(TestedFrontLoop &f, const TestSocket &to,
                 const EndlessMessage &msg) {
  std::string part;
  while (part.size() < 64000)
    part += msg.Repeated;
  f.send(to, msg.Start);
  std::size_t sent = 0;
  std::size_t at = 0;
  while (sent < MaxSent) {
    const ssize_t n = ::send(to.Fd, part.data() + at, part.size() - at,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
      return true;
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      at = (at + static_cast<std::size_t>(n)) % part.size();
    }
    f.step();
    for (const auto &[key, conn] : f.Rl->BackendConnections) {
      CHECK(conn->Tcp.ReceiveBuffer.size() <= MaxKept);
      if (conn->ActiveCall)
        CHECK(conn->ActiveCall->Stream.PartialEvent.size() <= MaxKept);
    }
  }
  return false;
}

} // namespace

// Guards against a back end in trouble filling the front's memory, and against
// what it broke being shown as complete.
TEST_CASE("an answer that never ends is given up, and its call sent elsewhere",
          "[front][endless]") {
  for (const EndlessMessage &msg : endlessAnswers()) {
    INFO(msg.Place);
    TestedFrontLoop f(2);
    f.request("c-1");
    auto [at, conn] = f.acceptAny();
    REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
    REQUIRE(sendEndless(f, conn, msg));
    if (msg.Place == "body of a failure") // Failures are passed on.
      continue;
    const BackendState &to =
        *f.Rl->Backends.at(EndpointId::of(f.Backends.at(at).Info.Name));
    CHECK(to.Results.Results == 1);
    CHECK(to.Results.FailureRate > 0);
    const TestSocket other = f.accept(1 - at);
    REQUIRE_FALSE(f.receive(other, "\r\n\r\n").empty());
    f.send(other, std::string(Sealed) +
                      "Content-Length: 15\r\n\r\nid: 9\ndata: b\n\n");
    const std::string got = f.receive(f.Caller, "\r\n0\r\n\r\n");
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(got.ends_with("id: 9\ndata: b\n\n\r\n0\r\n\r\n"));
  }
}

// Guards against a plain call's answer that never ends.
TEST_CASE("an answer to an unsafe call that never ends is reported as unknown",
          "[front][endless]") {
  for (const EndlessMessage &msg : endlessParts(std::string(Sealed))) {
    INFO(msg.Place);
    TestedFrontLoop f(1);
    f.request("c-1", {}, "/unsafe/x");
    const TestSocket conn = f.acceptAny().second;
    REQUIRE_FALSE(f.receive(conn, "\r\n\r\n").empty());
    REQUIRE(sendEndless(f, conn, msg));
    CHECK(f.receive(f.Caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
  }
}

// Guards against callers filling the front's memory by a chunk extension or a
// trailer.
TEST_CASE("a request that never ends is refused", "[front][endless]") {
  for (const EndlessMessage &msg :
       endlessParts("POST /safe/x HTTP/1.1\r\nHost: h\r\n")) {
    INFO(msg.Place);
    TestedFrontLoop f(1);
    const std::string refused = [&] {
      std::string part;
      while (part.size() < 64000)
        part += msg.Repeated;
      f.send(f.Caller, msg.Start + part);
      return f.receive(f.Caller, "\r\n\r\n");
    }();
    CHECK((refused.starts_with("HTTP/1.1 400") ||
           refused.starts_with("HTTP/1.1 431")));
    CHECK(f.Rl->Callers.empty());
  }
}

// Guards against the bodies of many connections using all memory, though each
// is within its limit.
TEST_CASE("bodies of all connections together have a limit",
          "[front][endless]") {
  TestedFrontLoop f(1);
  f.Rl->Settings.MemoryMb = 16;
  const std::string body(3U << 20U, 'x');
  const std::string head =
      "POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(body.size() + 1) + "\r\n\r\n";
  const auto sendbody = [&] {
    f.send(f.Caller, head);
    for (std::size_t at = 0; at < body.size();) {
      const ssize_t n = ::send(f.Caller.Fd, body.data() + at, body.size() - at,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        return;
      at += n > 0 ? static_cast<std::size_t>(n) : 0;
      f.step();
    }
  };
  sendbody();
  f.wait(std::chrono::milliseconds(20));
  CHECK(f.Rl->Callers.size() == 1);
  f.useNewCaller();
  sendbody();
  const std::string got = f.receive(f.Caller, "\r\n\r\n");
  CHECK((got.empty() || got.starts_with("HTTP/1.1 503")));
  CHECK(f.Rl->Callers.size() == 1);
}

// Guards against a caller that sends requests and reads no answer: answers were
// buffered without a limit.
TEST_CASE("a caller that doesn't read its answers isn't sent further ones",
          "[front][endless]") {
  TestedFrontLoop f(1);
  std::string requests;
  for (int n = 0; n < 4000; ++n)
    requests +=
        "GET /none/" + std::to_string(n) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  // More answers than the sockets hold.
  constexpr std::size_t MaxRequestBytes = std::size_t{10} << 20U;
  std::size_t sent = 0;
  std::size_t most = 0;
  for (int blocked = 0; blocked < 50 && sent < MaxRequestBytes;) {
    const std::size_t at = sent % requests.size();
    const ssize_t n = ::send(f.Caller.Fd, requests.data() + at,
                             requests.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    blocked = n > 0 ? 0 : blocked + 1;
    sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    f.step();
    for (const auto &[key, c] : f.Rl->Callers)
      most = std::max(most, pendingBytes(c->Tcp) + c->Tcp.ReceiveBuffer.size());
  }
  CHECK(most <= std::size_t{320} << 10U);
  // Once it reads, all that it has sent is answered.
  std::array<char, 65536> buf{};
  std::size_t idle = 0;
  std::size_t got = 0;
  while (idle < 50) {
    const ssize_t n = ::recv(f.Caller.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
      got += static_cast<std::size_t>(
          std::count(buf.begin(), buf.begin() + n, '{'));
      idle = 0;
    } else {
      f.step();
      ++idle;
    }
  }
  CHECK(got > 1000);
  for (const auto &[key, c] : f.Rl->Callers)
    CHECK(pendingBytes(c->Tcp) == 0);
}
