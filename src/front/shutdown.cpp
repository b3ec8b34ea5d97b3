#include "zinniagauge/front/request_loop.h"

namespace zinniagauge {

namespace {

/// How long a stopping process stays though it has nothing to do: the platform
/// sends new connections until it has asked twice, a second apart.
constexpr Duration StopNotice = std::chrono::milliseconds(3500);

/// How long it takes streams: a stream may outlast the process, and one that
/// came so early was taken before callers could know.
constexpr Duration StreamNotice = std::chrono::milliseconds(2700);

/// Left of the time until the process is killed, for what still has to be
/// written.
constexpr Duration StopMargin = std::chrono::milliseconds(500);

constexpr Duration StopLook = std::chrono::milliseconds(100);

void onStopTimer(void *ctx, Time now) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  const Duration since = now - rl.StoppingSince;
  const bool idle = rl.ActiveCalls == 0 && since >= StopNotice;
  if (idle || since >= rl.Settings.StopTimeout - StopMargin) {
    rl.EventLoop.StopRequested = true;
    return;
  }
  arm(rl.EventLoop, rl.StopTimer, now + StopLook);
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
  arm(rl.EventLoop, rl.StopTimer, rl.StoppingSince + StopLook);
  closeIdleCallers(rl);
}

bool acceptsStreams(const RequestLoop &rl) {
  return !rl.Board.Stopping ||
         rl.EventLoop.Now - rl.StoppingSince < StreamNotice;
}

} // namespace zinniagauge
