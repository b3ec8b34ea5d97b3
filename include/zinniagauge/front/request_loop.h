// The request loop: callers' and back ends' connections and the calls between
// them, all on one thread. It reads the board and never waits for it.
#ifndef ZINNIAGAUGE_FRONT_REQUEST_LOOP_H
#define ZINNIAGAUGE_FRONT_REQUEST_LOOP_H

#include "zinniagauge/board/front_board.h"
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/backend_choice.h"
#include "zinniagauge/decide/freshness.h"
#include "zinniagauge/decide/outlier.h"
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/front/call.h"
#include "zinniagauge/front/front_settings.h"
#include "zinniagauge/front/header_names.h"
#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"
#include "zinniagauge/observe/event_log.h"
#include "zinniagauge/observe/front_metrics.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinniagauge {

/// A caller's connection.
struct CallerConnection {
  TcpConnection Tcp;
  RequestLoop *Owner = nullptr;
  MessageParser Parser;
  std::string Body;
  bool SentContinue = false;
  std::shared_ptr<Call> ActiveCall;
  LoopTimer Timer; // Of the header, or of an idle connection.
};

struct BackendState;

/// A connection to a back end.
struct BackendConnection {
  TcpConnection Tcp;
  RequestLoop *Owner = nullptr;
  BackendState *Target = nullptr;
  std::shared_ptr<Call> ActiveCall; // Null while idle.
  MessageParser Parser;
  std::string Body;
  bool HeadRead = false;
  bool SkippingResponse = false; // The answer is another call's.
  bool Streaming = false;
  bool NotReusable = false;        // Not to be used again.
  std::uint64_t PendingTokens = 0; // Of its call's prompt, until it answers.
  std::uint32_t Uses = 0;
  Time IdleSince;
  Duration KeepAliveTime = Duration::zero();
  LoopTimer ConnectTimer;
  LoopTimer SilenceTimer; // Of a call that may be repeated.
  Time LastByteAt;
};

/// What the request loop knows of one back end.
struct BackendState {
  Backend Info;
  bool Listed = true;
  bool WrongIncarnation = false;   // Something else answers at its address.
  std::uint32_t Running = 0;       // Calls of this process there.
  std::uint64_t PendingTokens = 0; // Of prompts that haven't answered yet.
  double EventMs = 0;              // Time for an event; zero: not known yet.
  std::uint32_t RecentSends = 0;   // Calls, in quick succession until
  Time LastSentAt;                 // the last one.
  Time LastByteAt;                 // From it, on any connection.
  ResultStats Results;
  std::vector<BackendConnection *>
      IdleConnections; // The one used last is at the back.
  std::uint32_t ConnectionCount = 0;
};

/// What the request loop keeps of one pool.
struct PoolState {
  std::vector<BackendState *> Backends;
  std::set<std::pair<CallRank, Call *>> Queue;
  RetryWindow Retries;
  VersionSplit Gate; // Of a move from one version to another.
  ResultStats Results;
  double PromptMs = 0; // Time for a prompt token at mean speed.
  double EventMs = 0;  // Mean time for an event.
};

/// The state of the loop's thread.
struct RequestLoop {
  RequestLoop(FrontBoard &board, const HeaderNames &dialect,
              FrontSettings settings, EventLog &log, FrontMetrics &metrics);
  RequestLoop(const RequestLoop &) = delete;
  RequestLoop &operator=(const RequestLoop &) = delete;
  ~RequestLoop();

  FrontBoard &Board;
  const HeaderNames &Names;
  FrontSettings Settings;
  EventLog &Log;
  FrontMetrics &Metrics;
  Loop EventLoop;
  Watch Listener;
  CallerLimits Limits; // Of the plan in force.
  std::unordered_map<CallerConnection *, std::shared_ptr<CallerConnection>>
      Callers;
  std::unordered_map<BackendConnection *, std::shared_ptr<BackendConnection>>
      BackendConnections;
  std::unordered_map<EndpointId, std::unique_ptr<BackendState>> Backends;
  std::unordered_map<PoolId, PoolState> Pools;
  std::unordered_map<WorkspaceId, AllowanceState> Allowances;
  std::unordered_map<WorkspaceId, double>
      RequestedCost; // Cost since the last report.
  std::map<VersionStatsKey, VersionStatsCounts>
      MoveStats; // Of pools that are moved.
  OutlierLimits Outliers;
  ChoiceWeights Weights;
  std::vector<Candidate> Candidates;
  std::uint64_t RandomState = 0;
  std::uint64_t LastRankNumber = 0;
  std::size_t ActiveCalls = 0; // Calls that aren't over.
  LoopTimer DispatchTimer;
  LoopTimer DemandTimer;
  LoopTimer LoadTimer;
  LoopTimer HousekeepingTimer;
  LoopTimer StopTimer;
  Time StoppingSince;
  Time LastDemandAt;
  std::function<void()> OnLoadsChanged; // The loads on the board have changed.
};

// Callers ------------------------------------------------------------------

/// Starts to accept callers. Fails with Unavailable.
[[nodiscard]] Result<void> listenForCallers(RequestLoop &rl);

/// Answers the caller of \p c with \p status and the reason \p why. A
/// \p retryafter above zero tells when to come back. \p drop ends the
/// connection after it.
void respondWithStatus(CallerConnection &c, int status, std::string_view why,
                       Duration retryafter = Duration::zero(),
                       bool drop = false);

