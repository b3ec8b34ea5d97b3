// Counters, gauges and histograms of a front, kept by prometheus-cpp. Each
// metric has a fixed set of labels.
#ifndef ZINNIAGAUGE_OBSERVE_FRONT_METRICS_H
#define ZINNIAGAUGE_OBSERVE_FRONT_METRICS_H

#include "zinniagauge/board/traffic_plan.h"
#include "zinniagauge/time/clock.h"

#include <memory>
#include <string>
#include <string_view>

namespace zinniagauge {

namespace impl {
struct FrontMetricsState;
struct FrontMetricsDelete {
  void operator()(FrontMetricsState *st) const noexcept;
};
} // namespace impl

/// The metrics of one process. Any thread may update them.
struct FrontMetrics {
  FrontMetrics();
  std::unique_ptr<impl::FrontMetricsState, impl::FrontMetricsDelete> State;
};

/// Counts a call that has ended. \p outcome is the name of a CallEnd value, \p
/// status the HTTP status of the response.
void countCall(FrontMetrics &m, CallKind kind, std::string_view outcome,
               int status);

/// Counts a refused call. A \p reason that starts with a digit is a back end's
/// status and counts as "back end's status".
void countRefusal(FrontMetrics &m, std::string_view reason);

/// Records by how much the forecast of a call's start was off; negative: the
/// call started later.
void recordForecastError(FrontMetrics &m, Duration error);

/// Records the time until the first byte or event of a call's response.
void recordFirstByteTime(FrontMetrics &m, CallKind kind, Duration duration);

/// Records how long a call waited in the queue for a back end.
void recordQueueTime(FrontMetrics &m, CallKind kind, Duration duration);

/// Records the longest interval between two events of a stream.
void recordLongestGap(FrontMetrics &m, Duration longest);

/// Counts an attempt to run a call on a back end. \p result says how it ended.
void countAttempt(FrontMetrics &m, std::string_view result);

/// Counts a connection opened to a back end.
void countConnection(FrontMetrics &m);

/// Counts a request to the table service, or a row or gossip report that was
/// read. \p result is "ok" or the kind of failure.
void countTableCall(FrontMetrics &m, std::string_view call,
                    std::string_view result);

/// Sets the gauge called \p name, a value that may also decrease.
void setGauge(FrontMetrics &m, std::string_view name, double val);

/// All metrics in the Prometheus text format.
[[nodiscard]] std::string metricsText(const FrontMetrics &m);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_OBSERVE_FRONT_METRICS_H
