// Rows and settings for tests with a stand-in of the users' platform.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_ROWS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_ROWS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace zinniagauge::testing {

/// "127.0.0.1:PORT".
[[nodiscard]] std::string at(std::uint16_t port);

/// A configuration of version \p version with one workspace, "team", that has
/// \p keys and may spend \p rate requests a second; zero: any number.
[[nodiscard]] nlohmann::json configOf(int version, const nlohmann::json &keys,
                                      int rate = 0);

/// Where one front listens, and its table service.
struct FrontPorts {
  std::uint16_t Callers = 0;
  std::uint16_t Status = 0;
  std::uint16_t Metrics = 0;
  std::uint16_t Peers = 0;
  std::uint16_t Table = 0;
};

/// The settings of the front \p node.
[[nodiscard]] nlohmann::json frontSettings(const std::string &node,
                                           const FrontPorts &ports);

/// The list entry of an engine that listens at \p port.
[[nodiscard]] nlohmann::json engineEntry(std::uint16_t port, const char *state,
                                         int born);

/// A row as the store has it.
[[nodiscard]] nlohmann::json tableRow(const char *table, const std::string &key,
                                      const nlohmann::json &value);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_ROWS_H
