// Tests of uploads to back ends that read nothing for a moment and go on.
#include "support/tested_front_loop.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <array>
#include <string>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

/// More than the receive buffer of a socket holds.
constexpr std::size_t UploadBytes = std::size_t{1} << 20U;

/// Sends an upload of UploadBytes from the caller.
void upload(TestedFrontLoop &f, std::string_view id) {
  std::string text = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n";
  text.append("Zinniagauge-Attempt-Id: ").append(id);
  text.append("\r\nContent-Length: ").append(std::to_string(UploadBytes));
  text.append("\r\n\r\n").append(UploadBytes, 'x');
  std::string_view rest = text;
  while (!rest.empty()) {
    const ssize_t n = ::send(f.Caller.Fd, rest.data(), rest.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0)
      rest.remove_prefix(static_cast<std::size_t>(n));
    f.step();
  }
}

/// Reads UploadBytes or until the connection ends; returns their number.
std::size_t readUpload(TestedFrontLoop &f, const TestSocket &from) {
  std::size_t out = 0;
  std::array<char, 65536> buf{};
  for (int idle = 0; idle < 300 && out < UploadBytes;) {
    const ssize_t n = ::recv(from.Fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n == 0)
      break;
    out += n > 0 ? static_cast<std::size_t>(n) : 0;
    idle = n > 0 ? 0 : idle + 1;
    f.step();
  }
  return out;
}

/// Checks that an upload is answered whose receiver reads nothing for \p pause.
void checkUpload(Duration pause) {
  TestedFrontLoop f(1);
  upload(f, "u-1");
  const TestSocket conn = f.accept(0);
  REQUIRE(conn.Fd >= 0);
  f.wait(pause);
  CHECK(readUpload(f, conn) >= UploadBytes);
  const std::string text =
      "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: u-1\r\n"
      "Zinniagauge-Response-Seal: s\r\nContent-Length: 0\r\n\r\n";
  static_cast<void>(::send(conn.Fd, text.data(), text.size(), MSG_NOSIGNAL));
  const std::string answer = f.receive(f.Caller, "\r\n\r\n");
  CHECK(answer.find(" 200 ") != std::string::npos);
}

} // namespace

// Guard against an upload being broken off as its receiver, which acknowledges
// all probes, has no room for more bytes.
TEST_CASE("an upload waits for a back end that reads nothing for a second",
          "[front]") {
  checkUpload(milliseconds(1000));
}

TEST_CASE("an upload waits for a back end that reads nothing for longer than "
          "the acknowledgement timeout",
          "[front]") {
  checkUpload(milliseconds(2500));
}
