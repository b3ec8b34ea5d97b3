// The state of one call, from its arrival to its end.
#ifndef ZINNIAGAUGE_FRONT_CALL_H
#define ZINNIAGAUGE_FRONT_CALL_H

#include "zinniagauge/board/crash_evidence.h"
#include "zinniagauge/decide/call_order.h"
#include "zinniagauge/decide/complete_events.h"
#include "zinniagauge/decide/next_step.h"
#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/loop.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniagauge {

struct BackendConnection;
struct CallerConnection;
struct RequestLoop;

/// The processing state of a call.
enum class CallPhase : std::uint8_t {
  Waiting, ///< For a back end with free capacity.
  Sent,    ///< To a back end; its response isn't complete.
  Ended,   ///< Its caller got the response or disconnected.
};

/// How a call ended, for logs and metrics.
enum class CallEnd : std::uint8_t {
  Served,             ///< A back end's success was passed on in full.
  BackendFailed,      ///< A back end's failure response was passed on.
  Refused,            ///< The call wasn't run by any back end.
  Unknown,            ///< It may have run; there is no valid response.
  TimedOut,           ///< The call's deadline passed.
  StreamAborted,      ///< The stream ended before it was complete.
  CallerDisconnected, ///< The caller closed its connection first.
};
inline constexpr std::size_t CallEndCount = 7;

/// The name of \p end in logs and metrics.
[[nodiscard]] std::string_view toString(CallEnd end) noexcept;

/// The plan's settings for a call, copied when the call is routed.
struct CallPlan {
  std::uint64_t Version = 0;
  /// Age of the proof that the plan was the newest, when the call was routed;
  /// nothing if this front didn't route it.
  std::optional<Duration> ProofAge;
  std::string Route;
  PoolId Pool;
  Duration Timeout = Duration::zero();
  Duration LatencyTarget = Duration::zero();
  Duration GapTarget = Duration::zero();
  std::uint32_t Priority = 0; // The workspace's, else the route's.
  std::uint32_t RoutePriority = 0;
  bool MostUrgent = false; // No route of its pool has a higher priority.
  bool HasWorkspace = false;
  WorkspaceId Workspace;
  std::string WorkspaceName;
  double Cost = 0; // Charged to the workspace's allowance.
};

/// The amount of work that the call's headers state, and estimates from it.
struct CallWork {
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;   // Upper limit.
  std::uint64_t ExpectedTokens = 0; // Expected by the caller; zero: unknown.
  double ExpectedEvents = 1;        // Estimated number of stream events.
  double MaxEvents = 1;             // Upper limit of stream events.
  /// The parts of its prompt that other calls may share, and, once it is
  /// routed, its fingerprint.
  std::vector<CallTraitId> Traits;
};

/// Progress of the stream that is passed on to the caller.
struct StreamState {
  std::optional<std::uint64_t> LastEventId; // Id of the last event passed on.
  std::uint32_t Events = 0;                 // Events passed on.
  std::uint32_t EventsBefore = 0; // Passed on before the current attempt.
  std::string PartialEvent;       // Bytes of an event that isn't complete yet.
  EventScan PartialScan;          // How far PartialEvent has been searched.
  Time FirstEventAt;
  Time AttemptEventAt; // Of the first event of the current attempt.
  Time LastEventAt;
  Time PaceStartAt; // Start of the current measurement of the time per event.
  std::uint32_t PaceStartEvents = 0;      // Value of Events at PaceStartAt.
  Duration LongestGap = Duration::zero(); // Between two events.
};

/// A call. The caller's connection and the back end's connection share its
/// ownership.
struct Call {
  Call() = default;
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;
  ~Call() = default;

  RequestLoop *Owner = nullptr;
  MessageHead Head;
  std::string Body;
  std::string Id;
  std::uint64_t RandomValue = 0; // Selects among weighted pools.
  Time Arrived;                  // At the front that the caller reached.
  Time Deadline; // The caller gets a response or an error by then.

  CallPlan Plan;
  CallWork Work;
  CallFacts Facts;
  CallPhase Phase = CallPhase::Waiting;
  CallRank Rank;
  bool FromPeer = false; // Another front has relayed it.
  /// That front can send the call once more if it is lost here.
  bool SenderKeepsAttempt = false;
  /// The latest attempt was relayed through another front.
  bool ThroughPeer = false;
  /// Counted in Facts.SentAttempts for the latest attempt: those that a peer
  /// may use, else one.
  std::uint32_t AttemptsCharged = 0;
  std::vector<EndpointId> RefusedBy; // Peers that refused to relay it.
  bool CostReported = false; // Counted as spent, since it was sent once.
  /// A back end has answered it whole, or has streamed for some time.
  bool WasAnswered = false;
  bool Evaluated = false; // Counts in the statistics of a version move.
  bool Queued = false;    // In the queue of its pool.
  Time QueuedSince;
  Duration QueueTime = Duration::zero(); // Total over all attempts.
  /// The latest forecast of the time until it is sent, if there was one.
  std::optional<Duration> Forecast;
  Time ForecastStart; // By the first forecast.
  std::vector<EndpointId> TriedBackends;
  EndpointId LastBackend; // Back end of the latest attempt.
  Time SentAt;
  /// Prompt tokens to process at LastBackend before the call's own.
  std::uint64_t TokensAhead = 0;

  CallerConnection *Caller = nullptr;      // Null once disconnected.
  BackendConnection *Connection = nullptr; // Null unless an attempt runs.
  /// To another back end, while it is being established to take over from
  /// Connection; else null.
  BackendConnection *Standby = nullptr;
  LoopTimer Timer; // Queue timeout while it waits, else the deadline.
  StreamState Stream;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_CALL_H
