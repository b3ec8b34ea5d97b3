// Reads and applies the loads that back ends report in their responses.
#ifndef ZINNIAGAUGE_FRONT_REPORTED_LOAD_H
#define ZINNIAGAUGE_FRONT_REPORTED_LOAD_H

#include "zinniagauge/board/load.h"
#include "zinniagauge/decide/reported_load.h"
#include "zinniagauge/net/http1.h"

#include <optional>
#include <string_view>

namespace zinniagauge {

struct BackendState;
struct RequestLoop;

/// Reads "running,waiting,slots" or "running,waiting,slots,pace". Nothing if
/// \p text has another form or a figure is out of range. At isn't set.
[[nodiscard]] std::optional<ReportedLoad>
parseReportedLoad(std::string_view text) noexcept;

/// Keeps the load that the response head \p head of \p from reports. Logs one
/// that can't be used, at most once a minute for each back end.
void recordReportedLoad(RequestLoop &rl, BackendState &from,
                        const MessageHead &head);

/// The present load of \p b, whose calls of other fronts are \p peers. Adopts
/// the report that these heard if it is newer than the known one.
[[nodiscard]] LoadEstimate currentLoad(RequestLoop &rl, BackendState &b,
                                       const BackendLoad &peers);

/// The last report that \p b made to this front itself, to be shared with
/// other fronts; empty if it is too old or states no pace.
[[nodiscard]] ReportedLoad sharedReport(const BackendState &b, Time now);

/// Sets the gauges of back ends that report and that have waiting calls.
void setReportGauges(RequestLoop &rl);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_REPORTED_LOAD_H
