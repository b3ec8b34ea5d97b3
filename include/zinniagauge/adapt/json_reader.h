// Reads JSON objects member by member and collects every fault with its path.
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

/// Maximum length of a name or other short string, in bytes.
inline constexpr std::size_t MaxTextBytes = 256;

/// Parses \p text and adds malformed JSON and duplicate keys to \p faults.
/// Returns null if \p text is malformed.
[[nodiscard]] nlohmann::json parseJson(std::string_view text,
                                       std::vector<BundleFault> &faults);

/// Reads the members of one object. A member that is missing or invalid is
/// added to the faults and reads as empty, zero or its default, so that reading
/// continues and finds the remaining faults.
class JsonReader {
public:
  /// Reads \p val, whose path in the document is \p path; adds a fault if it is
  /// not an object. Both references must outlive the reader.
  JsonReader(const nlohmann::json &val, std::string path,
             std::vector<BundleFault> &faults);

  /// The required string \p key of 1 to MaxTextBytes bytes.
  [[nodiscard]] std::string text(const char *key);

  /// The string \p key of 1 to MaxTextBytes bytes, or empty if it is absent.
  [[nodiscard]] std::string optionalText(const char *key);

  /// The integer \p key from \p min to \p max. If the member is absent, returns
  /// \p def; without \p def the member is required.
  [[nodiscard]] std::uint64_t
  number(const char *key, std::uint64_t min, std::uint64_t max,
         std::optional<std::uint64_t> def = std::nullopt);

  /// The number \p key, greater than \p above and less than \p below. If the
  /// member is absent, returns \p def; without \p def the member is required.
  [[nodiscard]] double realNumber(const char *key, double above, double below,
                                  std::optional<double> def = std::nullopt);

  /// The boolean \p key, or \p def if it is absent or not a boolean.
  [[nodiscard]] bool flag(const char *key, bool def);

  /// The required duration \p stem, greater than zero and at most 366 days. The
  /// key is \p stem followed by its unit: _ms, _s or _min. Whole numbers start
  /// at 1; fractions are accepted.
  [[nodiscard]] Duration duration(const std::string &stem);

  /// Calls \p fn with each item of the array \p key and the item's path. A
  /// missing array is a fault if \p required is true.
  template <typename Fn> void forEach(const char *key, bool required, Fn &&fn) {
    const nlohmann::json *list = array(key, required);
    if (!list)
      return;
    for (std::size_t n = 0; n < list->size(); ++n)
      fn((*list)[n], pathOf(key) + "/" + std::to_string(n));
  }

  /// Adds the fault \p message at the path of member \p key.
  void addFault(const std::string &key, std::string message);

  /// The members that no call has read so far.
  [[nodiscard]] std::vector<std::string> unknownKeys() const;

  /// Adds a fault for each of unknownKeys(); call it last.
  void reportUnknownKeys();

private:
  [[nodiscard]] const nlohmann::json *find(const std::string &key);
  [[nodiscard]] const nlohmann::json *findRequired(const std::string &key);
  [[nodiscard]] const nlohmann::json *array(const char *key, bool required);
  [[nodiscard]] std::string textOf(const char *key, const nlohmann::json &val);
  [[nodiscard]] std::string pathOf(const std::string &key) const;

  const nlohmann::json &Val;
  std::string Path;
  std::vector<BundleFault> &Faults;
  std::set<std::string> RequestedKeys;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_JSON_READER_H
