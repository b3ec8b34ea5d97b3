// What a bundle must satisfy besides its form, before it is accepted.
#ifndef ZINNIAGAUGE_DECIDE_CHECK_BUNDLE_H
#define ZINNIAGAUGE_DECIDE_CHECK_BUNDLE_H

#include "zinniagauge/board/bundle.h"

#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// One fault of a bundle, at the JSON path where it is mended.
struct BundleFault {
  std::string Path;    // Such as "/endpoints/3/port"; empty: the whole text.
  std::string Message; // One sentence without a full stop.
};

/// The rank that a reader gives to a tier, or a tier's name, that it could not
/// resolve; the fault is noted there, so the check passes over it.
inline constexpr Tier UnknownTier{MaxTiers};

/// Appends every fault of \p b to \p out: names used twice or sharing a hash,
/// references to nothing, ranks that do not count up from 0, keys of two
/// workspaces, routes that shadow each other, moves that can't be done. Needs
/// no index of \p b.
void checkBundle(const Bundle &b, std::vector<BundleFault> &out);

/// The faults, one a line, as "path: message", the whole text's path
/// being "bundle".
[[nodiscard]] std::string describe(std::span<const BundleFault> faults);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_CHECK_BUNDLE_H
