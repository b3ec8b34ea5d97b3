// One call of a caller, from its arrival to its end.
#ifndef ZINNIAGAUGE_FRONT_CALL_H
#define ZINNIAGAUGE_FRONT_CALL_H

#include "zinniagauge/decide/call_order.h"
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

/// Where a call is in its life.
enum class CallPhase : std::uint8_t {
  Waiting, ///< For a back end with room.
  Sent,    ///< At a back end, or on its way there.
  Ended,   ///< Its caller was answered or has left.
};

/// How a call ended, for logs and metrics.
enum class CallEnd : std::uint8_t {
  Served,             ///< A back end's success, whole.
  BackendFailed,      ///< A back end's own failure, passed on.
  Refused,            ///< It hasn't run.
  Unknown,            ///< It may have run; no answer came.
  TimedOut,           ///< Its time was over.
  StreamAborted,      ///< Its stream ended early.
  CallerDisconnected, ///< The caller closed its connection first.
};
inline constexpr std::size_t CallEndCount = 7;

[[nodiscard]] std::string_view toString(CallEnd end) noexcept;

/// What the plan says of a call.
struct CallPlan {
  std::uint64_t Version = 0;
  std::string Route;
  PoolId Pool;
  Duration Timeout = Duration::zero();
  Duration LatencyTarget = Duration::zero();
  Duration GapTarget = Duration::zero();
  std::uint32_t Priority = 0;
  std::uint32_t RoutePriority = 0;
  bool MostUrgent = false; // No route of its pool comes before its own.
  bool HasWorkspace = false;
  WorkspaceId Workspace;
  std::string WorkspaceName;
  double Cost = 0; // Taken from the workspace's allowance.
};

/// What a call says of its work.
struct CallWork {
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;   // At most.
  std::uint64_t ExpectedTokens = 0; // That the caller expects; zero: unknown.
  double ExpectedEvents = 1;        // That are expected,
  double MaxEvents = 1;             // and at most.
};

/// The stream that a caller gets.
struct StreamState {
  std::optional<std::uint64_t> LastEventId; // Of the events passed on.
  std::uint32_t Events = 0;
  std::string PartialEvent; // The start of an event that isn't whole.
  Time FirstEventAt;
  Time LastEventAt;
  Time PaceStartAt; // Of the last measurement of its back end's pace.
  std::uint32_t PaceStartEvents = 0;
  Duration LongestGap = Duration::zero();
};

/// A call. Its caller and its link hold it together.
struct Call {
  Call() = default;
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;
  ~Call() = default;

  RequestLoop *Owner = nullptr;
  MessageHead Head;
  std::string Body;
  std::string Id;
  std::uint64_t RandomValue = 0; // Random; decides between weighted pools.
  Time Arrived;
  Time Deadline; // Answered by then, one way or the other.

  CallPlan Plan;
  CallWork Work;
  CallFacts Facts;
  CallPhase Phase = CallPhase::Waiting;
  CallRank Rank;
  bool Queued = false;
  Time QueuedSince;
  Duration QueueTime = Duration::zero();
  std::vector<EndpointId> TriedBackends;
  EndpointId LastBackend; // Where it was sent last.
  Time SentAt;
  std::uint64_t TokensAhead =
      0; // Prompt tokens to be read there before its own.

  CallerConnection *Caller = nullptr; // Null once it has left.
  BackendConnection *Connection = nullptr;
  LoopTimer Timer;
  StreamState Stream;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_CALL_H
