// Defines the tables of settings, and parses and validates settings by them.

#include "zinniagauge/adapt/settings.h"

#include "settings_table.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <set>
#include <type_traits>
#include <variant>

namespace zinniagauge {

using impl::SettingSpec;
using impl::SettingType;
using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 2> FormatNames = {"json", "plain"};
constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn",
                                                        "error"};

constexpr std::uint64_t HourMs = 3'600'000;

/// Points to the member of T or of its LogSettings that stores a setting's
/// value.
template <typename T>
using MemberPointer =
    std::variant<std::string T::*, std::vector<std::string> T::*,
                 std::vector<OperatorKey> T::*, std::uint32_t T::*,
                 std::uint64_t T::*, Duration T::*, std::string LogSettings::*,
                 LogFormat LogSettings::*, LogLevel LogSettings::*>;

/// One setting and the member that stores its value. The default is the value
/// of that member in a default-constructed T.
template <typename T> struct Field {
  SettingSpec Spec;
  MemberPointer<T> Pointer;
};

template <typename T>
Field<T> text(std::string_view key, SettingType type, bool required,
              std::string T::*member, std::string_view help) {
  return {{.Key = key, .Help = help, .Type = type, .Required = required},
          member};
}

template <typename T>
Field<T> required(std::string_view key, SettingType type,
                  std::string T::*member, std::string_view help) {
  return text(key, type, true, member, help);
}

template <typename T>
Field<T> millis(std::string_view key, std::uint64_t max, Duration T::*member,
                std::string_view help) {
  return {{.Key = key,
           .Unit = "ms",
           .Help = help,
           .Type = SettingType::Number,
           .Min = 1,
           .Max = max},
          member};
}

template <typename T, typename N>
Field<T> number(std::string_view key, std::string_view unit, std::uint64_t min,
                std::uint64_t max, N T::*member, std::string_view help) {
  return {{.Key = key,
           .Unit = unit,
           .Help = help,
           .Type = SettingType::Number,
           .Min = min,
           .Max = max},
          member};
}

template <typename T> void addLogFields(std::vector<Field<T>> &to) {
  to.push_back({{.Key = "log_format",
                 .Help = "How log lines are written.",
                 .Type = SettingType::Choice,
                 .Choices = FormatNames},
                &LogSettings::Format});
  to.push_back({{.Key = "log_level",
                 .Help = "The least severity that is logged.",
                 .Type = SettingType::Choice,
                 .Choices = LevelNames},
                &LogSettings::Level});
  to.push_back({{.Key = "log_file",
                 .Help = "Where log lines go; none: standard error.",
                 .Type = SettingType::Text},
                &LogSettings::File});
}

template <typename T> void addNameFields(std::vector<Field<T>> &to) {
  to.push_back(required("vm_name", SettingType::Name, &T::VmName,
                        "The name of this VM, as in the VM list."));
  to.push_back(required("zone_name", SettingType::Name, &T::ZoneName,
                        "The availability zone of this VM."));
}

void addEntryAddresses(std::vector<Field<EntrySettings>> &to) {
  using S = EntrySettings;
  constexpr auto Address = SettingType::Address;
  to.push_back(
      required("http_address", Address, &S::HttpAddress, "Serves callers."));
  to.push_back(required("rpc_address", Address, &S::RpcAddress,
                        "Serves other entries and the agent of this VM."));
  to.push_back(required("metrics_address", Address, &S::MetricsAddress,
                        "Serves /metrics, /livez, /startupz and /readyz."));
  to.push_back(text("platform_url", SettingType::Url, false, &S::PlatformUrl,
                    "The platform's service, for claims; none: keyed calls "
                    "that may run once only are refused."));
}

void addEntryLimits(std::vector<Field<EntrySettings>> &to) {
  using S = EntrySettings;
  constexpr std::uint64_t MinBodyBytes = 1024;
  constexpr std::uint64_t MaxBodyBytes = std::uint64_t{1} << 30U;
  to.push_back(number("io_threads", "", 1, 64, &S::IoThreads,
                      "Threads that read requests and write answers."));
  to.push_back(number("worker_threads", "", 1, 64, &S::WorkerThreads,
                      "Threads that call endpoints."));
  to.push_back(number("max_body_bytes", "bytes", MinBodyBytes, MaxBodyBytes,
                      &S::MaxBodyBytes,
                      "The largest request that is read, with its headers."));
}

