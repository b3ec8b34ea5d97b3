#include "zinniagauge/front/front_settings.h"

#include "zinniagauge/adapt/json_reader.h"

#include <fstream>
#include <iterator>

namespace zinniagauge {

namespace {

/// Taken off the time for which a withdrawn key may still be used: the age of a
/// proof is counted from when it was asked for, a change may be announced up to
/// a second late, and a check precedes the send by some milliseconds.
constexpr Duration FreshMargin = std::chrono::milliseconds(1200);

/// Added to the time in which a change must be in force before an unknown key
/// or path is called unknown: a reading waits up to a second.
constexpr Duration DenyMargin = std::chrono::milliseconds(200);

PeerAddress addressOf(JsonReader &rd, const char *key) {
  const std::string text = rd.text(key);
  if (text.empty())
    return {};
  const auto at = parseAddress(text);
  if (!at)
    rd.addFault(key, "is no address such as 10.1.0.25:8221");
  return at.value_or(PeerAddress{});
}

EventLevel levelOf(JsonReader &rd) {
  const std::string text = rd.optionalText("log_level");
  if (text == "changes")
    return EventLevel::Changes;
  if (!text.empty() && text != "calls")
    rd.addFault("log_level", "is neither calls nor changes");
  return EventLevel::Calls;
}

void readBounds(JsonReader &rd, FrontSettings &set) {
  const Duration apply = rd.duration("plan_apply");
  set.FreshnessBounds.MaxServeAge = rd.duration("key_withdrawal") - FreshMargin;
  set.FreshnessBounds.MaxDenyAge = apply + DenyMargin;
  set.FreshnessBounds.FailClosed = rd.flag("fail_closed", true);
  set.Retries.Ratio = rd.real("retry_ratio", -1e-9, 1);
  set.Retries.Slack =
      static_cast<double>(rd.number("retry_slack", 0, 1'000'000));
  set.Retries.Window = rd.duration("retry_window");
  set.Margin.Window = rd.duration("allowance_window");
  set.Margin.Overage = rd.real("allowance_overage", -1e-9, 10);
  set.Margin.Slack =
      static_cast<double>(rd.number("allowance_slack", 0, 1'000'000'000));
  set.StopTimeout = rd.duration("stop");
  set.MaxDescriptors = rd.number("descriptors", 64, 1'000'000, 1024);
}

std::string allFaults(const std::vector<BundleFault> &faults) {
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
    set.Callers = addressOf(rd, "callers");
    set.Status = addressOf(rd, "status");
    set.Metrics = addressOf(rd, "metrics");
    set.Peers = addressOf(rd, "peers");
    set.TableService = addressOf(rd, "table");
    readBounds(rd, set);
    set.LogLevel = levelOf(rd);
    rd.reportUnknownKeys();
  }
  if (!faults.empty())
    return fail({ErrorCode::Invalid, Step::Settings, {}, allFaults(faults)});
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
