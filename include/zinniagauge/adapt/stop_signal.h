// Waiting for the signal that stops a program by plan.
#ifndef ZINNIAGAUGE_ADAPT_STOP_SIGNAL_H
#define ZINNIAGAUGE_ADAPT_STOP_SIGNAL_H

namespace zinniagauge {

/// Keeps SIGTERM and SIGINT for waitForStop, and ignores SIGPIPE. To be called
/// before any thread starts, since threads inherit what is blocked.
void blockStopSignals() noexcept;

/// Sleeps until SIGTERM or SIGINT arrives.
void waitForStopSignal() noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_STOP_SIGNAL_H