void addEntryTimeouts(std::vector<Field<EntrySettings>> &to) {
  using S = EntrySettings;
  constexpr std::uint64_t MinuteMs = 60'000;
  const auto add = [&](std::string_view key, std::uint64_t max,
                       Duration S::*member, std::string_view help) {
    to.push_back(millis(key, max, member, help));
  };
  add("header_timeout_ms", MinuteMs, &S::HeaderTimeout,
      "For a caller to send the headers.");
  add("body_timeout_ms", HourMs, &S::BodyTimeout,
      "For a caller to send the body.");
  add("keep_alive_timeout_ms", HourMs, &S::KeepAliveTimeout,
      "How long an idle connection of a caller is kept.");
  add("connect_timeout_ms", MinuteMs, &S::ConnectTimeout,
      "To open a connection to an endpoint.");
  add("first_byte_timeout_ms", HourMs, &S::FirstByteTimeout,
      "From dispatch to the endpoint's first byte.");
  add("idle_timeout_ms", HourMs, &S::IdleTimeout,
      "Between two parts of an endpoint's answer.");
  add("peer_heartbeat_period_ms", MinuteMs, &S::PeerHeartbeatPeriod,
      "Between heartbeats on a connection to a scheduler.");
  add("peer_timeout_ms", MinuteMs, &S::PeerTimeout,
      "After which a silent scheduler is left for the next.");
  add("platform_timeout_ms", MinuteMs, &S::PlatformTimeout,
      "For a claim in the table service.");
  add("stop_timeout_ms", HourMs, &S::StopTimeout,
      "For requests in progress to finish when the entry stops.");
}

std::vector<Field<EntrySettings>> entryFields() {
  std::vector<Field<EntrySettings>> fields;
  addNameFields(fields);
  addEntryAddresses(fields);
  addEntryLimits(fields);
  addEntryTimeouts(fields);
  addLogFields(fields);
  return fields;
}

void addAgentAddresses(std::vector<Field<AgentSettings>> &to) {
  using S = AgentSettings;
  const auto add = [&](std::string_view key, std::string S::*member,
                       std::string_view help) {
    to.push_back(required(key, SettingType::Address, member, help));
  };
  add("rpc_address", &S::RpcAddress, "Serves other agents.");
  add("entry_rpc_address", &S::EntryRpcAddress,
      "The rpc_address of the entry on this VM, told to other VMs.");
  add("entry_http_address", &S::EntryHttpAddress,
      "The http_address of the entry on this VM.");
  add("entry_metrics_address", &S::EntryMetricsAddress,
      "The metrics_address of the entry on this VM.");
  add("operator_address", &S::OperatorAddress, "Serves the operator API.");
  add("metrics_address", &S::MetricsAddress,
      "Serves /metrics, /livez, /startupz and /readyz.");
  to.push_back(required("platform_url", SettingType::Url, &S::PlatformUrl,
                        "The platform's service."));
}

void addAgentLists(std::vector<Field<AgentSettings>> &to) {
  using S = AgentSettings;
  to.push_back({{.Key = "operator_keys",
                 .Help = "Who may use the operator API.",
                 .Type = SettingType::Keys},
                &S::OperatorKeys});
  to.push_back({{.Key = "peer_agents",
                 .Help = "rpc_address of agents to meet the others by; the VM "
                         "list tells of more.",
                 .Type = SettingType::Addresses},
                &S::PeerAgents});
}

void addAgentPeriods(std::vector<Field<AgentSettings>> &to) {
  using S = AgentSettings;
  constexpr std::uint64_t MinuteMs = 60'000;
  const auto add = [&](std::string_view key, std::uint64_t max,
                       Duration S::*member, std::string_view help) {
    to.push_back(millis(key, max, member, help));
  };
  add("heartbeat_period_ms", MinuteMs, &S::HeartbeatPeriod,
      "Between exchanges with other agents.");
  add("suspect_after_ms", HourMs, &S::SuspectAfter,
      "Silence after which a VM is suspect.");
  add("dead_after_ms", HourMs, &S::DeadAfter,
      "Silence after which others take a VM's roles.");
  add("poll_period_ms", MinuteMs, &S::PollPeriod,
      "Between reads of the bundle's head in the table.");
  add("vm_list_period_ms", MinuteMs, &S::VmListPeriod,
      "Between reads of the VM list.");
  add("endpoint_period_ms", MinuteMs, &S::EndpointPeriod,
      "Between calls to an endpoint for its status and load.");
  add("move_period_ms", MinuteMs, &S::MovePeriod,
      "Between steps of a version move.");
  add("lease_ttl_ms", HourMs, &S::LeaseTtl,
      "How long the lease on a version move holds.");
  add("platform_timeout_ms", MinuteMs, &S::PlatformTimeout,
      "For one call to the platform.");
  add("endpoint_timeout_ms", MinuteMs, &S::EndpointTimeout,
      "For one call to an endpoint.");
  add("stop_timeout_ms", HourMs, &S::StopTimeout,
      "For the entry to finish its requests when the VM stops.");
}

