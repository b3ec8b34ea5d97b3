// Generates schemas, error messages and documentation from tables of settings,
// and validates settings by valijson.

#include "settings_table.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <set>

namespace zinniagauge::impl {

using nlohmann::json;

namespace {

constexpr std::string_view NamePattern = "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$";
constexpr std::string_view AddressPattern =
    "^((25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])[.]){3}"
    "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9]):"
    "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9][0-9]|6[0-4][0-9][0-9][0-9]|"
    "[1-5][0-9][0-9][0-9][0-9]|[1-9][0-9]{0,3})$";
constexpr std::string_view DigestPattern = "^[0-9a-f]{64}$";

/// Maximum length of a value quoted in a message, in bytes; longer ones are
/// cut.
constexpr std::size_t MaxQuotedBytes = 60;

std::string urlPattern() {
  return "^http://" + std::string(AddressPattern.substr(1));
}

json patternSchema(std::string_view pattern) {
  return {{"type", "string"}, {"pattern", std::string(pattern)}};
}

// A schema that matches no value. Unlike the schema false, it makes valijson
// report every unknown key and not only one.
json matchNothing() { return {{"not", json::object()}}; }

json keySchema() {
  return {{"type", "object"},
          {"properties",
           {{"name", patternSchema(NamePattern)},
            {"sha256", patternSchema(DigestPattern)}}},
          {"required", {"name", "sha256"}},
          {"additionalProperties", matchNothing()}};
}

json valueSchema(const SettingSpec &spec) {
  switch (spec.Type) {
  case SettingType::Name:
    return patternSchema(NamePattern);
  case SettingType::Address:
    return patternSchema(AddressPattern);
  case SettingType::Addresses:
    return {{"type", "array"}, {"items", patternSchema(AddressPattern)}};
  case SettingType::Url:
    return patternSchema(urlPattern());
  case SettingType::Number:
    return {{"type", "integer"}, {"minimum", spec.Min}, {"maximum", spec.Max}};
  case SettingType::Choice:
    return {{"enum", spec.Choices}};
  case SettingType::Keys:
    return {{"type", "array"}, {"items", keySchema()}};
  case SettingType::Text:
    break;
  }
  return {{"type", "string"}};
}

std::string quoted(std::span<const std::string_view> words) {
  std::string text;
  for (const std::string_view word : words)
    text.append(text.empty() ? "\"" : ", \"").append(word).append("\"");
  return text;
}

std::string abbreviate(const json &val) {
  std::string text = val.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > MaxQuotedBytes)
    text = text.substr(0, MaxQuotedBytes) + "...";
  return text;
}

/// Converts valijson's context {"<root>", "[key]", "[0]"} to the path "/key/0".
std::string pathOf(const std::vector<std::string> &context) {
  std::string path;
  for (const std::string &part : context)
    if (part.size() > 2 && part.front() == '[')
      path.append("/").append(part, 1, part.size() - 2);
  return path;
}

const SettingSpec *findSpec(std::span<const SettingSpec> specs,
                            std::string_view path) {
  const std::string_view key = path.substr(1, path.find('/', 1) - 1);
  const auto it =
      std::find_if(specs.begin(), specs.end(),
                   [&](const SettingSpec &spec) { return spec.Key == key; });
  return it == specs.end() ? nullptr : &*it;
}

/// Whether \p a equals \p b or differs by one inserted, removed or replaced
/// character. Used to suggest a setting for a misspelled key.
bool isWithinOneEdit(std::string_view a, std::string_view b) {
  if (a == b)
    return true;
  if (a.size() > b.size())
    std::swap(a, b);
  const auto diff = std::mismatch(a.begin(), a.end(), b.begin());
  const auto restb = std::string_view(diff.second, b.end()).substr(1);
  if (b.size() == a.size() + 1)
    return std::string_view(diff.first, a.end()) == restb;
  return a.size() == b.size() && diff.first != a.end() &&
         std::string_view(diff.first, a.end()).substr(1) == restb;
}

std::string unknownKeyDetail(std::span<const SettingSpec> specs,
                             std::string_view key) {
  for (const SettingSpec &spec : specs)
    if (spec.Key.starts_with(key) || key.starts_with(spec.Key) ||
        isWithinOneEdit(key, spec.Key))
      return "unknown setting; did you mean \"" + std::string(spec.Key) + "\"?";
  return "unknown setting; docs/SETTINGS.md lists all";
}

std::string faultDetail(std::span<const SettingSpec> specs, const json &doc,
                        const std::string &path) {
  const SettingSpec *spec = findSpec(specs, path);
  if (!spec)
    return unknownKeyDetail(specs, std::string_view(path).substr(1));
  const json::json_pointer at(path);
  return "expected " + expectationOf(*spec) + ", found " +
         (doc.contains(at) ? abbreviate(doc.at(at)) : "nothing");
}

void addFaults(std::span<const SettingSpec> specs, const json &doc,
               const valijson::ValidationResults &res,
               std::vector<SettingsFault> &faults) {
  std::set<std::string> paths;
  for (const auto &err : res)
    paths.insert(pathOf(err.context));
  for (const std::string &path : paths) {
    // valijson also reports a fault for the list that contains an invalid item;
    // only the fault of the item is kept.
    const auto next = paths.upper_bound(path);
    if (path.empty() || (next != paths.end() && next->starts_with(path + "/")))
      continue;
    faults.push_back({path, faultDetail(specs, doc, path)});
  }
  for (const SettingSpec &spec : specs)
    if (spec.Required && !doc.contains(spec.Key))
      faults.push_back({"/" + std::string(spec.Key),
                        "missing; expected " + expectationOf(spec)});
}

/// Parses \p text and adds duplicate keys to \p faults, since the JSON parser
/// accepts them.
json parseRejectingDuplicates(std::string_view text,
                              std::vector<SettingsFault> &faults) {
  std::vector<std::set<std::string>> keys;
  const auto checkkey = [&](int, json::parse_event_t event, json &val) {
    if (event == json::parse_event_t::object_start)
      keys.emplace_back();
    else if (event == json::parse_event_t::object_end)
      keys.pop_back();
    else if (event == json::parse_event_t::key &&
             !keys.back().insert(val.get<std::string>()).second)
      faults.push_back({"/" + val.get<std::string>(), "stated twice"});
    return true;
  };
  return json::parse(text, checkkey);
}

std::string defaultText(const SettingSpec &spec) {
  if (spec.Required)
    return "required";
  if (spec.Default == "")
    return "none";
  return "`" + spec.Default.dump() + "`";
}

} // namespace

