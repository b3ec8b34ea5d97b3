// The settings of the programs: plain structs, read from JSON files that are
// checked whole before any value is used.
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

/// How log lines are written.
enum class LogFormat : std::uint8_t { Json, Plain };

/// The least severity that is logged.
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
  std::string HttpAddress;    // Towards callers.
  std::string RpcAddress;     // Towards other entries and the local agent.
  std::string MetricsAddress; // Metrics and probes.
  std::string PlatformUrl;    // Empty: keyed calls that may run once only are
                              // refused.
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

/// An operator's key, kept as its digest only.
struct OperatorKey {
  std::string Name;
  std::string Digest; // SHA-256 of the key, lower-case hexadecimal.
};

/// The settings of zinnia-agent. Addresses are "ip:port".
struct AgentSettings {
  std::string VmName;
  std::string ZoneName;
  std::string RpcAddress;          // Towards other agents.
  std::string EntryRpcAddress;     // Of the entry on this VM; told to members.
  std::string EntryHttpAddress;    // Likewise.
  std::string EntryMetricsAddress; // Likewise.
  std::string OperatorAddress;     // The operator API.
  std::string MetricsAddress;      // Metrics and probes.
  std::vector<OperatorKey> OperatorKeys;
  std::string PlatformUrl;
  std::vector<std::string> PeerAgents; // RPC addresses to meet others by.
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

/// One thing that is wrong with a settings file.
struct SettingsFault {
  std::string Path;   // Of the value, such as "/io_threads"; empty: the file.
  std::string Detail; // What was expected and what was found.
};

/// Reads the settings of an entry from the JSON text \p text. Fails with
/// Invalid and adds every fault found to \p faults.
[[nodiscard]] Result<EntrySettings>
parseEntrySettings(std::string_view text, std::vector<SettingsFault> &faults);

/// Likewise for an agent.
[[nodiscard]] Result<AgentSettings>
parseAgentSettings(std::string_view text, std::vector<SettingsFault> &faults);

/// Reads the settings of an entry from the file at \p path. Fails with NotFound
/// if it can't be read, else as parseEntrySettings does; either way \p faults
/// says why.
[[nodiscard]] Result<EntrySettings>
loadEntrySettings(const std::string &path, std::vector<SettingsFault> &faults);

/// Likewise for an agent.
[[nodiscard]] Result<AgentSettings>
loadAgentSettings(const std::string &path, std::vector<SettingsFault> &faults);

/// One line for each fault: "file: /path: detail".
[[nodiscard]] std::string describe(std::string_view file,
                                   std::span<const SettingsFault> faults);

/// An "ip:port" in its two parts.
struct IpPort {
  std::string Host;
  std::uint16_t Port = 0;
};

/// Splits \p address, which the settings have checked; an address that is no
/// "ip:port" gives an empty host.
[[nodiscard]] IpPort splitAddress(std::string_view address);

/// The JSON Schemas that the settings are checked against.
[[nodiscard]] std::string entrySettingsSchema();
[[nodiscard]] std::string agentSettingsSchema();

/// The text of docs/SETTINGS.md, made from the same table as the schemas.
[[nodiscard]] std::string settingsPage();

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_SETTINGS_H
