// Checks that a well-formed bundle must pass before it is accepted.
#ifndef ZINNIAGAUGE_DECIDE_CHECK_BUNDLE_H
#define ZINNIAGAUGE_DECIDE_CHECK_BUNDLE_H

#include "zinniagauge/board/bundle.h"

#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// One fault of a bundle, with the JSON path of the value to correct.
struct BundleFault {
  std::string Path;    // Such as "/endpoints/3/port"; empty: the whole text.
  std::string Message; // One sentence without a full stop.
};

/// The rank that a reader sets where it could not resolve a tier or its name.
/// The reader has reported that fault, so checkBundle ignores it.
inline constexpr Tier UnknownTier{MaxTiers};

/// Appends every fault of \p b to \p out: duplicate names or names with the
/// same hash, unresolved references, ranks that do not count up from 0, keys
/// that two workspaces share, routes that shadow each other, and version moves
/// that are impossible. Needs no index of \p b.
void checkBundle(const Bundle &b, std::vector<BundleFault> &out);

/// Formats the faults as "path: message", one on each line. The path of the
/// whole text is written as "bundle".
[[nodiscard]] std::string describe(std::span<const BundleFault> faults);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CHECK_BUNDLE_H
