// The request loop: the connections to callers and back ends and the calls
// between them, all on one thread. It reads the board without blocking.
#ifndef ZINNIAGAUGE_FRONT_REQUEST_LOOP_H
#define ZINNIAGAUGE_FRONT_REQUEST_LOOP_H

#include "zinniagauge/board/front_board.h"
#include "zinniagauge/decide/admission_forecast.h"
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/backend_choice.h"
#include "zinniagauge/decide/backpressure.h"
#include "zinniagauge/decide/cold_start.h"
#include "zinniagauge/decide/freshness.h"
#include "zinniagauge/decide/outlier.h"
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/decide/quarantine.h"
#include "zinniagauge/decide/reachability.h"
#include "zinniagauge/decide/rejection_limit.h"
#include "zinniagauge/decide/reported_load.h"
#include "zinniagauge/decide/response_baseline.h"
#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/decide/unseen_sends.h"
#include "zinniagauge/front/call.h"
#include "zinniagauge/front/front_settings.h"
#include "zinniagauge/front/header_names.h"
#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/listener.h"
#include "zinniagauge/net/tcp_connection.h"
#include "zinniagauge/observe/event_log.h"
#include "zinniagauge/observe/front_metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinniagauge {

/// A caller's connection.
struct CallerConnection {
  TcpConnection Tcp;
  RequestLoop *Owner = nullptr;
  MessageParser Parser;
  std::string Body; // Of the request being read.
  bool SentContinue = false;
  bool IsHead = false; // The request being read or answered is HEAD.
  std::shared_ptr<Call> ActiveCall; // Null between requests.
  LoopTimer Timer; // Timeout of an unfinished request or an idle connection.
  std::size_t UnsentAtTimer = 0; // Bytes to send when Timer expired last.
  bool FromPeer = false;         // Of another front, for relayed calls.
};

struct BackendState;

/// A connection to a back end.
struct BackendConnection {
  TcpConnection Tcp;
  RequestLoop *Owner = nullptr;
  BackendState *Target = nullptr;
  std::shared_ptr<Call> ActiveCall; // Null while idle.
  /// The call that it takes over once it is established; else null.
  std::shared_ptr<Call> TakesOver;
  MessageParser Parser;
  std::string Body;
  bool HeadRead = false;
  bool SkippingResponse = false;      // The response belongs to another call.
  std::uint32_t SkippedResponses = 0; // Before the one to the active call.
  std::uint64_t SkippedBytes = 0;     // Of the bodies of these.
  bool Streaming = false;
  bool NotReusable = false;        // Closed after its current call.
  std::uint64_t PendingTokens = 0; // Prompt tokens; zero once it responds.
  std::uint32_t Uses = 0;          // Calls sent over it.
  std::string LastCallId;          // Of the latest call sent over it.
  Time IdleSince;
  Duration KeepAliveTime = Duration::zero();
  LoopTimer ConnectTimer;
  LoopTimer SilenceTimer; // Only for a call that is safe to retry.
  Time LastByteAt;
  Time OpenedAt;
};

/// The state of one back end in the request loop.
struct BackendState {
  Backend Info;
  bool Listed = true;              // In the board's list of back ends.
  bool Evacuated = false;          // Its availability zone is.
  bool WrongIncarnation = false;   // Answered 421: not the process listed.
  std::uint32_t Running = 0;       // Calls sent there by this process.
  std::uint64_t PendingTokens = 0; // Prompt tokens without a response yet.
  double EventMs = 0;              // Average time per event; zero: unknown.
  std::uint32_t RecentSends = 0;   // Calls sent in quick succession.
  Time LastSentAt;                 // Of the latest of RecentSends.
  Time LastByteAt;                 // Received on any of its connections.
  ResultStats Results;
  Backpressure Asked; // What it asked for in its responses.
  RejectionLimit Rejections;
  RejectionGuard Guard; // While it is brittle.
  ColdPhase Cold;
  ColdPermits Permits; // While it is cold; by bootNow.
  Time LostAt;         // The latest loss of a connection, by bootNow.
  LoadReports Reports;
  Time ReportWarnedAt; // When an unreadable report was logged last.
  /// The most recently used one is last.
  std::vector<BackendConnection *> IdleConnections;
  std::uint32_t ConnectionCount = 0;
  /// Crashes to record if it turns out to have crashed.
  std::vector<CrashRecord> UnconfirmedCrashes;
  /// Another front, through which calls are relayed: in RequestLoop::Peers, and
  /// of its members only those that concern connections are used.
  bool IsPeer = false;
  std::uint64_t PeerToken = 0; // What calls relayed to it must state.
  Time PassedOverUntil;        // After a peer's connection failed.
  /// Until when a peer counts as not reaching a pool, as it said.
  std::map<PoolId, Time> UnreachedUntil;
};

