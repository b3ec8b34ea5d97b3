#include "zinniagauge/net/http1.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

ParseState readAll(MessageKind kind, std::string_view text,
                   std::string *body = nullptr) {
  MessageParser p;
  std::string got;
  beginMessage(p, kind, 1024, 64);
  readMessage(p, text, got);
  if (body)
    *body = got;
  return stateOf(p);
}

} // namespace

TEST_CASE("a request with both lengths is refused", "[http1]") {
  CHECK(readAll(MessageKind::Request,
                "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        ParseState::Malformed);
  CHECK(readAll(MessageKind::Request,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                "Content-Length: 3\r\n\r\n0\r\n\r\n") == ParseState::Malformed);
}

TEST_CASE("a coding that hides where a message ends is refused", "[http1]") {
  for (const char *coding : {"gzip", "chunked, gzip", "identity"})
    CHECK(readAll(MessageKind::Request,
                  std::string("POST / HTTP/1.1\r\nTransfer-Encoding: ") +
                      coding + "\r\n\r\n") == ParseState::Malformed);
}

TEST_CASE("two different lengths are refused", "[http1]") {
  CHECK(readAll(MessageKind::Request,
                "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                "Content-Length: 4\r\n\r\nabcd") == ParseState::Malformed);
}

TEST_CASE("a message takes no byte of what follows it", "[http1]") {
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

TEST_CASE("limits of header and body are told apart", "[http1]") {
  CHECK(readAll(MessageKind::Request,
                "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                    "\r\n\r\n") == ParseState::HeadTooLarge);
  CHECK(readAll(MessageKind::Request,
                "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n") ==
        ParseState::BodyTooLarge);
}

TEST_CASE("an answer that arrives byte by byte is read alike", "[http1]") {
  const std::string_view text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  MessageParser p;
  beginMessage(p, MessageKind::Response, 1024, 64);
  std::string held;
  std::string body;
  for (const char c : text) {
    held.push_back(c);
    held.erase(0, readMessage(p, held, body));
  }
  CHECK(stateOf(p) == ParseState::Done);
  CHECK(body == "hello");
}

TEST_CASE("an answer without a length is whole only if its connection ends",
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

TEST_CASE("an answer that is shorter than stated isn't whole", "[http1]") {
  MessageParser p;
  std::string body;
  beginMessage(p, MessageKind::Response, 1024, 64);
  readMessage(p, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", body);
  endOfInput(p);
  CHECK(stateOf(p) == ParseState::Malformed);
}

TEST_CASE("fields of one connection aren't part of the message", "[http1]") {
  CHECK(isHopByHopField("transfer-encoding", ""));
  CHECK(isHopByHopField("X-Only-Here", "close, x-only-here"));
  CHECK_FALSE(isHopByHopField("X-Only-Here", "close"));
}
