// Error responses for callers, as application/problem+json.
#ifndef ZINNIAGAUGE_ADAPT_PROBLEM_H
#define ZINNIAGAUGE_ADAPT_PROBLEM_H

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/outcome.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// The request's id, in every response to a caller and every request to an
/// endpoint.
inline constexpr std::string_view RequestIdHeader = "Zinnia-Request-Id";
/// The outcome, in every response to a caller.
inline constexpr std::string_view OutcomeHeader = "Zinnia-Outcome";
/// Set in the response of an endpoint that rejected the request before running
/// it.
inline constexpr std::string_view NotRunHeader = "Zinnia-Not-Run";

/// Returns the HTTP status for \p code.
[[nodiscard]] int httpStatusOf(ErrorCode code) noexcept;

/// Returns the JSON body: type, title, status, detail, outcome, step, peer and
/// request id.
[[nodiscard]] std::string problemJson(const Error &err, Outcome oc,
                                      RequestId id);

/// Sends \p err as the complete response to request \p id.
void sendProblem(HttpResponder &responder, const Error &err, Outcome oc,
                 RequestId id);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PROBLEM_H
