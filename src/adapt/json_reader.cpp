// Reads typed members of JSON objects and reports faults with their paths.

#include "zinniagauge/adapt/json_reader.h"

#include <array>
#include <utility>

namespace zinniagauge {

using nlohmann::json;

namespace {

struct TimeUnit {
  const char *Suffix;
  Duration Length;
};

constexpr std::array<TimeUnit, 3> TimeUnits = {
    TimeUnit{"_ms", std::chrono::milliseconds(1)},
    TimeUnit{"_s", std::chrono::seconds(1)},
    TimeUnit{"_min", std::chrono::minutes(1)}};

/// Maximum duration that a document may contain.
constexpr Duration MaxDuration = std::chrono::hours(24 * 366);

/// A parser callback that adds a fault for each duplicate key of an object.
/// nlohmann::json would silently keep the last value.
class DuplicateKeyCheck {
public:
  explicit DuplicateKeyCheck(std::vector<BundleFault> &faults)
      : Faults(faults) {}

  bool operator()(int /*depth*/, json::parse_event_t event, json &val) {
    if (event == json::parse_event_t::object_start)
      KeysOfOpenObjects.emplace_back();
    else if (event == json::parse_event_t::object_end)
      KeysOfOpenObjects.pop_back();
    else if (event == json::parse_event_t::key)
      add(val.get_ref<const std::string &>());
    return true;
  }

private:
  void add(const std::string &key) {
    if (!KeysOfOpenObjects.back().insert(key).second)
      Faults.push_back({"", "an object has the key \"" + key + "\" twice"});
  }

  std::vector<BundleFault> &Faults;
  std::vector<std::set<std::string>> KeysOfOpenObjects;
};

std::string rangeText(std::uint64_t min, std::uint64_t max) {
  return "from " + std::to_string(min) + " to " + std::to_string(max);
}

} // namespace

json parseJson(std::string_view text, std::vector<BundleFault> &faults) {
  try {
    return json::parse(text, DuplicateKeyCheck(faults));
  } catch (const json::parse_error &ex) {
    faults.push_back({"", "malformed JSON at byte " + std::to_string(ex.byte)});
  }
  return nullptr;
}

JsonReader::JsonReader(const json &val, std::string path,
                       std::vector<BundleFault> &faults)
    : Val(val), Path(std::move(path)), Faults(faults) {
  if (!Val.is_object())
    Faults.push_back({Path, "must be an object"});
}

std::string JsonReader::pathOf(const std::string &key) const {
  return Path + "/" + key;
}

void JsonReader::addFault(const std::string &key, std::string message) {
  Faults.push_back({pathOf(key), std::move(message)});
}

const json *JsonReader::find(const std::string &key) {
  RequestedKeys.insert(key);
  if (!Val.is_object())
    return nullptr;
  const auto it = Val.find(key);
  return it == Val.end() ? nullptr : &*it;
}

const json *JsonReader::findRequired(const std::string &key) {
  const json *val = find(key);
  if (!val && Val.is_object())
    addFault(key, "is missing");
  return val;
}

std::string JsonReader::textOf(const char *key, const json &val) {
  if (!val.is_string()) {
    addFault(key, "must be a text");
    return {};
  }
  std::string text = val.get<std::string>();
  if (!text.empty() && text.size() <= MaxTextBytes)
    return text;
  addFault(key, "must have " + rangeText(1, MaxTextBytes) + " bytes");
  return {};
}

std::string JsonReader::text(const char *key) {
  const json *val = findRequired(key);
  return val ? textOf(key, *val) : std::string();
}

std::string JsonReader::optionalText(const char *key) {
  const json *val = find(key);
  return val ? textOf(key, *val) : std::string();
}

std::uint64_t JsonReader::number(const char *key, std::uint64_t min,
                                 std::uint64_t max,
                                 std::optional<std::uint64_t> def) {
  const json *val = def ? find(key) : findRequired(key);
  if (!val)
    return def.value_or(0);
  if (!val->is_number_integer()) {
    addFault(key, "must be a whole number");
    return 0;
  }
  const auto n = val->get<std::uint64_t>();
  if (val->is_number_unsigned() && n >= min && n <= max)
    return n;
  addFault(key, "must be " + rangeText(min, max));
  return 0;
}

double JsonReader::realNumber(const char *key, double above, double below,
                              std::optional<double> def) {
  const json *val = def ? find(key) : findRequired(key);
  if (!val)
    return def.value_or(0);
  if (!val->is_number()) {
    addFault(key, "must be a number");
    return 0;
  }
  const auto n = val->get<double>();
  if (n <= above || n >= below)
    addFault(key, "must be above " + json(above).dump() + " and below " +
                      json(below).dump());
  return n;
}

bool JsonReader::flag(const char *key, bool def) {
  const json *val = find(key);
  if (!val)
    return def;
  if (!val->is_boolean()) {
    addFault(key, "must be true or false");
    return def;
  }
  return val->get<bool>();
}

Duration JsonReader::duration(const std::string &stem) {
  Duration out = Duration::zero();
  int count = 0;
  for (const TimeUnit &unit : TimeUnits) {
    const std::string key = stem + unit.Suffix;
    if (!find(key))
      continue;
    ++count;
    if (const json *val = find(key); val->is_number_float()) {
      out = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::nano>(
              val->get<double>() * static_cast<double>(unit.Length.count())));
      if (out <= Duration::zero() || out > MaxDuration)
        addFault(key, "is out of range");
      continue;
    }
    const auto max = static_cast<std::uint64_t>(MaxDuration / unit.Length);
    out = unit.Length * number(key.c_str(), 1, max);
  }
  if (count > 1)
    addFault(stem, "is given in more than one unit");
  if (find(stem))
    addFault(stem, "state the unit in the key, such as " + stem + "_ms");
  else if (count == 0 && Val.is_object())
    addFault(stem + "_ms", "is missing");
  return out;
}

const json *JsonReader::array(const char *key, bool required) {
  const json *val = required ? findRequired(key) : find(key);
  if (!val || val->is_array())
    return val;
  addFault(key, "must be an array");
  return nullptr;
}

std::vector<std::string> JsonReader::unknownKeys() const {
  std::vector<std::string> out;
  if (!Val.is_object())
    return out;
  for (const auto &it : Val.items())
    if (!RequestedKeys.contains(it.key()))
      out.push_back(it.key());
  return out;
}

void JsonReader::reportUnknownKeys() {
  for (const std::string &key : unknownKeys())
    addFault(key, "unknown key");
}

} // namespace zinniagauge
