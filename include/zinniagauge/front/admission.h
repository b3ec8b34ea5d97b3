// Admission of a call: finds its route and workspace and charges its cost.
#ifndef ZINNIAGAUGE_FRONT_ADMISSION_H
#define ZINNIAGAUGE_FRONT_ADMISSION_H

#include "zinniagauge/front/request_loop.h"

#include <optional>
#include <string_view>

namespace zinniagauge {

/// Retry-After of a refused call: about the time until a running call ends and
/// frees capacity.
inline constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(400);

/// Retry-After of a call whose prompt is in quarantine, which lasts for longer
/// than callers wait.
inline constexpr Duration QuarantineRetryAfter = std::chrono::seconds(60);

/// Retry-After of a call refused during shutdown; another front process can
/// serve it at once.
inline constexpr Duration ShutdownRetryAfter = std::chrono::milliseconds(20);

/// Why a call isn't admitted, and the response to its caller.
struct Denial {
  int Status = 503;
  std::string_view Reason;
  Duration RetryAfter = Duration::zero(); // Zero: no Retry-After header.
};

/// Parses the unsigned decimal number at the start of \p text; what follows it
/// is ignored. Empty if \p text doesn't start with one or it overflows.
[[nodiscard]] std::optional<std::uint64_t>
parseNumber(std::string_view text) noexcept;

/// Reads the token counts and the length hint from the headers of \p call. A
/// missing or malformed header gives zero.
[[nodiscard]] CallWork parseCallWork(const Call &call,
                                     const HeaderNames &names);

/// Estimates the number of events of a stream from the token counts that its
/// caller states; \p pool may be null.
void estimateEvents(CallWork &work, const PlanPool *pool);

/// Checks the call against the active plan and fills in Call::Plan. Returns the
/// denial if the call isn't allowed.
[[nodiscard]] std::optional<Denial> routeCall(RequestLoop &rl, Call &call);

/// Charges the call's cost to its workspace's allowance. Returns a denial if
/// the allowance is spent.
[[nodiscard]] std::optional<Denial> chargeCall(RequestLoop &rl, Call &call);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_ADMISSION_H
