// A front with a stand-in of the users' platform, for process tests.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_FRONT_DEPLOYMENT_H
#define ZINNIAGAUGE_TESTS_SUPPORT_FRONT_DEPLOYMENT_H

#include "support/consortium_rows.h"
#include "support/processes.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniagauge::testing {

/// Sends \p text to \p port and reads one answer, or until the connection ends.
[[nodiscard]] std::string rawCall(std::uint16_t port, const std::string &text);

/// Whether \p answer is an HTTP answer with \p status.
[[nodiscard]] bool isStatus(const std::string &answer, int status);

/// A front, the store and two engines on loopback.
struct FrontDeployment {
  FrontDeployment();

  [[nodiscard]] nlohmann::json entry(int n, const char *state) const;
  [[nodiscard]] nlohmann::json settings() const;
  void control(const nlohmann::json &doc) const;
  void putRow(const char *table, const std::string &key,
              const nlohmann::json &value) const;
  void engines(const char *first, const char *second) const;
  /// Calls of all engines, "runs" or "arrivals".
  [[nodiscard]] int count(const char *what) const;
  /// Calls \p path with an id of its own, "call-N"; LastCall holds the N. At
  /// \p port if that isn't zero.
  [[nodiscard]] std::string call(const std::string &path,
                                 const std::string &key = "k1",
                                 const std::string &more = {},
                                 std::uint16_t port = 0) const;

  std::vector<std::uint16_t> Ports = freePorts(7);
  ScratchFolder Folder;
  Process Platform{{std::string(ZINNIA_BINARY_DIR) + "/standin-consortium",
                    "--store", at(Ports[0]), "--engine", at(Ports[1]),
                    "--engine", at(Ports[2])}};
  std::optional<Process> Front;
  mutable int LastCall = 0;
};

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_FRONT_DEPLOYMENT_H
