// Settings of the front program.
#ifndef ZINNIAGAUGE_FRONT_FRONT_SETTINGS_H
#define ZINNIAGAUGE_FRONT_FRONT_SETTINGS_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/cold_start.h"
#include "zinniagauge/decide/freshness.h"
#include "zinniagauge/decide/pool_move.h"
#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/observe/event_log.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The settings of a front process after validation.
struct FrontSettings {
  std::string Node;
  std::string Zone;
  PeerAddress Callers; // Listening address for callers.
  PeerAddress Status;  // Listening address of the readiness check.
  PeerAddress Metrics; // Listening address of the metrics.
  /// Address for datagrams of the other front processes.
  PeerAddress GossipAddress;
  /// Listening address for calls that other front processes relay; a zero port
  /// disables relaying in both directions.
  PeerAddress RelayAddress;
  PeerAddress TableServiceAddress; // The table service.
  FreshnessLimits FreshnessBounds;
  RetryLimits Retries; // Slack is the total of all front processes.
  AllowanceMargin Margin;
  ExposureLimits Exposure; // Of a new version.
  ColdTolerance ColdCalls; // Of a cold back end, for all front processes.
  /// After this the platform kills the process.
  Duration StopTimeout = std::chrono::seconds(8);
  std::size_t MaxDescriptors = 1024; // Sockets of callers and back ends.
  double MemoryMb = 128; // Above this the platform kills the process.
  double CpuShare = 1;   // Processor time of the machine, in cores.
  double LinkMbps = 0;   // Bandwidth of its link; zero: unknown.
  EventLevel LogLevel = EventLevel::Calls;
  /// Settings in the file that this build doesn't know, such as those that a
  /// later build has and that stay in the file when it is rolled back.
  std::vector<std::string> UnknownKeys;
};

/// Parses settings from the JSON text \p text. Fails with Invalid; the error
/// lists every fault with its JSON path.
[[nodiscard]] Result<FrontSettings> parseFrontSettings(std::string_view text);

/// Reads settings from the file at \p path. Fails with NotFound if the file
/// can't be read, or as parseFrontSettings does.
[[nodiscard]] Result<FrontSettings> loadFrontSettings(const std::string &path);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_FRONT_SETTINGS_H
