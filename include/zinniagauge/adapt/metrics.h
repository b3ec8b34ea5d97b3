// Metrics by prometheus-cpp, the probes and the burn counts, all on one
// address.
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

/// What to serve, and where. All that is pointed to outlives the server.
struct MetricsOptions {
  std::string Address; // "ip:port".
  std::string VmName;
  std::string ZoneName;
  std::string Program; // "entry" or "agent".
  Board *SharedBoard = nullptr;
  TimerService *Timers = nullptr;
  std::function<bool()> IsStopping; // Called by any thread; true: not ready.
};

/// Serves /metrics, /burn, /livez, /startupz and /readyz until it is destroyed,
/// and is the burn controller of its board. Ready means that a bundle is in
/// force and the process isn't stopping; live, that the timer service calls.
class MetricsServer {
public:
  struct State;

  explicit MetricsServer(std::unique_ptr<State> st) noexcept;
  MetricsServer(MetricsServer &&) noexcept;
  MetricsServer &operator=(MetricsServer &&) noexcept;
  ~MetricsServer();

  /// The port that is served.
  [[nodiscard]] std::uint16_t port() const noexcept;

private:
  std::unique_ptr<State> St;
};

/// Starts to serve. Fails with Unavailable if the address is in use.
[[nodiscard]] Result<MetricsServer> serveMetrics(MetricsOptions opt);

/// The metrics of \p b in Prometheus's text form.
[[nodiscard]] std::string metricsText(const Board &b);

/// What GET /burn answers: the node, the bundle in force, and for each tier its
/// objective and its counts over each window; and the version moves.
[[nodiscard]] std::string burnJson(const MetricsOptions &opt);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_METRICS_H
