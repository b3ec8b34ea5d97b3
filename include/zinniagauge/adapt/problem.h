// Refusals and failures as callers read them: application/problem+json.
#ifndef ZINNIAGAUGE_ADAPT_PROBLEM_H
#define ZINNIAGAUGE_ADAPT_PROBLEM_H

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/outcome.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// The header that names the request in every answer and dispatch.
inline constexpr std::string_view RequestIdHeader = "Zinnia-Request-Id";
/// The header that tells the outcome in every answer.
inline constexpr std::string_view OutcomeHeader = "Zinnia-Outcome";
/// The header by which an endpoint says that it refused before running.
inline constexpr std::string_view NotRunHeader = "Zinnia-Not-Run";

/// The HTTP status for an error of that code.
[[nodiscard]] int httpStatusOf(ErrorCode code) noexcept;

/// The body: title, status, detail, outcome, step, peer and request id.
[[nodiscard]] std::string problemJson(const Error &err, Outcome oc,
                                      RequestId id);

/// Sends \p err as the whole answer to request \p id.
void sendProblem(HttpResponder &to, const Error &err, Outcome oc, RequestId id);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PROBLEM_H