std::vector<Field<AgentSettings>> agentFields() {
  std::vector<Field<AgentSettings>> fields;
  addNameFields(fields);
  addAgentAddresses(fields);
  addAgentLists(fields);
  addAgentPeriods(fields);
  addLogFields(fields);
  return fields;
}

/// Conversions to JSON and from JSON for every type of a setting's value.
json toJson(const std::string &val) { return val; }
json toJson(const std::vector<std::string> &val) { return val; }
json toJson(const std::vector<OperatorKey> &) { return json::array(); }
json toJson(std::uint32_t val) { return val; }
json toJson(std::uint64_t val) { return val; }
json toJson(Duration val) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(val).count();
}
json toJson(LogFormat val) {
  return FormatNames[static_cast<std::size_t>(val)];
}
json toJson(LogLevel val) { return LevelNames[static_cast<std::size_t>(val)]; }

void fromJson(const json &doc, std::string &val) { doc.get_to(val); }
void fromJson(const json &doc, std::vector<std::string> &val) {
  doc.get_to(val);
}
void fromJson(const json &doc, std::vector<OperatorKey> &val) {
  for (const json &it : doc)
    val.push_back({it.at("name"), it.at("sha256")});
}
void fromJson(const json &doc, std::uint32_t &val) { doc.get_to(val); }
void fromJson(const json &doc, std::uint64_t &val) { doc.get_to(val); }
void fromJson(const json &doc, Duration &val) {
  val = std::chrono::milliseconds(doc.get<std::int64_t>());
}

template <typename E, std::size_t N>
void fromNames(const json &doc, std::span<const std::string_view, N> names,
               E &val) {
  for (std::size_t i = 0; i < N; ++i)
    if (doc == names[i])
      val = static_cast<E>(i);
}
void fromJson(const json &doc, LogFormat &val) {
  fromNames(doc, std::span(FormatNames), val);
}
void fromJson(const json &doc, LogLevel &val) {
  fromNames(doc, std::span(LevelNames), val);
}

/// The value that \p member points to, in \p set or in its log settings.
template <typename T, typename C, typename V>
decltype(auto) valueOf(T &set, V C::*member) {
  if constexpr (std::is_same_v<C, LogSettings>)
    return (set.Log.*member);
  else
    return (set.*member);
}

template <typename T>
std::vector<SettingSpec> specsOf(const std::vector<Field<T>> &fields) {
  const T defaults;
  std::vector<SettingSpec> specs;
  for (const Field<T> &field : fields) {
    SettingSpec spec = field.Spec;
    if (!spec.Required)
      spec.Default = std::visit(
          [&](auto member) { return toJson(valueOf(defaults, member)); },
          field.Pointer);
    specs.push_back(std::move(spec));
  }
  return specs;
}

template <typename T>
T readValues(const std::vector<Field<T>> &fields, const json &doc) {
  T set;
  for (const Field<T> &field : fields) {
    const auto it = doc.find(field.Spec.Key);
    if (it == doc.end())
      continue;
    std::visit([&](auto member) { fromJson(*it, valueOf(set, member)); },
               field.Pointer);
  }
  return set;
}

struct NamedAddress {
  std::string_view Path;
  std::string_view Value;
};

void checkDistinct(std::span<const NamedAddress> list,
                   std::vector<SettingsFault> &faults) {
  std::set<std::string_view> seen;
  for (const NamedAddress &it : list)
    if (!seen.insert(it.Value).second)
      faults.push_back({std::string(it.Path), "\"" + std::string(it.Value) +
                                                  "\" is stated for another "
                                                  "address as well"});
}

/// Checks the constraints between settings, which a JSON Schema can't express.
void checkRelations(const EntrySettings &set,
                    std::vector<SettingsFault> &faults) {
  const std::array list = {
      NamedAddress{"/http_address", set.HttpAddress},
      NamedAddress{"/rpc_address", set.RpcAddress},
      NamedAddress{"/metrics_address", set.MetricsAddress}};
  checkDistinct(list, faults);
  if (set.PeerTimeout <= set.PeerHeartbeatPeriod)
    faults.push_back(
        {"/peer_timeout_ms", "must be greater than peer_heartbeat_period_ms"});
}

