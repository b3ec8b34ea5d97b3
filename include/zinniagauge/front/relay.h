// Relays calls to other fronts, and serves calls that other fronts relay.
#ifndef ZINNIAGAUGE_FRONT_RELAY_H
#define ZINNIAGAUGE_FRONT_RELAY_H

#include "zinniagauge/front/admission.h"
#include "zinniagauge/front/request_loop.h"

#include <string>
#include <string_view>

namespace zinniagauge {

// The front that relays a call -----------------------------------------------

/// Updates RequestLoop::Peers from the board's list of relay peers.
void refreshRelayPeers(RequestLoop &rl);

/// Returns the peer through which \p call is relayed, or null if none is known
/// that reaches its pool. A call that was itself relayed isn't relayed on.
[[nodiscard]] BackendState *pickRelayPeer(RequestLoop &rl, const Call &call);

/// Appends the headers of a relayed call to a request.
void writeRelayFields(std::string &out, const Call &call,
                      const BackendState &peer);

/// How a response of a relay peer ends the attempt: nothing if it is a back
/// end's response, which is passed on.
[[nodiscard]] std::optional<AttemptEnd>
relayOutcome(const MessageHead &head) noexcept;

// The front that serves a relayed call ---------------------------------------

/// Starts to accept relayed calls, if the settings have an address for it.
/// Fails with Unavailable.
[[nodiscard]] Result<void> listenForPeers(RequestLoop &rl);

/// Fills in the plan of a relayed call from its headers. Returns the denial if
/// the call isn't accepted.
[[nodiscard]] std::optional<Denial> readRelayedPlan(RequestLoop &rl,
                                                    Call &call);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_RELAY_H
