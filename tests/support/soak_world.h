// The world of a fault soak: fronts, store, engines, callers, proxies, and the
// faults that befall them.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SOAK_WORLD_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SOAK_WORLD_H

#include "support/consortium.h"
#include "support/consortium_rows.h"
#include "support/processes.h"
#include "support/relay.h"
#include "support/soak_callers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinniagauge::testing {

struct SoakOptions {
  std::uint64_t Seed = 1;
  std::uint64_t Seconds = 30;
  std::uint64_t Fronts = 3;
  std::uint64_t Engines = 4;
  std::uint64_t Callers = 24;
  std::string Logs;
};

/// When something held; To is the end of time while it lasts.
struct Span {
  Time From;
  Time To = Time::max();
};

/// Whether one of \p spans has a moment between \p from and \p to.
[[nodiscard]] bool overlaps(const std::vector<Span> &spans, Time from, Time to);

/// One front and what was done to it.
struct SoakFront {
  std::string Name;
  FrontPorts Ports;
  std::string Settings; // Path of its file.
  std::optional<Process> Proc;
  bool Paused = false;
  int Turn = 0; // Rises whenever it is disturbed anew.
  Time Started;
  Time Signalled;              // To stop or reload, last.
  Time StopAsked;              // Zero: it wasn't told to stop.
  std::vector<Span> Disturbed; // Paused, killed or not started.
  std::vector<Span> CutOff;    // From the store.
  std::string Output;          // Of processes that ended.
  Relay Store;
};

/// One engine.
struct SoakEngine {
  std::uint16_t Port = 0; // Of its relay, which fronts know.
  Relay Path;
  int Born = 1;
  std::vector<Span> Leaving; // From the store's ack until it is born again.
};

struct SoakWorld {
  explicit SoakWorld(const SoakOptions &opt);

  SoakOptions Options;
  std::uint64_t Random = 0;
  Consortium Platform;
  SoakCallers Callers;
  std::vector<std::unique_ptr<SoakFront>> Fronts;
  std::vector<std::unique_ptr<SoakEngine>> Engines;
  std::vector<Span> StoreOut; // Any trouble of the store itself.
  std::map<std::string, std::vector<Span>> Withdrawn; // By key.
  std::set<std::string> Keys;                         // In force.
  int Version = 1;                                    // Of the configuration.
  std::multimap<Time, std::function<void()>> Due;
  LoopTimer Tick;
  Time FaultsEnd;
  Time QuietEnd;
  std::map<std::string, int> Faults; // How often each kind came.
  std::vector<std::string> Broken;   // Promises seen broken while it runs.
  ScratchFolder Folder;
};

/// After this a withdrawn key does nothing.
inline constexpr Duration KeyTime = std::chrono::seconds(5);

/// How long after the faults all must be well again, and for how long calls are
/// then looked at.
inline constexpr Duration RecoveryTime = std::chrono::seconds(8);
inline constexpr Duration WellTime = std::chrono::seconds(3);

/// Starts everything; the loop of the platform then runs it to its end. Fails
/// with Unavailable.
[[nodiscard]] Result<void> startWorld(SoakWorld &w);

/// "12 faults: kill 3, pause 9".
[[nodiscard]] std::string describeFaults(const SoakWorld &w);

/// Writes the fronts' logs to the folder that the options name.
void keepLogs(const SoakWorld &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SOAK_WORLD_H
