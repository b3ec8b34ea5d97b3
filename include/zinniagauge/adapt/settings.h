// The settings of the programs: plain structs, read from JSON files that are
// validated completely before any value is used.
#ifndef ZINNIAGAUGE_ADAPT_SETTINGS_H
#define ZINNIAGAUGE_ADAPT_SETTINGS_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The format of log lines.
enum class LogFormat : std::uint8_t { Json, Plain };

/// The severity of log lines. As a setting, the lowest severity that is logged.
enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Where and how a program logs.
struct LogSettings {
  LogFormat Format = LogFormat::Json;
  LogLevel Level = LogLevel::Info;
  std::string File; // Empty: standard error.
};

/// The settings of zinnia-entry. Addresses are "ip:port".
struct EntrySettings {
  std::string VmName;
  std::string ZoneName;
  std::string HttpAddress;    // Serves callers.
  std::string RpcAddress;     // Serves other entries and the local agent.
  std::string MetricsAddress; // Serves metrics and probes.
  std::string PlatformUrl;    // Empty: keyed calls that may run only once are
                              // rejected.
  std::uint32_t IoThreads = 2;
  std::uint32_t WorkerThreads = 2;
  std::uint64_t MaxBodyBytes = std::uint64_t{8} << 20U;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration BodyTimeout = std::chrono::seconds(30);
  Duration KeepAliveTimeout = std::chrono::minutes(5);
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  Duration FirstByteTimeout = std::chrono::seconds(60);
  Duration IdleTimeout = std::chrono::seconds(15);
  Duration PeerHeartbeatPeriod = std::chrono::milliseconds(500);
  Duration PeerTimeout = std::chrono::milliseconds(2000);
  Duration PlatformTimeout = std::chrono::milliseconds(2000);
  Duration StopTimeout = std::chrono::seconds(60);
  LogSettings Log;
};

/// An operator's API key. Only its digest is stored.
struct OperatorKey {
  std::string Name;
  std::string Digest; // SHA-256 of the key, lower-case hexadecimal.
};

/// The settings of zinnia-agent. Addresses are "ip:port".
struct AgentSettings {
  std::string VmName;
  std::string ZoneName;
  std::string RpcAddress;          // Serves other agents.
  std::string EntryRpcAddress;     // Of the local entry; sent to other VMs.
  std::string EntryHttpAddress;    // Of the local entry.
  std::string EntryMetricsAddress; // Of the local entry; sent to other VMs.
  std::string OperatorAddress;     // Serves the operator API.
  std::string MetricsAddress;      // Serves metrics and probes.
  std::vector<OperatorKey> OperatorKeys;
  std::string PlatformUrl;
  std::vector<std::string> PeerAgents; // RPC addresses to contact first.
  Duration HeartbeatPeriod = std::chrono::milliseconds(500);
  Duration SuspectAfter = std::chrono::milliseconds(2000);
  Duration DeadAfter = std::chrono::milliseconds(6000);
  Duration PollPeriod = std::chrono::milliseconds(1000);
  Duration VmListPeriod = std::chrono::milliseconds(2000);
  Duration EndpointPeriod = std::chrono::milliseconds(500);
  Duration MovePeriod = std::chrono::milliseconds(500);
  Duration LeaseTtl = std::chrono::milliseconds(5000);
  Duration PlatformTimeout = std::chrono::milliseconds(2000);
  Duration EndpointTimeout = std::chrono::milliseconds(1000);
  Duration StopTimeout = std::chrono::seconds(60);
  LogSettings Log;
};

/// One fault in a settings file.
struct SettingsFault {
  std::string Path;   // JSON pointer, such as "/io_threads"; empty: the file.
  std::string Detail; // What was expected and what was found.
};

/// Parses the settings of an entry from the JSON text \p text. If there are
/// faults, adds all of them to \p faults and fails with Invalid.
[[nodiscard]] Result<EntrySettings>
parseEntrySettings(std::string_view text, std::vector<SettingsFault> &faults);

/// Parses the settings of an agent as parseEntrySettings does those of an
/// entry.
[[nodiscard]] Result<AgentSettings>
parseAgentSettings(std::string_view text, std::vector<SettingsFault> &faults);

/// Reads the settings of an entry from the file at \p path. Fails with NotFound
/// if it can't be read and with Invalid if it has faults; in both cases adds
/// the reasons to \p faults.
[[nodiscard]] Result<EntrySettings>
loadEntrySettings(const std::string &path, std::vector<SettingsFault> &faults);

/// Reads the settings of an agent as loadEntrySettings does those of an entry.
[[nodiscard]] Result<AgentSettings>
loadAgentSettings(const std::string &path, std::vector<SettingsFault> &faults);

/// Formats one line for each fault: "file: /path: detail".
[[nodiscard]] std::string describe(std::string_view file,
                                   std::span<const SettingsFault> faults);

/// The two parts of an address "ip:port".
struct IpPort {
  std::string Host;
  std::uint16_t Port = 0;
};

/// Splits \p address into its parts. Returns an empty host if it has no colon
/// or no valid port; the IP address itself is not checked, since settings are
/// validated before.
[[nodiscard]] IpPort splitAddress(std::string_view address);

/// The JSON Schema that the settings of an entry are validated against.
[[nodiscard]] std::string entrySettingsSchema();

/// The JSON Schema that the settings of an agent are validated against.
[[nodiscard]] std::string agentSettingsSchema();

/// The text of docs/SETTINGS.md, generated from the same table as the schemas.
[[nodiscard]] std::string settingsPage();

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_SETTINGS_H
