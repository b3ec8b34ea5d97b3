// A front with a stand-in for the users' platform, for process tests.
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

/// Sends \p text to \p port on loopback. Returns one response, or what was read
/// before the connection was closed; empty if the connection failed.
[[nodiscard]] std::string rawCall(std::uint16_t port, const std::string &text);

/// Whether \p response is an HTTP response with \p status.
[[nodiscard]] bool hasStatus(const std::string &response, int status);

/// A front, the store and two engines on loopback. The constructor waits until
/// the front is ready.
struct FrontDeployment {
  FrontDeployment();

  /// Starts the front and waits until it is ready. Its output goes to the
  /// descriptor \p out if that isn't -1.
  void startFront(int out = -1);

  [[nodiscard]] nlohmann::json engineEntryOf(int n, const char *state) const;
  [[nodiscard]] nlohmann::json settings() const;
  /// Sends \p doc to the control endpoint of the stand-in.
  void control(const nlohmann::json &doc) const;
  void putRow(const char *table, const std::string &key,
              const nlohmann::json &value) const;
  /// Sets the modes of the two engines.
  void setEngineModes(const char *first, const char *second) const;
  /// The sum of \p what, "runs", "arrivals" or "crashes", over all engines.
  [[nodiscard]] int countCalls(const char *what) const;
  /// Sends a request for \p path with the unique id "call-N", where N is
  /// LastCall, to \p port, or to the front if \p port is zero. \p more holds
  /// further header lines.
  [[nodiscard]] std::string call(const std::string &path,
                                 const std::string &key = "k1",
                                 const std::string &more = {},
                                 std::uint16_t port = 0,
                                 const std::string &body = "hi") const;

  std::vector<std::uint16_t> Ports = freePorts(9);
  ScratchFolder Folder;
  Process Platform{{std::string(ZINNIA_BINARY_DIR) + "/standin-consortium",
                    "--store", loopbackAddress(Ports[0]), "--engine",
                    loopbackAddress(Ports[1]), "--engine",
                    loopbackAddress(Ports[2]), "--narrow-store",
                    loopbackAddress(Ports[8])}};
  std::optional<Process> Front;
  mutable int LastCall = 0;
};

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_FRONT_DEPLOYMENT_H
