// Relays calls to other fronts, and serves calls that other fronts relay.
#ifndef ZINNIAGAUGE_FRONT_RELAY_H
#define ZINNIAGAUGE_FRONT_RELAY_H

#include "zinniagauge/front/admission.h"
#include "zinniagauge/front/request_loop.h"

#include <string>
#include <string_view>

namespace zinniagauge {

// The headers between fronts --------------------------------------------------

namespace relay {

/// The start of the names below. Fields with such names are never passed on.
inline constexpr std::string_view FieldPrefix = "Zinnia-Relay-";

inline constexpr std::string_view Token = "Zinnia-Relay-Token";
inline constexpr std::string_view Plan = "Zinnia-Relay-Plan";
inline constexpr std::string_view Pool = "Zinnia-Relay-Pool";
inline constexpr std::string_view Route = "Zinnia-Relay-Route";
inline constexpr std::string_view Workspace = "Zinnia-Relay-Workspace";
/// In a back end's response: the name of the back end.
inline constexpr std::string_view Backend = "Zinnia-Relay-Backend";
inline constexpr std::string_view Outcome = "Zinnia-Relay-Outcome";
/// The attempts that were used when the response began.
inline constexpr std::string_view Attempts = "Zinnia-Relay-Attempts";
/// In such a response: "1" if the front doesn't reach the call's pool either.
inline constexpr std::string_view Unreached = "Zinnia-Relay-Unreached";

/// The numbers of the field Plan, in their order.
enum PlanNumber : std::uint8_t {
  Kind,        ///< As CallKind.
  Resumable,   ///< 0 or 1.
  MaxAttempts, ///< That the serving front may use.
  KeepsOne,    ///< 1: the relaying front can send the call once more.
  TimeoutMs,
  LatencyTargetMs,
  GapTargetMs,
  AgeMs, ///< Since the call arrived at the relaying front.
  Priority,
  RoutePriority,
  MostUrgent, ///< 0 or 1.
  PlanVersion,
  PlanNumberCount
};

/// By how much the header of a relayed call may exceed the callers' limit.
inline constexpr std::size_t MaxFieldBytes = 4096;

} // namespace relay

/// Whether the header \p name is one of those between fronts.
[[nodiscard]] bool isRelayField(std::string_view name) noexcept;

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
/// end's response, which is passed on. NotSent means that the call reached no
/// back end.
[[nodiscard]] std::optional<AttemptEnd>
relayOutcome(const MessageHead &head) noexcept;

/// The attempts that a response says were used.
[[nodiscard]] std::uint32_t relayAttempts(const MessageHead &head) noexcept;

/// Sends no call to \p peer for a while, as it can't be reached.
void passOverPeer(RequestLoop &rl, BackendState &peer);

/// Called when a peer has responded to \p call by itself, which ended its
/// attempt as \p end. Notes the attempts that it used and whether it is asked
/// again.
void recordRelayEnd(RequestLoop &rl, Call &call, const MessageHead &head,
                    AttemptEnd end);

/// Counts the attempts that a peer used beyond those that it was given, as the
/// back end's response \p head that it passed on says.
void recordFurtherAttempts(Call &call, const MessageHead &head);

// The front that serves a relayed call ---------------------------------------

/// Starts to accept relayed calls, if the settings have an address for it.
/// Fails with Unavailable.
[[nodiscard]] Result<void> listenForPeers(RequestLoop &rl);

/// Fills in the plan of a relayed call from its headers. Returns the denial if
/// the call isn't accepted.
[[nodiscard]] std::optional<Denial> readRelayedPlan(RequestLoop &rl,
                                                    Call &call);

/// Whether the connection closes after a relayed call was denied with
/// \p status: its sender isn't a front, or doesn't mean this process.
[[nodiscard]] bool closesPeer(int status) noexcept;

/// Appends what a response with \p status that this front generates says to the
/// front that relayed \p call; null if the request couldn't be read.
void writeRelayOutcome(std::string &out, const RequestLoop &rl,
                       const Call *call, int status);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_RELAY_H