/// Passes on a back end's whole answer.
void forwardResponse(CallerConnection &c, const MessageHead &head,
                     std::string_view body, std::string_view method);

/// Starts a streamed answer, with its first events.
void startStreamResponse(CallerConnection &c, const MessageHead &head,
                         std::string_view events);

/// Passes on more events.
void forwardEvents(CallerConnection &c, std::string_view events);

/// Ends a streamed answer as whole.
void endStreamResponse(CallerConnection &c);

/// The call of \p c is over; its connection serves the next or ends.
void serveNextRequest(CallerConnection &c);

/// Ends the connection once all has left. A streamed answer that isn't whole
/// lacks its last chunk then, so the caller sees that.
void closeCallerAfterSending(CallerConnection &c);

/// Ends the connection at once; \p c is gone after this turn of the loop.
void resetCaller(CallerConnection &c);

/// Ends the connections that wait for a request; their callers open new ones
/// elsewhere.
void closeIdleCallers(RequestLoop &rl);

// Links ----------------------------------------------------------------------

/// Sends \p call to \p to, over a kept connection or a new one. False if no
/// socket could be had.
[[nodiscard]] bool sendCall(RequestLoop &rl, const std::shared_ptr<Call> &call,
                            BackendState &to);

/// Stops the transfer of \p call by closing its connection.
void abortTransfer(Call &call);

/// Closes links that were idle too long or whose back end is gone.
void closeIdleConnections(RequestLoop &rl, Time now);

// Pools ----------------------------------------------------------------------

/// Takes over the back ends of the board.
void refreshBackends(RequestLoop &rl);

/// The best back end with room for \p call, or null.
[[nodiscard]] BackendState *pickBackend(RequestLoop &rl, const Call &call);

/// Has \p call wait for room.
void enqueue(RequestLoop &rl, Call &call);

/// Takes \p call out of its queue.
void dequeue(RequestLoop &rl, Call &call);

/// Sends waiting calls for which there is room.
void dispatchQueued(RequestLoop &rl, PoolId pool);

/// A connection to \p to was refused, reset or stayed silent.
void recordLostConnection(RequestLoop &rl, BackendState &to);

/// How long \p call is expected to take to its first event at its back end.
[[nodiscard]] Duration expectedFirstEventTime(RequestLoop &rl,
                                              const Call &call);

/// Prompt tokens that are to be read at \p to before those of another call.
[[nodiscard]] std::uint64_t tokensAhead(const RequestLoop &rl,
                                        const BackendState &to);

/// A call leaves for \p to.
void recordSent(RequestLoop &rl, BackendState &to);

/// \p call ended at its back end, well or not: evidence on its version, if its
/// pool is being moved from one to another.
void recordMoveStats(RequestLoop &rl, const Call &call, bool failed);

/// The first event of \p call has come: learns how long prompts take.
void recordPromptTime(RequestLoop &rl, const Call &call);

/// \p span passed for \p events events, or for a plain answer.
void recordEventTime(BackendState &to, Duration span, std::uint32_t events);

/// \p to answered a call in full.
void recordResponse(RequestLoop &rl, BackendState &to, bool failed);

// Calls ----------------------------------------------------------------------

/// A whole request has arrived.
void startCall(CallerConnection &c, MessageHead head, std::string body);

/// Finds a place for \p call, or has it wait, or refuses it.
void dispatchCall(const std::shared_ptr<Call> &call);

/// Whether \p call may be sent once more if its attempt ended as lost now.
[[nodiscard]] bool canRetry(RequestLoop &rl, const Call &call);

/// The caller has left.
void onCallerDisconnected(const std::shared_ptr<Call> &call);

/// An attempt of \p call ended without an answer to pass on.
void onAttemptEnd(const std::shared_ptr<Call> &call, AttemptEnd end,
                  std::string_view why);

/// A back end's answer is whole.
void onResponse(const std::shared_ptr<Call> &call, const MessageHead &head,
                std::string_view body);

/// Part of a streamed answer has arrived. False if the stream must end: its
/// events don't follow those that were passed on.
[[nodiscard]] bool onEvents(const std::shared_ptr<Call> &call,
                            const MessageHead &head, std::string_view part);

/// A streamed answer is whole.
void onStreamEnd(const std::shared_ptr<Call> &call, const MessageHead &head);

/// Writes down that the call is over, after its caller was answered; \p why is
/// empty or says why it wasn't served.
void endCall(const std::shared_ptr<Call> &call, CallEnd end, int status,
             std::string_view why);

// The loop -------------------------------------------------------------------

/// Opens the loop and starts its timers. Fails with Unavailable.
[[nodiscard]] Result<void> startRequestLoop(RequestLoop &rl);

/// The calls at some back end have changed: has them put on the board soon.
void scheduleLoadReport(RequestLoop &rl);

/// What the board's plan and its proof allow now.
[[nodiscard]] Freshness freshness(const RequestLoop &rl);

/// Stops by plan: no longer ready at once, serving on until callers have gone
/// elsewhere, and ended before the process is killed.
void beginShutdown(RequestLoop &rl);

/// Whether a stream that begins now may end before the process does.
[[nodiscard]] bool acceptsStreams(const RequestLoop &rl);

/// Begins to follow what all fronts spend, for workspaces new in the plan.
void trackAllowances(RequestLoop &rl);

/// Whether the process takes new connections.
[[nodiscard]] bool isReady(const RequestLoop &rl);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_REQUEST_LOOP_H
