// Whether a front reaches the back ends of a pool at all, as opposed to single
// back ends that have failed.
#ifndef ZINNIAGAUGE_DECIDE_REACHABILITY_H
#define ZINNIAGAUGE_DECIDE_REACHABILITY_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace zinniagauge {

/// What a front's connections to the back ends of a pool show.
enum class PoolReach : std::uint8_t {
  Reached,          ///< Connections are established.
  NoNewConnections, ///< Older ones work, new ones fail at all back ends.
  Unreached,        ///< Nothing arrives, and new ones fail at all back ends.
};

/// Time without success after which a pool can count as unreached.
inline constexpr Duration MinUnreachedTime = std::chrono::seconds(1);

/// Back ends to which connections must have failed, or all of a smaller pool.
inline constexpr std::size_t MinFailedBackends = 5;

/// Connections that must have failed, also to the same back end: on a lossy
/// link, single ones fail.
inline constexpr std::uint32_t MinFailedConnections = 4;

/// How often one back end is checked while its pool isn't reached.
inline constexpr Duration UnreachedCheckPeriod = std::chrono::milliseconds(500);

/// Active checks that run at the same time.
inline constexpr std::size_t MaxReachChecks = 3;

/// An active check: a connection that is opened to see whether it succeeds.
struct ReachCheck {
  EndpointId Id;
  Time StartedAt;
};

/// The evidence on one pool. Failures are those since the last success.
struct PoolReachability {
  PoolReach State = PoolReach::Reached;
  Time ChangedAt;                   // Of State.
  Time LastConnectedAt;             // A connection was established.
  Time LastByteAt;                  // Bytes arrived from any of its back ends.
  std::vector<EndpointId> Failed;   // No connection was established; sorted.
  std::vector<EndpointId> Lost;     // Established ones were lost; sorted.
  std::uint32_t FailedAttempts = 0; // Connections that weren't established.
  Time FailingSince;   // Start of the first that failed; zero: none did.
  Time FirstFailureAt; // When the first failure was recorded.
  Time LastFailureAt;
  Time LastAttemptAt;             // Start of the latest attempt that failed.
  bool Confirming = false;        // Something waits for a success.
  std::vector<ReachCheck> Checks; // Running.
  Time LastCheckAt;
  std::size_t NextCheck = 0; // Index of the back end to check next.
  Time EvaluateAt;           // When to evaluate next; zero: not necessary.
};

/// Records that a connection to some back end was established.
void recordConnected(PoolReachability &reach, Time now);

/// Records that bytes arrived from some back end.
void recordBytes(PoolReachability &reach, Time now) noexcept;

/// Records that a connection to \p id, opened at \p since, wasn't established.
void recordConnectFailure(PoolReachability &reach, EndpointId id, Time since,
                          Time now);

/// Records that an established connection to \p id was reset, or has been
/// silent since \p since and timed out. Not for connections that were closed in
/// order. Such losses cause checks; alone they don't show a pool as unreached.
void recordLoss(PoolReachability &reach, EndpointId id, Time since, Time now);

/// Asks for checks at \p at and later until a connection is established.
void requestConfirmation(PoolReachability &reach, Time at) noexcept;

/// Whether back ends are checked, as connections to several of them failed.
/// \p usable: the ids of the usable back ends of the pool, sorted.
[[nodiscard]] bool isSuspected(const PoolReachability &reach,
                               std::span<const EndpointId> usable, Time now);

/// Updates the state, and when to evaluate it next. \p usable: as above.
void evaluate(PoolReachability &reach, std::span<const EndpointId> usable,
              Time now);

/// The back ends to open a connection to now. They count as being checked.
[[nodiscard]] std::vector<EndpointId>
startChecks(PoolReachability &reach, std::span<const EndpointId> usable,
            Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_REACHABILITY_H
