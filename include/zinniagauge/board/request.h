// The head of a caller's request, free of any front end's encoding.
#ifndef ZINNIAGAUGE_BOARD_REQUEST_H
#define ZINNIAGAUGE_BOARD_REQUEST_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/tier.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniagauge {

/// What a front end read of a request. The views point into the front end's
/// own buffer and live as long as the call they are handed to.
struct RequestHead {
  std::string_view Key;            // The caller's bearer key.
  std::string_view Model;          // Empty for plain services.
  std::string_view Path;           // As the caller wrote it.
  std::string_view TierName;       // Empty: the route's default.
  std::string_view IdempotencyKey; // Empty: none.
  std::string_view IssuedTicket;   // Empty: none.
  std::string_view PrefixText;     // What an engine would cache a prefix of.
  std::optional<Duration> Timeout; // From arrival; absent: the tier's.
  std::uint32_t PromptBytes = 0;
  std::uint32_t MaxTokens = 0; // Zero: the caller sets no limit.
  bool Stream = false;
};

/// What admission made of a request: all that scheduling needs to know.
struct Admission {
  WorkspaceId Workspace;
  RouteId Route;
  PoolId Pool;
  Tier Rank;
  std::uint32_t PromptTokens = 0; // Estimated from the prompt's bytes.
  std::uint32_t OutputTokens = 0; // Estimated, or the caller's limit.
  std::uint64_t PrefixHash = 0;   // Zero: no prefix worth an affinity.
  Time Deadline;                  // On the clock of this VM.
  bool Idempotent = false;
  bool Stream = false;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_REQUEST_H
