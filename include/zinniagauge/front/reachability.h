// Which pools the front reaches, and what doesn't count against back ends
// because the front may be cut off from them.
#ifndef ZINNIAGAUGE_FRONT_REACHABILITY_H
#define ZINNIAGAUGE_FRONT_REACHABILITY_H

#include "zinniagauge/front/request_loop.h"

namespace zinniagauge {

// Evidence -------------------------------------------------------------------

/// Called when \p conn is established.
void onBackendReached(BackendConnection &conn);

/// Called when bytes have arrived over \p conn.
void onBackendBytes(BackendConnection &conn);

/// Called when a connection to \p to, opened at \p since, can't be established.
void onConnectFailed(RequestLoop &rl, BackendState &to, Time since);

/// Called when \p conn was reset or timed out; \p err is its errno value.
void onBackendReset(BackendConnection &conn, int err);

/// Called when \p conn is given up as its back end has sent nothing for too
/// long.
void onBackendSilent(BackendConnection &conn);

// What counts ----------------------------------------------------------------

/// Whether the loss of \p conn counts against its back end: not while the
/// front can't reach the pool, nor for a call that it sent before it could.
[[nodiscard]] bool lossCounts(const BackendConnection &conn);

/// Records \p crashes, which were found at \p at, once the front has reached a
/// back end of the pool after them.
void recordOnceReached(RequestLoop &rl, const BackendState &at,
                       HeldCrashes crashes);

/// Records a lost attempt of \p call, or its time-out, as a failure of its back
/// end's version, once the front has reached a back end of the pool after it.
void recordLostAttempt(RequestLoop &rl, Call &call);

// Changes --------------------------------------------------------------------

/// Whether a call to \p to can be sent over an idle connection.
[[nodiscard]] bool hasIdleConnection(const RequestLoop &rl,
                                     const BackendState &to, const Call &call);

/// Closes all idle connections to \p to.
void closeIdleConnections(BackendState &to);

/// Called when PoolReachability::State of \p pool has changed.
void onPoolReachChanged(RequestLoop &rl, PoolId pool);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_REACHABILITY_H
