// A ticket asks a scheduler for leave to dispatch; a grant gives it.
#ifndef ZINNIAGAUGE_BOARD_TICKET_H
#define ZINNIAGAUGE_BOARD_TICKET_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/tier.h"
#include "zinniagauge/time/clock.h"

#include <compare>
#include <cstdint>

namespace zinniagauge {

/// One try to dispatch one request. A request is tried again only under a new
/// number, so that a late answer to an earlier try is told apart.
struct AttemptId {
  RequestId Request;
  std::uint32_t Number = 0; // Counts from 1.

  auto operator<=>(const AttemptId &) const = default;
};

/// Which versions may serve a request while its pool has a version move. The
/// entry chooses by its own counts, so that the move's share bounds each
/// entry's own dispatches.
enum class VersionChoice : std::uint8_t {
  Any,       ///< The pool has no move in progress.
  ExceptNew, ///< Any version but the one moved to.
  PreferNew, ///< The version moved to if it has room, otherwise as From.
  NewOnly,   ///< Only the version moved to.
};

/// What an entry tells a scheduler of a request that waits.
struct Ticket {
  AttemptId Attempt;
  VmId Entry; // Which VM holds the caller's connection.
  PoolId Pool;
  RouteId Route;
  WorkspaceId Workspace;
  Tier Rank;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
  std::uint64_t PrefixHash = 0;
  Duration TimeLeft = Duration::zero(); // Until the deadline, when sent.
  EndpointId
      AvoidEndpoint; // The endpoint that refused the last attempt, if any.
  VersionChoice Choice = VersionChoice::Any;
  VersionId NewVersion; // The version moved to, unless Choice is Any.
};

/// Names a grant within the scheduler that gave it.
struct GrantId {
  VmId Scheduler;
  std::uint64_t Incarnation = 0; // Of the scheduler's process.
  std::uint64_t Number = 0;

  auto operator<=>(const GrantId &) const = default;
};

/// Leave to dispatch one attempt to one endpoint, once, until it lapses.
struct Grant {
  GrantId Id;
  AttemptId Attempt;
  EndpointId Endpoint;
  VersionId Version;
  std::uint32_t Tokens = 0;        // Reserved at the endpoint until returned.
  Time IssuedAt;                   // On the scheduler's clock.
  Duration Ttl = Duration::zero(); // After Issued it may not be used.
};

/// Why a scheduler refused a ticket.
enum class RefusalReason : std::uint8_t {
  Shed,       ///< Overload, and no lower tier waits here.
  TooLate,    ///< The deadline can't be met.
  NoEndpoint, ///< No endpoint of the pool may be used.
  Stopping,   ///< The scheduler is leaving its role.
};

/// What an entry saw of a grant's use.
struct GrantReturn {
  GrantId Id;
  AttemptId Attempt;
  EndpointId Endpoint;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; // That the engine generated.
  std::uint32_t CachedTokens = 0; // Of the prompt, that the engine had.
  Duration FirstTokenTime = Duration::zero();
  Duration TotalTime = Duration::zero();
  bool Dispatched = false;        // False: given back unused.
  bool RefusedByEndpoint = false; // The endpoint refused before running it.
  bool EndpointFailed = false; // The endpoint failed, or cut the answer short.
  bool Cancelled = false;      // This side ended it, so the times tell nothing.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_TICKET_H
