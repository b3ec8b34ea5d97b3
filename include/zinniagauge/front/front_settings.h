// Settings of the front program.
#ifndef ZINNIAGAUGE_FRONT_FRONT_SETTINGS_H
#define ZINNIAGAUGE_FRONT_FRONT_SETTINGS_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/freshness.h"
#include "zinniagauge/decide/retry_window.h"
#include "zinniagauge/observe/event_log.h"

#include <cstddef>
#include <string>

namespace zinniagauge {

/// The settings, as read and checked.
struct FrontSettings {
  std::string Node;
  std::string Zone;
  PeerAddress Callers; // Where callers connect.
  PeerAddress Status;  // Readiness.
  PeerAddress Metrics;
  PeerAddress Peers;        // Datagrams of the other fronts.
  PeerAddress TableService; // The table service.
  FreshnessLimits FreshnessBounds;
  RetryLimits Retries; // Slack is that of all fronts.
  AllowanceMargin Margin;
  Duration StopTimeout =
      std::chrono::seconds(8); // Until the process is killed.
  std::size_t MaxDescriptors = 1024;
  EventLevel LogLevel = EventLevel::Calls;
};

/// Reads settings from the JSON text \p text. Fails with Invalid, naming every
/// fault by its path.
[[nodiscard]] Result<FrontSettings> parseFrontSettings(std::string_view text);

/// Reads settings from the file at \p path.
[[nodiscard]] Result<FrontSettings> loadFrontSettings(const std::string &path);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_FRONT_SETTINGS_H
