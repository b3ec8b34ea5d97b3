// The graceful shutdown of a front process.
#include "zinniagauge/front/request_loop.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// Minimum time from the start of a shutdown to the end of the process, also
/// without calls: the platform sends new connections until two readiness
/// checks, one second apart, have failed.
constexpr Duration MinStopTime = std::chrono::milliseconds(3500);

/// How long new calls are accepted after the start of a shutdown that may last
/// longer than the process. In this time callers can't know yet that the
/// process is stopping.
constexpr Duration LongCallAcceptTime = std::chrono::milliseconds(2700);

/// Time reserved before the process is killed, for responses and output that
/// aren't written yet.
constexpr Duration StopMargin = std::chrono::milliseconds(500);

/// The part of StopMargin in which responses aren't sent any more.
constexpr Duration ExitMargin = std::chrono::milliseconds(200);

constexpr Duration StopCheckPeriod = std::chrono::milliseconds(100);

/// When the process stops to accept connections, at the latest.
Time closingTime(const RequestLoop &rl) {
  return rl.StoppingSince + rl.Settings.StopTimeout - StopMargin;
}

/// Whether responses are still being sent to callers.
bool isSending(const RequestLoop &rl) {
  return std::any_of(
      rl.Callers.begin(), rl.Callers.end(),
      [](const auto &item) { return pendingBytes(item.second->Tcp) > 0; });
}

/// Called while the last responses leave, after new connections are refused.
/// Requests that are still being received are refused once they are complete.
void onFlushTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  if ((isSending(rl) || hasOpenRequests(rl)) &&
      now < rl.StoppingSince + rl.Settings.StopTimeout - ExitMargin)
    arm(rl.EventLoop, rl.StopTimer, now + StopCheckPeriod);
  else
    rl.EventLoop.StopRequested = true;
}

/// Whether no call is in progress, no request has begun to arrive, and all
/// responses are sent.
bool isDone(const RequestLoop &rl) {
  return rl.ActiveCalls == 0 && !isSending(rl) && !hasOpenRequests(rl);
}

void onStopTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  // Closing the socket resets the connections that wait to be accepted.
  if (now - rl.StoppingSince >= MinStopTime)
    acceptWaiting(rl.Listening);
  const bool done = now - rl.StoppingSince >= MinStopTime && isDone(rl);
  if (!done && now < closingTime(rl)) {
    arm(rl.EventLoop, rl.StopTimer, now + StopCheckPeriod);
    return;
  }
  rl.Closing = true;
  stopListening(rl.Listening);
  stopListening(rl.PeerListening);
  refuseWaitingCalls(rl, "stopping");
  endSentCalls(rl, "stopping");
  closeIdleCallers(rl);
  rl.StopTimer.Fn = onFlushTimer;
  arm(rl.EventLoop, rl.StopTimer, now + StopCheckPeriod);
}

} // namespace

void beginShutdown(RequestLoop &rl) {
  if (rl.Board.Stopping.exchange(true))
    return;
  EventLine line = eventLine("stopping");
  add(line, "calls", static_cast<std::int64_t>(rl.ActiveCalls));
  rl.Log.write(line);
  rl.StoppingSince = rl.EventLoop.Now;
  rl.StopTimer.Fn = onStopTimer;
  rl.StopTimer.Ctx = &rl;
  arm(rl.EventLoop, rl.StopTimer, rl.StoppingSince + StopCheckPeriod);
  closeIdleCallers(rl);
  scheduleLoadReport(rl);
}

bool acceptsCall(const RequestLoop &rl, const Call &call) {
  if (!rl.Board.Stopping)
    return true;
  if (rl.Closing || call.FromPeer)
    return false; // Another front can serve a relayed call.
  return rl.EventLoop.Now - rl.StoppingSince < LongCallAcceptTime ||
         (call.Facts.Kind != CallKind::Stream &&
          call.Deadline <= closingTime(rl));
}

} // namespace zinniagauge
