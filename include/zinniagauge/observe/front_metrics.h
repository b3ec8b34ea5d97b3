// Counters and histograms of a front, by prometheus-cpp. Label sets are fixed.
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

/// The metrics of one process. Any thread may add to them.
struct FrontMetrics {
  FrontMetrics();
  std::unique_ptr<impl::FrontMetricsState, impl::FrontMetricsDelete> St;
};

/// A call is over; \p end is one of CallEnd's names.
void countCall(FrontMetrics &m, CallKind kind, std::string_view end,
               int status);

/// Latencies of a call: of its first byte or event, and in the queue.
void recordFirstByteTime(FrontMetrics &m, CallKind kind, Duration span);
void recordQueueTime(FrontMetrics &m, CallKind kind, Duration span);
void recordLongestGap(FrontMetrics &m, Duration longest);

/// A send to a back end; \p result is how it ended.
void countAttempt(FrontMetrics &m, std::string_view result);

/// A connection to a back end was opened.
void countConnection(FrontMetrics &m);

/// A call to the table service; \p result is its status or why it failed.
void countTableCall(FrontMetrics &m, std::string_view call,
                    std::string_view result);

/// Sets a value that may fall.
void setGauge(FrontMetrics &m, std::string_view name, double val);

/// All metrics in Prometheus's text form.
[[nodiscard]] std::string metricsText(const FrontMetrics &m);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_OBSERVE_FRONT_METRICS_H
