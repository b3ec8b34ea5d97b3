// The deployment of a fault soak: fronts, store, engines, callers and proxies,
// and the faults that are injected into them.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_SOAK_WORLD_H
#define ZINNIAGAUGE_TESTS_SUPPORT_SOAK_WORLD_H

#include "support/consortium.h"
#include "support/consortium_rows.h"
#include "support/processes.h"
#include "support/relay.h"
#include "support/soak_callers.h"

#include <deque>
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
  /// The zinnia-front of another build, which each start of a front uses in one
  /// of two cases; empty: none.
  std::string OtherFront;
};

/// A range of time; End is Time::max() while it lasts.
struct TimeRange {
  Time Begin;
  Time End = Time::max();
};

/// Whether one of \p ranges overlaps the time from \p from to \p to.
[[nodiscard]] bool overlaps(const std::vector<TimeRange> &ranges, Time from,
                            Time to);

/// One front and the faults that were injected into it.
struct SoakFront {
  std::string Name;
  FrontPorts Ports;
  std::string Settings; // Path of the settings file.
  /// Likewise, with what any build knows.
  std::string CommonSettings;
  std::optional<Process> Proc;
  bool Paused = false;
  int Disturbances = 0; // Incremented at each disturbance.
  Time StartedAt;
  Time SignalledAt;                   // The last SIGTERM or SIGHUP.
  Time StopSentAt;                    // Time(): no SIGTERM was sent.
  std::vector<TimeRange> Disturbed;   // Paused, killed or not started.
  std::vector<TimeRange> StoreFaults; // Faults of StoreRelay.
  std::vector<TimeRange> OtherBuild;  // It ran Options.OtherFront.
  std::string Output;                 // Of the processes that have ended.
  Relay StoreRelay;
};

/// One engine of the soak.
struct SoakEngine {
  std::uint16_t Port = 0; // Port of its relay; fronts connect to it.
  Relay EngineRelay;
  int Incarnation = 1;
  // From the write of the state "draining" until the next start.
  std::vector<TimeRange> Draining;
  std::vector<TimeRange> PathFaults; // Faults of EngineRelay.
  std::vector<TimeRange> Asking;     // It asks for less in its responses.
};

/// The whole deployment and its recorded faults.
struct SoakWorld {
  explicit SoakWorld(const SoakOptions &opt);

  SoakOptions Options;
  std::uint64_t Random = 0;
  // Separate, so that a seed's faults stay the same without what engines ask.
  std::uint64_t AskRandom = 0;
  std::uint64_t RestoreRandom = 0;    // Likewise, for restores of the store.
  std::uint64_t EvacuationRandom = 0; // Likewise, for evacuations.
  std::uint64_t PlanRandom = 0;  // Likewise, for changes of the configuration.
  std::uint64_t BuildRandom = 0; // Likewise, for the builds of the fronts.
  std::uint64_t SizeRandom = 0;  // Likewise, for the size of the configuration.
  Consortium Platform;
  SoakCallers Callers;
  SoakCallers Probes; // Call routes that come and go with the configuration.
  std::vector<std::unique_ptr<SoakFront>> Fronts;
  std::vector<std::unique_ptr<SoakEngine>> Engines;
  std::vector<TimeRange> StoreOutages; // Faults of the store itself.
  /// From when the store is away until all is written again that the copy
  /// lacked.
  std::vector<TimeRange> StoreRestores;
  std::deque<StoreCopy> Copies; // The oldest first, CopyPeriod apart.
  /// The rows that operators and engines have written last, by table and key.
  std::map<std::pair<std::string, std::string>, nlohmann::json> Written;
  std::map<std::string, std::vector<TimeRange>> WithdrawnKeys; // By key.
  std::map<std::string, std::vector<TimeRange>> Evacuations;   // By zone.
  std::set<std::string> ActiveKeys;                            // Valid keys.
  int Version = 1;               // Version of the configuration.
  int MoreRoutes = 0;            // Beside those of a small configuration.
  std::map<int, Time> WrittenAt; // When each version was written.
  std::multimap<Time, std::function<void()>> PendingEvents;
  LoopTimer Tick;
  Time FaultsEnd;
  Time QuietEnd;
  std::map<std::string, int> Faults;   // Count of each kind.
  std::vector<std::string> Violations; // Found while the soak runs.
  ScratchFolder Folder;
};

/// The routes that a large configuration has beside those of a small one.
inline constexpr int MaxMoreRoutes = 1400;

/// The time after which a withdrawn key must be rejected.
inline constexpr Duration KeyWithdrawalTimeout = std::chrono::seconds(5);

/// The time after which a change of the configuration must be in force, as the
/// fronts' settings say.
inline constexpr Duration PlanApplyTimeout = std::chrono::seconds(2);

/// The path of a route that the configurations of \p version and of the one
/// after it have.
[[nodiscard]] std::string probePath(int version);

/// The time after which an evacuated zone must get no calls.
inline constexpr Duration EvacuationTimeout = std::chrono::seconds(5);

/// The zone of engine \p n.
[[nodiscard]] const char *zoneOfEngine(std::size_t n) noexcept;

/// What engines in need ask for: the calls a second that they take from all
/// fronts, or the seconds for which they take none.
inline constexpr const char *LimitLine = "Server-Limit: 2\r\n";
inline constexpr double AskedLimit = 2;
inline constexpr const char *LeavingLine = "Server-Leaving: 1\r\n";
inline constexpr const char *RetryAfterLine = "Retry-After: 2\r\n";
inline constexpr Duration AskedRetryAfter = std::chrono::seconds(2);

/// The time after the last fault within which all calls must succeed again, and
/// how long calls are checked after that.
inline constexpr Duration RecoveryTimeout = std::chrono::seconds(8);
inline constexpr Duration HealthyPeriod = std::chrono::seconds(3);

/// Starts everything. The caller then runs the loop of Platform, which returns
/// when the soak is over. Fails with Unavailable.
[[nodiscard]] Result<void> startWorld(SoakWorld &w);

/// A summary such as "12 faults: kill 3, pause 9".
[[nodiscard]] std::string describeFaults(const SoakWorld &w);

/// Writes the logs of the fronts to the folder Options.Logs, if that is set.
void writeLogs(const SoakWorld &w);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_SOAK_WORLD_H