/// The calls that a cold back end of one pool may be sent.
struct PoolColdLimit {
  Duration Start = Duration::zero(); // Zero: the pool has no cold phase.
  double PerSecond = 0;              // Of all fronts together, as planned.
  std::uint32_t Fronts = 0;          // By which it is divided; zero: unknown.
  double OwnPerSecond = 0;           // The part of this front.
};

/// Crashes of calls' prompts at one back end that don't count yet.
struct HeldCrashes {
  std::string Backend; // Its name.
  std::uint64_t StartedAtMs = 0;
  std::vector<CrashRecord> Records;
  Time At; // Of the latest.
  /// No other back end was usable, so none can show that the pool is reached.
  /// Its restart shows that it has crashed.
  bool AwaitsRestart = false;
};

/// A failed request of a version that doesn't count yet.
struct HeldFailure {
  VersionStatsKey Key;
  Time At;
};

/// Losses in one pool that count only once the front has reached some back end
/// of the pool after them: they may be faults of the front's own network.
struct HeldLosses {
  std::vector<HeldCrashes> Crashes;
  std::vector<HeldFailure> Failures;
  /// When the newest connection that was established was opened.
  Time ConfirmedUntil;
};

/// The state of one pool in the request loop.
struct PoolState {
  std::vector<BackendState *> Backends;
  std::set<std::pair<CallRank, Call *>> Queue; // Calls that wait.
  ArrivalRate Arrivals;
  ServiceRate Sends;      // Of this process, while calls wait.
  ReturnSchedule Returns; // Of callers that were refused by forecast.
  ChoicePlace Place;
  RetryWindow Retries;
  VersionSplit Split; // Split of the calls during a version move.
  ResultStats Results;
  /// Without the responses of a new version during its move.
  std::map<RouteId, ResponseBaseline> Baselines;
  double PromptMs = 0; // Time per prompt token at a back end of mean speed.
  double EventMs = 0;  // Mean time per event over its back ends.
  PoolColdLimit ColdLimit;
  bool StatesPace = false; // Some back end states its present pace.
  PoolReachability Reach;
  Time ReachedSince; // It was unreached before; zero: never.
  HeldLosses Held;
  RejectionLimit Rejections; // As its back ends said last.
};

