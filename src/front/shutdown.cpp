// The graceful shutdown of a front process.
#include "zinniagauge/front/request_loop.h"

namespace zinniagauge {

namespace {

/// Minimum time from the start of a shutdown to the end of the process, also
/// without calls: the platform sends new connections until two readiness
/// checks, one second apart, have failed.
constexpr Duration MinStopTime = std::chrono::milliseconds(3500);

/// How long new streams are accepted after the start of a shutdown. A stream
/// may last longer than the process, but in this time callers can't know yet
/// that the process is stopping.
constexpr Duration StreamAcceptTime = std::chrono::milliseconds(2700);

/// Time reserved before the process is killed, for output that isn't written
/// yet.
constexpr Duration StopMargin = std::chrono::milliseconds(500);

constexpr Duration StopCheckPeriod = std::chrono::milliseconds(100);

void onStopTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  const Duration since = now - rl.StoppingSince;
  const bool idle = rl.ActiveCalls == 0 && since >= MinStopTime;
  if (idle || since >= rl.Settings.StopTimeout - StopMargin) {
    rl.EventLoop.StopRequested = true;
    return;
  }
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
}

bool acceptsStreams(const RequestLoop &rl) {
  return !rl.Board.Stopping ||
         rl.EventLoop.Now - rl.StoppingSince < StreamAcceptTime;
}

} // namespace zinniagauge
