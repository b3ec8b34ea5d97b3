// Implements the deployment of a front with the stand-in platform.
#include "support/front_deployment.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace zinniagauge::testing {

using nlohmann::json;

std::string rawCall(std::uint16_t port, const std::string &text) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(port);
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string out;
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0 &&
      ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size())) {
    std::array<char, 4096> buf{};
    for (ssize_t n = ::read(fd, buf.data(), buf.size()); n > 0;
         n = ::read(fd, buf.data(), buf.size())) {
      out.append(buf.data(), static_cast<std::size_t>(n));
      // A response with a Content-Length leaves the connection open.
      const std::size_t head = out.find("\r\n\r\n");
      const std::size_t len = out.find("Content-Length: ");
      if (head != std::string::npos && len < head &&
          out.size() >= head + 4 + std::stoul(out.substr(len + 16)))
        break;
      if (out.ends_with("0\r\n\r\n"))
        break;
    }
  }
  ::close(fd);
  return out;
}

bool hasStatus(const std::string &response, int status) {
  return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

FrontDeployment::FrontDeployment() {
  REQUIRE(Platform.waitForOutput("serves"));
  putRow("op", "config", configOf(7, {"k1"}));
  for (int n = 0; n < 2; ++n)
    putRow("servers", "i-" + std::to_string(n), engineEntryOf(n, "ready"));
  startFront();
}

void FrontDeployment::startFront(int out) {
  Front.emplace(std::vector<std::string>{ZINNIA_BINARY_DIR "/zinnia-front",
                                         Folder.write("settings.json",
                                                      settings().dump())},
                out);
  REQUIRE(waitForStatus("http://" + loopbackAddress(Ports[4]) + "/v1/readiness",
                        200));
}

json FrontDeployment::engineEntryOf(int n, const char *state) const {
  return engineEntry(Ports.at(1U + static_cast<std::size_t>(n)), state,
                     1000 + n);
}

json FrontDeployment::settings() const {
  return frontSettings(
      "front-1", {Ports[3], Ports[4], Ports[5], Ports[6], Ports[0], Ports[7]});
}

void FrontDeployment::control(const json &doc) const {
  REQUIRE(callHttp("POST", "http://" + loopbackAddress(Ports[0]) + "/stand-in",
                   doc.dump())
              .Status == 200);
}
void FrontDeployment::putRow(const char *table, const std::string &key,
                             const json &value) const {
  control({{"row", tableRow(table, key, value)}});
}

void FrontDeployment::setEngineModes(const char *first,
                                     const char *second) const {
  control({{"engine", 0}, {"mode", first}});
  control({{"engine", 1}, {"mode", second}});
}
int FrontDeployment::countCalls(const char *what) const {
  int sum = 0;
  const auto response =
      callHttp("GET", "http://" + loopbackAddress(Ports[0]) + "/stand-in");
  for (const json &e : json::parse(response.Body))
    sum += e.at(what).get<int>();
  return sum;
}
std::string FrontDeployment::call(const std::string &path,
                                  const std::string &key,
                                  const std::string &more, std::uint16_t port,
                                  const std::string &body) const {
  return rawCall(
      port == 0 ? Ports[3] : port,
      "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
          "Zinniagauge-Attempt-Id: call-" + std::to_string(++LastCall) +
          "\r\n" + "Zinniagauge-Deadline-Ms: 2500\r\n" +
          (key.empty() ? "" : "Zinniagauge-Credential: " + key + "\r\n") +
          more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
          body);
}

} // namespace zinniagauge::testing
