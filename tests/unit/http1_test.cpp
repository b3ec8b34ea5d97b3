// Tests of the HTTP/1.1 parser: message boundaries, limits and malformed
// lengths.
#include "zinniagauge/net/http1.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

/// Parses \p text with limits of 1024 header bytes and 64 body bytes.
ParseState parseMessage(MessageKind kind, std::string_view text,
                        std::string *body = nullptr) {
  MessageParser p;
  std::string parsed;
  beginMessage(p, kind, 1024, 64);
  readMessage(p, text, parsed);
  if (body)
    *body = parsed;
  return stateOf(p);
}

} // namespace

TEST_CASE("a request with Content-Length and chunked coding is malformed",
          "[http1]") {
  CHECK(parseMessage(MessageKind::Request,
                     "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        ParseState::Malformed);
  CHECK(parseMessage(MessageKind::Request,
                     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                     "Content-Length: 3\r\n\r\n0\r\n\r\n") ==
        ParseState::Malformed);
}

TEST_CASE("a transfer coding that leaves the body length unknown is malformed",
          "[http1]") {
  for (const char *coding : {"gzip", "chunked, gzip", "identity"})
    CHECK(parseMessage(MessageKind::Request,
                       std::string("POST / HTTP/1.1\r\nTransfer-Encoding: ") +
                           coding + "\r\n\r\n") == ParseState::Malformed);
}

TEST_CASE("two different Content-Length fields are malformed", "[http1]") {
  CHECK(parseMessage(MessageKind::Request,
                     "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                     "Content-Length: 4\r\n\r\nabcd") == ParseState::Malformed);
}

TEST_CASE("a parser consumes no byte after the end of its message", "[http1]") {
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Request, 1024, 64);
  const std::string_view first =
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
      "\r\n";
  const std::string text = std::string(first) + "GET /b HTTP/1.1\r\n\r\n";
  CHECK(readMessage(p, text, body) == first.size());
  CHECK(stateOf(p) == ParseState::Done);
  CHECK(body == "abc");
}

TEST_CASE("exceeding the header limit and the body limit are different errors",
          "[http1]") {
  CHECK(parseMessage(MessageKind::Request,
                     "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                         "\r\n\r\n") == ParseState::HeadTooLarge);
  CHECK(parseMessage(MessageKind::Request,
                     "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n") ==
        ParseState::BodyTooLarge);
}

TEST_CASE("a response can be parsed byte by byte", "[http1]") {
  const std::string_view text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  MessageParser p;
  beginMessage(p, MessageKind::Response, 1024, 64);
  std::string unread;
  std::string body;
  for (const char c : text) {
    unread.push_back(c);
    unread.erase(0, readMessage(p, unread, body));
  }
  CHECK(stateOf(p) == ParseState::Done);
  CHECK(body == "hello");
}

TEST_CASE("a response without a length is complete when its connection closes",
          "[http1]") {
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Response, 1024, 64);
  readMessage(p, "HTTP/1.1 200 OK\r\n\r\nab", body);
  CHECK(stateOf(p) == ParseState::InBody);
  CHECK(headOf(p).EndsAtClose);
  endOfInput(p);
  CHECK(stateOf(p) == ParseState::Done);
}

TEST_CASE("a response shorter than its Content-Length is malformed",
          "[http1]") {
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Response, 1024, 64);
  readMessage(p, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", body);
  endOfInput(p);
  CHECK(stateOf(p) == ParseState::Malformed);
}

TEST_CASE("hop-by-hop fields are recognized, also those named by Connection",
          "[http1]") {
  CHECK(isHopByHopField("transfer-encoding", ""));
  CHECK(isHopByHopField("X-Only-Here", "close, x-only-here"));
  CHECK_FALSE(isHopByHopField("X-Only-Here", "close"));
}
