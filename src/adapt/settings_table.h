// The table of one program's settings. The JSON Schema, the validation, the
// documentation page and the error messages are generated from it.
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

/// The form of a setting's value in JSON.
enum class SettingType : std::uint8_t {
  Name,      ///< A short name.
  Address,   ///< "ip:port".
  Addresses, ///< A list of "ip:port".
  Url,       ///< "http://ip:port".
  Text,      ///< Any string.
  Number,    ///< An integer from Min to Max.
  Choice,    ///< One of Choices.
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

/// Generates the JSON Schema of a settings file.
[[nodiscard]] nlohmann::json schemaOf(std::span<const SettingSpec> specs);

/// Describes the values that \p spec accepts, for error messages and the page.
[[nodiscard]] std::string expectationOf(const SettingSpec &spec);

/// Parses \p text and validates it against the schema of \p specs. If there are
/// faults, adds them to \p faults and returns nothing.
[[nodiscard]] std::optional<nlohmann::json>
checkSettings(std::span<const SettingSpec> specs, std::string_view text,
              std::vector<SettingsFault> &faults);

/// Formats \p specs as a Markdown section with a table, under the heading
/// \p title.
[[nodiscard]] std::string markdownSection(std::string_view title,
                                          std::span<const SettingSpec> specs);

} // namespace zinniagauge::impl

#endif // ZINNIAGAUGE_SRC_ADAPT_SETTINGS_TABLE_H