std::string expectationOf(const SettingSpec &spec) {
  switch (spec.Type) {
  case SettingType::Name:
    return "a name of 1 to 63 letters, digits, '.', '_' or '-'";
  case SettingType::Address:
    return "\"ip:port\"";
  case SettingType::Addresses:
    return "a list of \"ip:port\"";
  case SettingType::Url:
    return "\"http://ip:port\"";
  case SettingType::Number:
    return "an integer from " + std::to_string(spec.Min) + " to " +
           std::to_string(spec.Max);
  case SettingType::Choice:
    return "one of " + quoted(spec.Choices);
  case SettingType::Keys:
    return "a list of {\"name\", \"sha256\"}, with 64 lower-case hexadecimal "
           "digits";
  case SettingType::Text:
    break;
  }
  return "a string";
}

json schemaOf(std::span<const SettingSpec> specs) {
  json props = json::object();
  json required = json::array();
  for (const SettingSpec &spec : specs) {
    json prop = valueSchema(spec);
    prop["description"] = spec.Help;
    if (!spec.Default.is_null())
      prop["default"] = spec.Default;
    if (spec.Required)
      required.push_back(spec.Key);
    props[std::string(spec.Key)] = std::move(prop);
  }
  return {{"$schema", "http://json-schema.org/draft-07/schema#"},
          {"type", "object"},
          {"properties", std::move(props)},
          {"required", std::move(required)},
          {"additionalProperties", matchNothing()}};
}

std::optional<json> checkSettings(std::span<const SettingSpec> specs,
                                  std::string_view text,
                                  std::vector<SettingsFault> &faults) {
  json doc;
  try {
    doc = parseRejectingDuplicates(text, faults);
  } catch (const json::parse_error &ex) {
    const std::string_view what(ex.what());
    const auto from = what.find("] ");
    faults.push_back({{}, std::string(what.substr(from + 2))});
    return std::nullopt;
  }
  if (!doc.is_object()) {
    faults.push_back({{}, "expected a JSON object, found " + abbreviate(doc)});
    return std::nullopt;
  }
  const json rules = schemaOf(specs);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(
      valijson::adapters::NlohmannJsonAdapter(rules), schema);
  valijson::ValidationResults res;
  const valijson::adapters::NlohmannJsonAdapter target(doc);
  if (!valijson::Validator().validate(schema, target, &res))
    addFaults(specs, doc, res, faults);
  if (!faults.empty())
    return std::nullopt;
  return doc;
}

std::string markdownSection(std::string_view title,
                            std::span<const SettingSpec> specs) {
  std::string text = "\n## " + std::string(title) + "\n\n";
  text += "| setting | unit | default | accepts | meaning |\n";
  text += "|---|---|---|---|---|\n";
  for (const SettingSpec &spec : specs) {
    text.append("| `").append(spec.Key).append("` | ").append(spec.Unit);
    text.append(" | ").append(defaultText(spec));
    text.append(" | ").append(expectationOf(spec));
    text.append(" | ").append(spec.Help).append(" |\n");
  }
  return text;
}

} // namespace zinniagauge::impl
