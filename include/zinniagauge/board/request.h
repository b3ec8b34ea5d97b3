// The head of a caller's request, independent of the encoding of any front end.
#ifndef ZINNIAGAUGE_BOARD_REQUEST_H
#define ZINNIAGAUGE_BOARD_REQUEST_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/tier.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniagauge {

/// The head of a request as a front end parsed it. The views point into a
/// buffer of the front end and are valid only during the function call that
/// they are passed to.
struct RequestHead {
  std::string_view Key;            // The caller's bearer key.
  std::string_view Model;          // Empty for plain services.
  std::string_view Path;           // As the caller sent it.
  std::string_view TierName;       // Empty: the route's default.
  std::string_view IdempotencyKey; // Empty: none.
  std::string_view IssuedTicket;   // Empty: none.
  std::string_view PrefixText; // The text whose prefix an engine would cache.
  std::optional<Duration> Timeout; // From arrival; absent: the tier's.
  std::uint32_t PromptBytes = 0;
  std::uint32_t MaxTokens = 0; // Zero: the caller sets no limit.
  bool Stream = false;
};

/// The result of admission: all that scheduling needs to know of a request.
struct Admission {
  WorkspaceId Workspace;
  RouteId Route;
  PoolId Pool;
  Tier Rank;
  std::uint32_t PromptTokens = 0; // Estimated from the prompt's bytes.
  std::uint32_t OutputTokens = 0; // Estimated, or the caller's limit.
  std::uint64_t PrefixHash = 0;   // Zero: no prefix that justifies affinity.
  Time Deadline;                  // On the clock of this VM.
  bool Idempotent = false;
  bool Stream = false;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_REQUEST_H
