// Stores bundles on the platform: texts in the object store; proposals, the
// head and the history in the table. All functions block, so only control
// threads may call them.
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

/// How long an approval retries calls to the platform before it fails.
inline constexpr Duration ApprovalTimeout = std::chrono::seconds(5);

/// Reads the head: the version approved last.
[[nodiscard]] Result<HeadRow> readHead(const Platform &p);

/// Reads the history row of \p version; nothing if there is none.
[[nodiscard]] Result<std::optional<BundleHead>>
readHistory(const Platform &p, std::uint64_t version);

/// Reads the newest \p limit approved versions, newest first.
[[nodiscard]] Result<std::vector<BundleHead>> listHistory(const Platform &p,
                                                          std::size_t limit);

/// Reads the text with digest \p digest. Fails with NotFound, or with Broken if
/// the stored text has a different digest.
[[nodiscard]] Result<std::string> readBundleText(const Platform &p,
                                                 std::string_view digest);

/// Reads the text of \p head, checks its digest and parses it.
[[nodiscard]] Result<Bundle> fetchBundle(const Platform &p,
                                         const BundleHead &head);

/// Checks \p text and stores it as a proposal to follow version \p parent.
/// Fails with Invalid if the text has faults (the detail lists one a line), and
/// with Conflict if the head isn't \p parent.
[[nodiscard]] Result<Proposal> propose(const Platform &p, std::string_view text,
                                       std::uint64_t parent,
                                       const std::string &by);

/// Approves the proposal with digest \p digest and returns the approved bundle.
/// Fails with NotFound, Conflict, Unavailable (nothing was changed) or TimedOut
/// (the bundle may or may not have been approved).
[[nodiscard]] Result<Bundle>
approve(const Platform &p, const std::string &digest, const std::string &by);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_BUNDLE_STORE_H
