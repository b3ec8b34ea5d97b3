// Waiting for the signal that starts a graceful shutdown.
#ifndef ZINNIAGAUGE_ADAPT_STOP_SIGNAL_H
#define ZINNIAGAUGE_ADAPT_STOP_SIGNAL_H

namespace zinniagauge {

/// Blocks SIGTERM and SIGINT, so that waitForStopSignal can receive them, and
/// ignores SIGPIPE. Must be called before any thread starts, since threads
/// inherit the signal mask.
void blockStopSignals() noexcept;

/// Blocks until SIGTERM or SIGINT arrives.
void waitForStopSignal() noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_STOP_SIGNAL_H
