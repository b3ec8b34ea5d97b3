// The metric families of a front and the functions that update them.
#include "zinniagauge/observe/front_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace zinniagauge {

namespace impl {

/// The metric families. prometheus-cpp protects each of them by its own mutex.
struct FrontMetricsState {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls =
      prometheus::BuildCounter()
          .Name("zinnia_calls_total")
          .Help("Calls that are over, by kind, end and status.")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Refusals =
      prometheus::BuildCounter()
          .Name("zinnia_refusals_total")
          .Help("Refused calls, by reason.")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &ForecastError =
      prometheus::BuildHistogram()
          .Name("zinnia_forecast_error_seconds")
          .Help("Error of the forecast of a waiting call's start.")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Attempts =
      prometheus::BuildCounter()
          .Name("zinnia_attempts_total")
          .Help("Sends to back ends, by how they ended.")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &ConnectionsOpened =
      prometheus::BuildCounter()
          .Name("zinnia_links_opened_total")
          .Help("Connections opened to back ends.")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &TableCalls =
      prometheus::BuildCounter()
          .Name("zinnia_table_calls_total")
          .Help("Calls to the table service, by call and result.")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &FirstByteTime =
      prometheus::BuildHistogram()
          .Name("zinnia_first_seconds")
          .Help("Time to the answer or its first event.")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &QueueTime =
      prometheus::BuildHistogram()
          .Name("zinnia_queue_seconds")
          .Help("Time spent waiting for a back end.")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &LongestGap =
      prometheus::BuildHistogram()
          .Name("zinnia_longest_gap_seconds")
          .Help("Longest pause between two events of a stream.")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Gauges =
      prometheus::BuildGauge()
          .Name("zinnia_state")
          .Help("What the process believes, by name.")
          .Register(Registry);
};

void FrontMetricsDelete::operator()(FrontMetricsState *st) const noexcept {
  delete st;
}

} // namespace impl

namespace {

std::string nameOf(CallKind kind) {
  constexpr std::array<const char *, 3> Names = {"safe", "unsafe", "stream"};
  return Names[static_cast<std::size_t>(kind)];
}

/// Upper bounds of the histograms' buckets in seconds, from a short network hop
/// to a long wait.
const prometheus::Histogram::BucketBoundaries BucketBounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

} // namespace

FrontMetrics::FrontMetrics() : State(new impl::FrontMetricsState) {}

void countCall(FrontMetrics &m, CallKind kind, std::string_view outcome,
               int status) {
  m.State->Calls
      .Add({{"kind", nameOf(kind)},
            {"end", std::string(outcome)},
            {"status", std::to_string(status)}})
      .Increment();
}

void countRefusal(FrontMetrics &m, std::string_view reason) {
  const bool status =
      !reason.empty() && reason.front() >= '0' && reason.front() <= '9';
  m.State->Refusals
      .Add({{"why", status ? "back end's status" : std::string(reason)}})
      .Increment();
}

void recordForecastError(FrontMetrics &m, Duration error) {
  m.State->ForecastError
      .Add({{"start", error < Duration::zero() ? "late" : "early"}},
           BucketBounds)
      .Observe(seconds(std::chrono::abs(error)));
}

void recordFirstByteTime(FrontMetrics &m, CallKind kind, Duration duration) {
  m.State->FirstByteTime.Add({{"kind", nameOf(kind)}}, BucketBounds)
      .Observe(seconds(duration));
}

void recordQueueTime(FrontMetrics &m, CallKind kind, Duration duration) {
  m.State->QueueTime.Add({{"kind", nameOf(kind)}}, BucketBounds)
      .Observe(seconds(duration));
}

void recordLongestGap(FrontMetrics &m, Duration longest) {
  m.State->LongestGap.Add({}, BucketBounds).Observe(seconds(longest));
}

void countAttempt(FrontMetrics &m, std::string_view result) {
  m.State->Attempts.Add({{"result", std::string(result)}}).Increment();
}

void countConnection(FrontMetrics &m) {
  m.State->ConnectionsOpened.Add({}).Increment();
}

void countTableCall(FrontMetrics &m, std::string_view call,
                    std::string_view result) {
  m.State->TableCalls
      .Add({{"call", std::string(call)}, {"result", std::string(result)}})
      .Increment();
}

void setGauge(FrontMetrics &m, std::string_view name, double val) {
  m.State->Gauges.Add({{"name", std::string(name)}}).Set(val);
}

std::string metricsText(const FrontMetrics &m) {
  return prometheus::TextSerializer().Serialize(m.State->Registry.Collect());
}

} // namespace zinniagauge
