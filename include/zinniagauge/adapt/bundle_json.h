// Bundles as JSON text.
#ifndef ZINNIAGAUGE_ADAPT_BUNDLE_JSON_H
#define ZINNIAGAUGE_ADAPT_BUNDLE_JSON_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/check_bundle.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The longest text of a bundle, in bytes.
inline constexpr std::size_t MaxBundleBytes = std::size_t{4} << 20U;

/// A bundle as far as it could be read. It may be used only if it has no
/// faults; then it is indexed, and carries its text and digest.
struct ParsedBundle {
  Bundle Value;
  std::vector<BundleFault> Faults;
};

/// Reads \p text and notes every fault of form and content, each at its path.
[[nodiscard]] ParsedBundle readBundle(std::uint64_t version,
                                      std::string_view text);

/// Reads \p text. Fails with Invalid, the detail holding every fault, one a
/// line.
[[nodiscard]] Result<Bundle> parseBundle(std::uint64_t version,
                                         std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_BUNDLE_JSON_H
