// Reads JSON objects member by member and notes every fault at its path.
#ifndef ZINNIAGAUGE_ADAPT_JSON_READER_H
#define ZINNIAGAUGE_ADAPT_JSON_READER_H

#include "zinniagauge/decide/check_bundle.h"
#include "zinniagauge/time/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The longest name or other short text, in bytes.
inline constexpr std::size_t MaxTextBytes = 256;

/// Parses \p text, noting malformed JSON and keys given twice. Null if it is
/// malformed.
[[nodiscard]] nlohmann::json parseJson(std::string_view text,
                                       std::vector<BundleFault> &faults);

/// Reads the members of one object. A member that is missing or wrong is noted
/// and read as empty, zero or false, so that reading goes on to the next fault.
class JsonReader {
public:
  /// Reads \p val, noting if it is no object. Both references must outlive the
  /// reader.
  JsonReader(const nlohmann::json &val, std::string path,
             std::vector<BundleFault> &faults);

  /// A text of 1 to MaxTextBytes bytes.
  [[nodiscard]] std::string text(const char *key);

  /// Likewise, or empty if the member is absent.
  [[nodiscard]] std::string optionalText(const char *key);

  /// A whole number from \p least to \p most. Absent: \p absent, and if that is
  /// empty the member is needed.
  [[nodiscard]] std::uint64_t
  number(const char *key, std::uint64_t least, std::uint64_t most,
         std::optional<std::uint64_t> absent = std::nullopt);

  /// A number above \p above and below \p below.
  [[nodiscard]] double real(const char *key, double above, double below);

  /// A truth value, or \p absent.
  [[nodiscard]] bool flag(const char *key, bool absent);

  /// A span of time of at least 1 ms. Its unit ends the key: _ms, _s or _min
  /// after \p stem.
  [[nodiscard]] Duration duration(const std::string &stem);

  /// Calls \p fn with each item of the array \p key and the item's path.
  template <typename Fn> void forEach(const char *key, bool needed, Fn &&fn) {
    const nlohmann::json *list = array(key, needed);
    if (!list)
      return;
    for (std::size_t n = 0; n < list->size(); ++n)
      fn((*list)[n], pathOf(key) + "/" + std::to_string(n));
  }

  /// Notes \p message at member \p key.
  void addFault(const std::string &key, std::string message);

  /// Notes every member that was not asked for.
  void reportUnknownKeys();

private:
  [[nodiscard]] const nlohmann::json *find(const std::string &key);
  [[nodiscard]] const nlohmann::json *findRequired(const std::string &key);
  [[nodiscard]] const nlohmann::json *array(const char *key, bool needed);
  [[nodiscard]] std::string textOf(const char *key, const nlohmann::json &val);
  [[nodiscard]] std::string pathOf(const std::string &key) const;

  const nlohmann::json &Val;
  std::string Path;
  std::vector<BundleFault> &Faults;
  std::set<std::string> RequestedKeys;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_JSON_READER_H
