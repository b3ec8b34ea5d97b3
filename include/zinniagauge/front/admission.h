// Admitting a call: its route, its workspace, and what it costs.
#ifndef ZINNIAGAUGE_FRONT_ADMISSION_H
#define ZINNIAGAUGE_FRONT_ADMISSION_H

#include "zinniagauge/front/request_loop.h"

#include <optional>
#include <string_view>

namespace zinniagauge {

/// When a refused caller is told to come back: about the time in which a
/// running call ends.
inline constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(400);

/// Why a call isn't admitted.
struct Denial {
  int Status = 503;
  std::string_view Reason;
  Duration RetryAfter = Duration::zero();
};

/// A whole number at the start of \p text; nothing if there is none.
[[nodiscard]] std::optional<std::uint64_t>
parseNumber(std::string_view text) noexcept;

/// What \p call states of its work, by the header names of \p names.
[[nodiscard]] CallWork parseCallWork(const Call &call,
                                     const HeaderNames &names);

/// Whether the plan in force allows the call; fills in what it says of it.
[[nodiscard]] std::optional<Denial> routeCall(RequestLoop &rl, Call &call);

/// Takes the call's cost from its workspace's allowance.
[[nodiscard]] std::optional<Denial> chargeCall(RequestLoop &rl, Call &call);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_ADMISSION_H
