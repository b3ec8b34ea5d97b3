// Parses bundles from JSON text.
#ifndef ZINNIAGAUGE_ADAPT_BUNDLE_JSON_H
#define ZINNIAGAUGE_ADAPT_BUNDLE_JSON_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/check_bundle.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Maximum length of a bundle's text, in bytes.
inline constexpr std::size_t MaxBundleBytes = std::size_t{4} << 20U;

/// The result of parsing a bundle. Value may be used only if Faults is empty;
/// then it is indexed and holds its text and digest. Otherwise it holds only
/// what could be read.
struct ParsedBundle {
  Bundle Value;
  std::vector<BundleFault> Faults;
};

/// Parses and validates \p text as version \p version. Collects every fault in
/// syntax and content with the path where it was found.
[[nodiscard]] ParsedBundle readBundle(std::uint64_t version,
                                      std::string_view text);

/// Like readBundle, but fails with Invalid if there is any fault. The error's
/// detail lists every fault, one per line.
[[nodiscard]] Result<Bundle> parseBundle(std::uint64_t version,
                                         std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_BUNDLE_JSON_H