/// The state of the request loop. It belongs to the loop's thread.
struct RequestLoop {
  RequestLoop(FrontBoard &board, const HeaderNames &names,
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
  Listener Listening;     // For callers.
  Listener PeerListening; // For relayed calls.
  CallerLimits Limits;    // Of the active plan.
  std::unordered_map<CallerConnection *, std::shared_ptr<CallerConnection>>
      Callers;
  std::unordered_map<BackendConnection *, std::shared_ptr<BackendConnection>>
      BackendConnections;
  std::unordered_map<EndpointId, std::unique_ptr<BackendState>> Backends;
  /// Other fronts to which calls are relayed.
  std::unordered_map<EndpointId, std::unique_ptr<BackendState>> Peers;
  std::unordered_map<PoolId, PoolState> Pools;
  std::unordered_map<WorkspaceId, AllowanceState> Allowances;
  /// Of pools with a version move.
  std::map<VersionStatsKey, VersionStatsCounts> MoveStats;
  CrashEvidence Crashes;
  AnsweredTraits Answered;
  FrontCount FrontsKnown;
  BackendLimitList BackendLimits; // All that are known, also from peers.
  OutlierLimits Outliers;
  ChoiceWeights Weights;
  std::vector<Candidate> Candidates; // Reused by each choice of a back end.
  std::uint64_t RandomState = 0;
  std::uint64_t LastSequenceNumber = 0; // Latest CallRank::SequenceNumber.
  std::size_t ActiveCalls = 0;          // Calls that haven't ended.
  std::size_t RelayedCalls = 0;         // Of these, relayed by other fronts.
  std::size_t PeerConnections = 0;      // Of Callers, those of other fronts.
  Time StartedAt;
  /// The greatest age of the plan's proof with which a call was routed; nothing
  /// before the first call.
  std::optional<Duration> OldestProof;
  LoopTimer DispatchTimer;
  LoopTimer TrackTimer;
  LoopTimer LoadTimer;
  LoopTimer HousekeepingTimer;
  LoopTimer ReachTimer;
  LoopTimer StopTimer;
  Time StoppingSince;
  bool Closing = false; // The process ends soon and passes no call on.
  std::function<void()>
      OnLoadsChanged; // Called after new loads were published.
};

// Callers --------------------------------------------------------------------

/// Starts to accept connections of callers. Fails with Unavailable.
[[nodiscard]] Result<void> listenForCallers(RequestLoop &rl);

/// Serves the connected socket \p fd of a caller or, if \p frompeer is set, of
/// another front.
void addCaller(RequestLoop &rl, int fd, bool frompeer);

/// Closes the connection that has been idle for longest, of callers and other
/// fronts or, if \p onlypeers is set, of these alone. Returns whether there was
/// one.
bool closeLongestIdle(RequestLoop &rl, bool onlypeers);

/// Sends a response with \p status and a body that holds \p reason, which is
/// left out if the request is HEAD. A \p retryafter above zero adds a
/// Retry-After header. If \p drop is set, the connection closes after the
/// response.
void respondWithStatus(CallerConnection &c, int status, std::string_view reason,
                       Duration retryafter = Duration::zero(),
                       bool drop = false);

/// Sends a back end's complete response to the caller.
void forwardResponse(CallerConnection &c, const MessageHead &head,
                     std::string_view body);

/// Starts a streamed response, which must be one that may have a body, and
/// sends its first \p events.
void startStreamResponse(CallerConnection &c, const MessageHead &head,
                         std::string_view events);

/// Sends further \p events of a streamed response.
void forwardEvents(CallerConnection &c, std::string_view events);

/// Ends a streamed response as complete.
void endStreamResponse(CallerConnection &c);

/// Called when the call of \p c has ended. Reads the next request, or closes
/// the connection if the process is stopping.
void serveNextRequest(CallerConnection &c);

/// Closes the connection once all buffered bytes are sent, or if the caller
/// reads none of them for the idle timeout. An incomplete
/// streamed response then lacks its last chunk, by which the caller detects the
/// failure.
void closeCallerAfterSending(CallerConnection &c);

/// Resets the connection. \p c is deleted after the current loop iteration.
void resetCaller(CallerConnection &c);

/// Closes the connections without a request in progress, so that their callers
/// connect to another process. A request that has arrived unread is served, and
/// its response closes the connection. Those of other fronts stay open while
/// further ones are accepted: a call that is on its way is told that it hasn't
/// run.
void closeIdleCallers(RequestLoop &rl);

/// Whether some caller's request is in progress or has arrived, if only in
/// part.
[[nodiscard]] bool hasOpenRequests(const RequestLoop &rl);

/// Whether a body that has grown from \p before to \p now bytes can't be read
/// on, as all bodies together use too much memory.
[[nodiscard]] bool exceedsBodyMemory(const RequestLoop &rl,
                                     std::uint64_t before, std::uint64_t now);

// Connections to back ends ---------------------------------------------------

/// Sends \p call to \p to over an idle connection or a new one. Returns false
/// if no socket could be opened.
[[nodiscard]] bool sendCall(RequestLoop &rl, const std::shared_ptr<Call> &call,
                            BackendState &to);

/// Sends \p call over \p conn, which has no call.
void sendCallOver(BackendConnection &conn, const std::shared_ptr<Call> &call);

/// Closes the connection of a call that another back end takes over, since this
/// one has been silent for too long.
void giveUpSilent(BackendConnection &conn);

/// Aborts the current attempt of \p call by closing its back end connection.
void abortTransfer(Call &call);

/// Opens a connection to \p to that shows whether the back end still runs, and
/// keeps it for reuse. Does nothing if no socket could be opened.
void checkBackend(RequestLoop &rl, BackendState &to);

/// Closes connections that were idle for too long or whose back end is no
/// longer listed.
void closeIdleConnections(RequestLoop &rl, Time now);

// Pools ----------------------------------------------------------------------

/// Why a call isn't sent to the back ends of an evacuated zone.
inline constexpr std::string_view ZoneEvacuated = "zone evacuated";

/// Whether new calls may be sent to \p b.
[[nodiscard]] bool isUsable(const BackendState &b) noexcept;

/// Updates Backends and Pools from the board's list of back ends.
void refreshBackends(RequestLoop &rl);

/// Whether back ends of \p pool could take calls if their zones weren't
/// evacuated, and none can otherwise.
[[nodiscard]] bool isPoolEvacuated(const RequestLoop &rl, PoolId pool);

/// Returns the best back end with free capacity for \p call, or null.
[[nodiscard]] BackendState *pickBackend(RequestLoop &rl, const Call &call);

/// Returns the back end or, if their pool isn't reached from here, the peer to
/// which \p call is sent now; null if there is none.
[[nodiscard]] BackendState *pickTarget(RequestLoop &rl, const Call &call);

/// Adds \p call to the queue of its pool.
void enqueue(RequestLoop &rl, Call &call);

/// Removes \p call from its queue, if it is queued.
void dequeue(RequestLoop &rl, Call &call);

/// Sends the waiting calls of \p pool for which a back end has free capacity.
void dispatchQueued(RequestLoop &rl, PoolId pool);

/// Records a connection to \p to that was refused, reset or silent for too
/// long. Ejects the back end after several in a row; passes over a peer.
void recordLostConnection(RequestLoop &rl, BackendState &to);

/// The expected time from sending \p call to its back end to the first event.
[[nodiscard]] Duration expectedFirstEventTime(RequestLoop &rl,
                                              const Call &call);

/// The prompt tokens that \p to has to process before those of a new call, as
/// sent by all processes.
[[nodiscard]] std::uint64_t tokensAhead(const RequestLoop &rl,
                                        const BackendState &to);

/// Records that a call is being sent to \p to.
void recordSent(RequestLoop &rl, BackendState &to);

/// Records that an attempt of \p call succeeded or \p failed at its back end.
/// Counts for the back end's version if its pool has a version move. Only the
/// first attempt of a call does: a call that fails in any version would
/// otherwise count twice.
void recordMoveStats(RequestLoop &rl, Call &call, bool failed);

/// Updates the pool's time per prompt token when the first event of \p call has
/// arrived.
void recordPromptTime(RequestLoop &rl, const Call &call);

/// Updates the back end's time per event at its usual pace: \p events took
/// from \p from to \p until. A plain response counts as one event.
void recordEventTime(BackendState &to, Time from, Time until,
                     std::uint32_t events);

/// Records an answer of \p to that can't be a call's, or has no end. Counts as
/// a failed response and as a lost connection.
void recordWrongAnswer(RequestLoop &rl, BackendState &to);

/// Records a complete response of \p to. Ejects the back end if it fails more
/// often than its pool.
void recordResponse(RequestLoop &rl, BackendState &to, bool failed);

// Quarantine -----------------------------------------------------------------

/// How calls with the prompt of \p call are treated now.
[[nodiscard]] TraitStatus traitStatus(const RequestLoop &rl, const Call &call);

/// Whether \p call is suspect and has to wait for another one that shares a
/// suspect part with it.
[[nodiscard]] bool isHeldBack(const RequestLoop &rl, const Call &call);

/// Records that a back end answered \p call whole or for some time, so its
/// prompt crashes none. Its first events don't show that.
void recordAnswered(RequestLoop &rl, Call &call);

/// Called when the connection over which \p to ran \p call has ended. Records
/// the parts of its prompt if the back end has crashed.
void onConnectionLost(RequestLoop &rl, BackendState &to, const Call &call);

/// Called when \p to has refused a connection: it has crashed or left.
void onBackendDown(RequestLoop &rl, BackendState &to);

/// Records crashes that onBackendDown has found.
void recordCrashes(RequestLoop &rl, const HeldCrashes &crashes);

/// Whether a lost attempt of \p call isn't retried since its prompt may have
/// crashed back ends before.
[[nodiscard]] bool mayCrashAgain(const RequestLoop &rl, const Call &call);

/// Adds what other fronts know of crashes, and drops what is too old.
void updateCrashes(RequestLoop &rl);

// Backpressure ---------------------------------------------------------------

/// Records what the response head \p head of \p to asks for. \p echoesid: it
/// names the call that it answers.
void recordBackpressure(RequestLoop &rl, BackendState &to,
                        const MessageHead &head, bool echoesid);

/// Adds the limits that other fronts heard of, and drops what is too old.
void updateLimits(RequestLoop &rl);

/// The time until some back end of \p pool takes a call, as far as their
/// responses say; zero if one does now or all are leaving.
[[nodiscard]] Duration timeUntilSend(const RequestLoop &rl, PoolId pool);

// Brittle back ends ----------------------------------------------------------

/// Whether \p b of \p pool fails if it rejects too many calls.
[[nodiscard]] bool isBrittle(const PoolState &pool,
                             const BackendState &b) noexcept;

/// Records what a response of \p to says of its limit of rejections; nothing:
/// it isn't brittle.
void recordRejectionLimit(RequestLoop &rl, BackendState &to,
                          std::optional<double> persecond);

/// Records that \p to has answered a call, or \p rejected it for want of room.
void recordOutcome(RequestLoop &rl, BackendState &to, bool rejected);

/// Whether no call may be sent to \p b now as it is brittle and might have to
/// reject it. \p load: what is known of its load, \p peers of the calls of
/// other processes there.
[[nodiscard]] bool isPaused(RequestLoop &rl, const PoolState &pool,
                            BackendState &b, const LoadEstimate &load,
                            const BackendLoad &peers);

/// Updates the number of brittle back ends in the metrics.
void setBrittleGauge(RequestLoop &rl);

// Cold back ends -------------------------------------------------------------

/// Takes over the cold phases that the board's rows, plan and ended evacuations
/// name.
void refreshColdPools(RequestLoop &rl);

/// Updates the rates at which calls may be sent to cold back ends, and logs
/// those that have become cold or warm.
void updateColdBackends(RequestLoop &rl);

/// Whether \p b of \p pool is cold at \p now, by bootNow.
[[nodiscard]] bool isCold(const PoolState &pool, const BackendState &b,
                          Time now) noexcept;

/// The earliest time from \p now on, by bootNow, at which its cold phase lets
/// this front send a call to \p b.
[[nodiscard]] Time nextColdSendAt(const RequestLoop &rl, const PoolState &pool,
                                  const BackendState &b, Time now) noexcept;

/// Records that a call is being sent to \p to.
void recordColdSend(const PoolState &pool, BackendState &to) noexcept;

/// Marks the cold ones of RequestLoop::Candidates as not usable, and returns
/// their indexes.
[[nodiscard]] std::vector<std::size_t> setColdAside(RequestLoop &rl,
                                                    const PoolState &pool);

/// Makes only the candidates \p cold usable, for a call that no warm one has
/// room for. Returns false if there is none or \p call waits for a warm one.
[[nodiscard]] bool useColdInstead(RequestLoop &rl, const Call &call,
                                  std::span<const std::size_t> cold);

/// Whether all back ends of \p pool that may be used are cold.
[[nodiscard]] bool isPoolCold(const RequestLoop &rl, PoolId pool);

/// Records a connection to \p to that was refused, reset or silent for too
/// long: it may have started again.
void recordUnreachable(RequestLoop &rl, BackendState &to);

/// Records that \p to has answered a call.
void recordReachable(RequestLoop &rl, BackendState &to);

// Calls ----------------------------------------------------------------------

/// Starts the call of a complete request.
void startCall(CallerConnection &c, MessageHead head, std::string body);

/// Refuses the calls that wait for a back end.
void refuseWaitingCalls(RequestLoop &rl, std::string_view reason);

/// Ends the calls that were sent to a back end: those without a response so far
/// get one that promises nothing, streams are aborted.
void endSentCalls(RequestLoop &rl, std::string_view reason);

/// Sends \p call to a back end, queues it, or refuses it.
void dispatchCall(const std::shared_ptr<Call> &call);

/// Whether \p call waits by the forecast of its start, and until when it is
/// decided again. Nothing if the fixed limits of the queue time hold: in pools
/// whose back ends don't state their pace, until the rate of sends is measured,
/// and for calls that wait for something other than a free slot.
[[nodiscard]] std::optional<WaitDecision> decideWait(RequestLoop &rl,
                                                     Call &call);

/// The Retry-After of \p call, which its forecast refuses.
[[nodiscard]] Duration forecastRetryAfter(RequestLoop &rl, const Call &call);

/// The back end that takes \p call now if its attempt is given up, or null if
/// it has to stay where it is.
[[nodiscard]] BackendState *pickSuccessor(RequestLoop &rl, const Call &call);

/// Gives up the attempt of \p call and sends the call over \p next, which is
/// established. Returns false, and leaves both as they are, if the retry budget
/// is used up.
[[nodiscard]] bool takeOver(BackendConnection &next,
                            const std::shared_ptr<Call> &call,
                            std::string_view reason);

/// Called when the caller has disconnected.
void onCallerDisconnected(const std::shared_ptr<Call> &call);

/// Called when an attempt of \p call ended without a response to pass on.
/// Retries or ends the call.
void onAttemptEnd(const std::shared_ptr<Call> &call, AttemptEnd end,
                  std::string_view reason);

/// Called when a back end's response is complete.
void onResponse(const std::shared_ptr<Call> &call, const MessageHead &head,
                std::string_view body);

/// Called when part of a streamed response has arrived. Returns why the attempt
/// must end, or nothing: an event exceeds its limit, or the events don't follow
/// those that were passed on.
[[nodiscard]] std::string_view onEvents(const std::shared_ptr<Call> &call,
                                        const MessageHead &head,
                                        std::string_view part);

/// Called when a streamed response is complete.
void onStreamEnd(const std::shared_ptr<Call> &call, const MessageHead &head);

/// Marks the call as ended, and counts and logs it. The caller's response was
/// sent before. \p reason says why the call wasn't served, or is empty.
void endCall(const std::shared_ptr<Call> &call, CallEnd end, int status,
             std::string_view reason);

// The loop -------------------------------------------------------------------

/// Opens the loop and starts its timers. Fails with Unavailable.
[[nodiscard]] Result<void> startRequestLoop(RequestLoop &rl);

/// Schedules publishing this process's loads on the board after they changed.
void scheduleLoadReport(RequestLoop &rl);

/// The age of the plan's last proof; nothing if there is none.
[[nodiscard]] std::optional<Duration> planProofAge(const RequestLoop &rl);

/// Starts a graceful shutdown. The process is not ready from now on, serves
/// calls until its callers have moved to other processes, and ends before the
/// platform kills it.
void beginShutdown(RequestLoop &rl);

/// Whether the new call \p call is accepted. Late in a shutdown a call isn't,
/// if it might not end before the process does, and at its end none is.
[[nodiscard]] bool acceptsCall(const RequestLoop &rl, const Call &call);

/// Updates the allowances with the spending of all front processes, and starts
/// to track those of workspaces that are new in the plan.
void trackAllowances(RequestLoop &rl);

/// Whether the process is ready for new connections, for the readiness check.
[[nodiscard]] bool isReady(const RequestLoop &rl);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_REQUEST_LOOP_H
