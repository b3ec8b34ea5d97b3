// The table of one program's settings, from which the JSON Schema, the check,
// the page and the messages are all made.
#ifndef ZINNIAGAUGE_SRC_ADAPT_SETTINGS_TABLE_H
#define ZINNIAGAUGE_SRC_ADAPT_SETTINGS_TABLE_H

#include "zinniagauge/adapt/settings.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge::impl {

/// What a setting's value looks like in JSON.
enum class SettingType : std::uint8_t {
  Name,      ///< A short name.
  Address,   ///< "ip:port".
  Addresses, ///< A list of "ip:port".
  Url,       ///< "http://ip:port".
  Text,      ///< Any string.
  Number,    ///< An integer between the least and the most.
  Choice,    ///< One of a list of words.
  Keys,      ///< A list of objects with name and sha256.
};

/// One setting.
struct SettingSpec {
  std::string_view Key;
  std::string_view Unit = {}; // "ms", "bytes" or empty.
  std::string_view Help = {};
  SettingType Type = SettingType::Text;
  bool Required = false;
  std::uint64_t Min = 0;
  std::uint64_t Max = 0;
  std::span<const std::string_view> Choices = {};
  nlohmann::json Default = nullptr; // Null if required.
};

/// The JSON Schema of a settings file.
[[nodiscard]] nlohmann::json schemaOf(std::span<const SettingSpec> specs);

/// What \p spec accepts, as messages say it.
[[nodiscard]] std::string expectationOf(const SettingSpec &spec);

/// Parses \p text and checks it against the schema of \p specs; nothing if
/// there are faults, which are added to \p faults.
[[nodiscard]] std::optional<nlohmann::json>
checkSettings(std::span<const SettingSpec> specs, std::string_view text,
              std::vector<SettingsFault> &faults);

/// The table of \p specs as a Markdown section called \p title.
[[nodiscard]] std::string markdownSection(std::string_view title,
                                          std::span<const SettingSpec> specs);

} // namespace zinniagauge::impl

#endif // ZINNIAGAUGE_SRC_ADAPT_SETTINGS_TABLE_H
