// Bundles in the platform: texts in the object store, proposals, the head and
// the history as rows of the table. All calls block: control threads only.
#ifndef ZINNIAGAUGE_ADAPT_BUNDLE_STORE_H
#define ZINNIAGAUGE_ADAPT_BUNDLE_STORE_H

#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/board/bundle.h"
#include "zinniagauge/decide/bundle_head.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// How long an approval tries before it gives up on the platform.
inline constexpr Duration ApprovalTimeout = std::chrono::seconds(5);

/// Reads the head.
[[nodiscard]] Result<HeadRow> readHead(const Platform &p);

/// Reads the history row of \p version; nothing if there is none.
[[nodiscard]] Result<std::optional<BundleHead>>
readHistory(const Platform &p, std::uint64_t version);

/// The newest \p limit approved versions, newest first.
[[nodiscard]] Result<std::vector<BundleHead>> listHistory(const Platform &p,
                                                          std::size_t limit);

/// The text with digest \p digest. Fails with NotFound, or Broken if the store
/// has another text.
[[nodiscard]] Result<std::string> readBundleText(const Platform &p,
                                                 std::string_view digest);

/// The bundle of \p head, read and checked.
[[nodiscard]] Result<Bundle> fetchBundle(const Platform &p,
                                         const BundleHead &head);

/// Checks \p text and stores it as a proposal on version \p parent. Fails with
/// Invalid if it has faults, one a line, and with Conflict if the head is
/// another.
[[nodiscard]] Result<Proposal> propose(const Platform &p, std::string_view text,
                                       std::uint64_t parent,
                                       const std::string &by);

/// Approves the proposal with digest \p digest and returns the accepted bundle.
/// Fails with NotFound, Conflict, Unavailable (nothing was changed) or TimedOut
/// (not known).
[[nodiscard]] Result<Bundle>
approve(const Platform &p, const std::string &digest, const std::string &by);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_BUNDLE_STORE_H
