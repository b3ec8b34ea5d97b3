// Table rows and front settings for tests with the stand-in for the users'
// platform.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_ROWS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_ROWS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace zinniagauge::testing {

/// The loopback address "127.0.0.1:PORT".
[[nodiscard]] std::string loopbackAddress(std::uint16_t port);

/// A configuration of version \p version with one workspace, "team", that has
/// the API keys \p keys and a limit of \p rate requests per second; zero means
/// no limit.
[[nodiscard]] nlohmann::json configOf(int version, const nlohmann::json &keys,
                                      int rate = 0);

/// The same with \p count routes more that need no key: "/N/" at "h.example", N
/// from 0 on.
[[nodiscard]] nlohmann::json bigConfigOf(int version,
                                         const nlohmann::json &keys, int count);

/// The ports on which a front listens, and the port of its table service.
struct FrontPorts {
  std::uint16_t Callers = 0;
  std::uint16_t Status = 0;
  std::uint16_t Metrics = 0;
  std::uint16_t Peers = 0;
  std::uint16_t Table = 0;
  std::uint16_t Relay = 0; // Zero: the setting is left out.
};

/// The settings of the front \p node.
[[nodiscard]] nlohmann::json frontSettings(const std::string &node,
                                           const FrontPorts &ports);

/// The entry in the server list of an engine that listens at \p port. The
/// \p incarnation rises with each restart of the engine.
[[nodiscard]] nlohmann::json engineEntry(std::uint16_t port, const char *state,
                                         int incarnation);

/// A row in the store's format, with the bytes \p value in base64.
[[nodiscard]] nlohmann::json rawTableRow(const char *table,
                                         const std::string &key,
                                         const std::string &value);

/// A row in the store's format, with \p value as JSON in base64.
[[nodiscard]] nlohmann::json tableRow(const char *table, const std::string &key,
                                      const nlohmann::json &value);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_CONSORTIUM_ROWS_H
