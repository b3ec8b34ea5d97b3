// The HTTP server of a process's metrics (prometheus-cpp), probes and burn
// counts.
#ifndef ZINNIAGAUGE_ADAPT_METRICS_H
#define ZINNIAGAUGE_ADAPT_METRICS_H

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/board/board.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/time/timer_service.h"

#include <functional>
#include <memory>
#include <string>

namespace zinniagauge {

/// What to serve, and where. The objects that it points to must outlive the
/// server.
struct MetricsOptions {
  std::string Address; // "ip:port".
  std::string VmName;
  std::string ZoneName;
  std::string Program; // "entry" or "agent".
  Board *SharedBoard = nullptr;
  TimerService *Timers = nullptr;
  std::function<bool()> IsStopping; // Called by any thread. While it returns
                                    // true, /readyz reports not ready.
};

/// Serves /metrics, /burn, /livez, /startupz and /readyz until it is destroyed.
/// It is also the controller that updates its board's burn history. /readyz
/// succeeds if a bundle is active and the process isn't stopping; /livez
/// succeeds while the timer service still runs its tasks.
class MetricsServer {
public:
  struct State;

  explicit MetricsServer(std::unique_ptr<State> st) noexcept;
  MetricsServer(MetricsServer &&) noexcept;
  MetricsServer &operator=(MetricsServer &&) noexcept;
  ~MetricsServer();

  /// The TCP port that the server listens on.
  [[nodiscard]] std::uint16_t port() const noexcept;

private:
  std::unique_ptr<State> St;
};

/// Starts the server. Fails with Unavailable if the address is in use.
[[nodiscard]] Result<MetricsServer> serveMetrics(MetricsOptions opt);

/// The metrics of \p b in Prometheus's text format.
[[nodiscard]] std::string metricsText(const Board &b);

/// The JSON body of GET /burn: the node, the version of the active bundle, each
/// tier's objective and counts per window, and the version moves.
[[nodiscard]] std::string burnJson(const MetricsOptions &opt);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_METRICS_H
