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

/// Time reserved before the process is killed, for output that isn't written
/// yet.
constexpr Duration StopMargin = std::chrono::milliseconds(500);

constexpr Duration StopCheckPeriod = std::chrono::milliseconds(100);

/// How long the last responses have to leave after new connections are refused.
constexpr Duration FlushTime = std::chrono::milliseconds(100);

/// When the process stops to accept connections, at the latest.
Time closingTime(const RequestLoop &rl) {
  return rl.StoppingSince + rl.Settings.StopTimeout - StopMargin;
}

void onFlushTimer(void *ctx, Time /*now*/) {
  static_cast<RequestLoop *>(ctx)->EventLoop.StopRequested = true;
}

void onStopTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  const bool idle =
      rl.ActiveCalls == 0 && now - rl.StoppingSince >= MinStopTime;
  if (!idle && now < closingTime(rl)) {
    arm(rl.EventLoop, rl.StopTimer, now + StopCheckPeriod);
    return;
  }
  stopListening(rl);
  refuseWaitingCalls(rl, "stopping");
  endSentCalls(rl, "stopping");
  closeIdleCallers(rl);
  rl.StopTimer.Fn = onFlushTimer;
  arm(rl.EventLoop, rl.StopTimer, now + FlushTime);
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
}

bool acceptsCall(const RequestLoop &rl, const Call &call) {
  if (!rl.Board.Stopping)
    return true;
  return rl.EventLoop.Now - rl.StoppingSince < LongCallAcceptTime ||
         (call.Facts.Kind != CallKind::Stream &&
          call.Deadline <= closingTime(rl));
}

} // namespace zinniagauge