void checkRelations(const AgentSettings &set,
                    std::vector<SettingsFault> &faults) {
  const std::array list = {
      NamedAddress{"/rpc_address", set.RpcAddress},
      NamedAddress{"/entry_rpc_address", set.EntryRpcAddress},
      NamedAddress{"/entry_http_address", set.EntryHttpAddress},
      NamedAddress{"/entry_metrics_address", set.EntryMetricsAddress},
      NamedAddress{"/operator_address", set.OperatorAddress},
      NamedAddress{"/metrics_address", set.MetricsAddress}};
  checkDistinct(list, faults);
  if (set.SuspectAfter <= set.HeartbeatPeriod)
    faults.push_back(
        {"/suspect_after_ms", "must be greater than heartbeat_period_ms"});
  if (set.DeadAfter <= set.SuspectAfter)
    faults.push_back(
        {"/dead_after_ms", "must be greater than suspect_after_ms"});
}

boost::leaf::error_id invalid(std::string_view file,
                              std::span<const SettingsFault> faults) {
  return fail({ErrorCode::Invalid, Step::Settings, std::string(file),
               std::to_string(faults.size()) + " faults, the first at " +
                   faults.front().Path + ": " + faults.front().Detail});
}

template <typename T>
Result<T> parse(const std::vector<Field<T>> &fields, std::string_view file,
                std::string_view text, std::vector<SettingsFault> &faults) {
  const auto doc = impl::checkSettings(specsOf(fields), text, faults);
  if (!doc)
    return invalid(file, faults);
  T set = readValues(fields, *doc);
  checkRelations(set, faults);
  if (!faults.empty())
    return invalid(file, faults);
  return set;
}

template <typename T>
Result<T> load(const std::vector<Field<T>> &fields, const std::string &path,
               std::vector<SettingsFault> &faults) {
  std::ifstream in(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in) {
    faults.push_back({{}, "the file can't be read"});
    return fail(
        {ErrorCode::NotFound, Step::Settings, path, faults.back().Detail});
  }
  return parse(fields, path, text, faults);
}

} // namespace

Result<EntrySettings> parseEntrySettings(std::string_view text,
                                         std::vector<SettingsFault> &faults) {
  return parse(entryFields(), {}, text, faults);
}

Result<AgentSettings> parseAgentSettings(std::string_view text,
                                         std::vector<SettingsFault> &faults) {
  return parse(agentFields(), {}, text, faults);
}

Result<EntrySettings> loadEntrySettings(const std::string &path,
                                        std::vector<SettingsFault> &faults) {
  return load(entryFields(), path, faults);
}

Result<AgentSettings> loadAgentSettings(const std::string &path,
                                        std::vector<SettingsFault> &faults) {
  return load(agentFields(), path, faults);
}

std::string describe(std::string_view file,
                     std::span<const SettingsFault> faults) {
  std::string text;
  for (const SettingsFault &it : faults) {
    text.append(file).append(": ");
    if (!it.Path.empty())
      text.append(it.Path).append(": ");
    text.append(it.Detail).append("\n");
  }
  return text;
}

IpPort splitAddress(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos)
    return {};
  IpPort out;
  const std::string_view port = address.substr(colon + 1);
  const auto res =
      std::from_chars(port.data(), port.data() + port.size(), out.Port);
  if (res.ec != std::errc() || res.ptr != port.data() + port.size())
    return {};
  out.Host = address.substr(0, colon);
  return out;
}

std::string entrySettingsSchema() {
  return impl::schemaOf(specsOf(entryFields())).dump(2);
}

std::string agentSettingsSchema() {
  return impl::schemaOf(specsOf(agentFields())).dump(2);
}

std::string settingsPage() {
  return "# Settings\n\n"
         "Each program reads one JSON file and checks it whole: every fault is "
         "printed at\nits path, and the program ends with exit code 2. "
         "`--check-settings` does only\nthis. Addresses are IPv4 numbers with "
         "a port. A unit test keeps this page and the\nschema the same.\n" +
         impl::markdownSection("zinnia-entry", specsOf(entryFields())) +
         impl::markdownSection("zinnia-agent", specsOf(agentFields()));
}

} // namespace zinniagauge
