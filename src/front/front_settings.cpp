// Reads the settings of the front program from JSON.
#include "zinniagauge/front/front_settings.h"

#include "zinniagauge/adapt/json_reader.h"

#include <fstream>
#include <iterator>

namespace zinniagauge {

namespace {

/// Subtracted from key_withdrawal, the time for which a withdrawn key may still
/// be used, to get the maximum age of the plan's confirmation. The age counts
/// from the request for the confirmation, a change may be announced up to one
/// second late, and the check runs some milliseconds before the call is sent.
constexpr Duration ServeAgeMargin = std::chrono::milliseconds(1200);

PeerAddress readAddress(JsonReader &rd, const char *key,
                        bool optional = false) {
  const std::string text = optional ? rd.optionalText(key) : rd.text(key);
  if (text.empty())
    return {};
  const auto address = parseAddress(text);
  if (!address)
    rd.addFault(key, "is no address such as 10.1.0.25:8221");
  return address.value_or(PeerAddress{});
}

/// Without an address of its own, relaying uses the first port of the free ones
/// that neither the metrics nor the reports between fronts use.
void readRelayAddress(JsonReader &rd, FrontSettings &set) {
  set.RelayAddress = readAddress(rd, "relay", true);
  constexpr double MaxPort = 65535;
  const auto first =
      static_cast<unsigned>(rd.realNumber("first_free_port", 0, MaxPort, 0));
  const auto last =
      static_cast<unsigned>(rd.realNumber("last_free_port", 0, MaxPort, 0));
  if (set.RelayAddress.Port != 0 || first == 0)
    return;
  for (unsigned port = first; port <= last; ++port)
    if (port != set.Metrics.Port && port != set.GossipAddress.Port) {
      set.RelayAddress = {set.GossipAddress.Ip,
                          static_cast<std::uint16_t>(port)};
      return;
    }
}

EventLevel readLogLevel(JsonReader &rd) {
  const std::string text = rd.optionalText("log_level");
  if (text == "changes")
    return EventLevel::Changes;
  if (!text.empty() && text != "calls")
    rd.addFault("log_level", "is neither calls nor changes");
  return EventLevel::Calls;
}

/// Without either of its settings there is no limit.
void readColdTolerance(JsonReader &rd, ColdTolerance &tolerance) {
  constexpr double Missing = -1;
  const double factor = rd.realNumber("cold_overage", -1e-9, 1e6, Missing);
  const double slack = rd.realNumber("cold_slack", -1e-9, 1e6, Missing);
  tolerance.Limited = factor != Missing || slack != Missing;
  tolerance.Factor = factor != Missing ? factor : 1;
  tolerance.Slack = slack != Missing ? slack : 0;
}

void readLimits(JsonReader &rd, FrontSettings &set) {
  set.FreshnessBounds.MaxServeAge =
      rd.duration("key_withdrawal") - ServeAgeMargin;
  // A proof's age counts from the request of its reading, so that by a younger
  // one all changes are known that must be in force.
  set.FreshnessBounds.MaxRejectAge = rd.duration("plan_apply");
  set.FreshnessBounds.FailClosed = rd.flag("fail_closed", true);
  set.Retries.Ratio = rd.realNumber("retry_ratio", -1e-9, 1);
  set.Retries.Slack = rd.realNumber("retry_slack", -1e-9, 1e6);
  set.Retries.Window = rd.duration("retry_window");
  set.Margin.Window = rd.duration("allowance_window");
  set.Margin.Overage = rd.realNumber("allowance_overage", -1e-9, 10);
  set.Margin.Slack = rd.realNumber("allowance_slack", -1e-9, 1e9);
  set.Exposure.Share = rd.realNumber("exposure_share", 0, 1);
  set.Exposure.Slack = rd.realNumber("exposure_slack", -1e-9, 1e9);
  readColdTolerance(rd, set.ColdCalls);
  set.StopTimeout = rd.duration("stop");
  set.CpuShare = rd.realNumber("cpu_share", 0, 1024);
  set.LinkMbps = rd.realNumber("link_mbps", 0, 1e6, 0);
  set.MaxDescriptors =
      static_cast<std::size_t>(rd.realNumber("descriptors", 63, 1e6));
  set.MemoryMb = rd.realNumber("memory_mb", 0, 1e9, set.MemoryMb);
}

std::string joinFaults(const std::vector<BundleFault> &faults) {
  std::string out;
  for (const BundleFault &f : faults)
    out.append(out.empty() ? "" : "; ").append(f.Path + " " + f.Message);
  return out;
}

} // namespace

Result<FrontSettings> parseFrontSettings(std::string_view text) {
  std::vector<BundleFault> faults;
  const nlohmann::json doc = parseJson(text, faults);
  FrontSettings set;
  if (faults.empty()) {
    JsonReader rd(doc, "", faults);
    set.Node = rd.text("node");
    set.Zone = rd.text("zone");
    set.Callers = readAddress(rd, "callers");
    set.Status = readAddress(rd, "status");
    set.Metrics = readAddress(rd, "metrics");
    set.GossipAddress = readAddress(rd, "peers");
    readRelayAddress(rd, set);
    set.TableServiceAddress = readAddress(rd, "table");
    readLimits(rd, set);
    set.LogLevel = readLogLevel(rd);
    set.UnknownKeys = rd.unknownKeys();
  }
  if (!faults.empty())
    return fail({ErrorCode::Invalid, Step::Settings, {}, joinFaults(faults)});
  return set;
}

Result<FrontSettings> loadFrontSettings(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return fail({ErrorCode::NotFound, Step::Settings, path, "can't be read"});
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  return parseFrontSettings(text);
}

} // namespace zinniagauge
