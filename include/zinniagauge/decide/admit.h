// Admission: authorises a request, and finds its route, tier, size and
// deadline.
#ifndef ZINNIAGAUGE_DECIDE_ADMIT_H
#define ZINNIAGAUGE_DECIDE_ADMIT_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/board/request.h"

#include <string_view>

namespace zinniagauge {

/// The expected output of a request whose caller sets no limit, in tokens.
inline constexpr std::uint32_t DefaultOutputTokens = 256;

/// The average length of a token of a prompt, in bytes.
inline constexpr std::uint32_t BytesPerToken = 4;

/// The length of the prompt prefix that is hashed for affinity, in bytes.
inline constexpr std::size_t PrefixBytes = 512;

/// Admits a request under bundle \p b. \p digest is the SHA-256 digest of its
/// key in lower-case hexadecimal. Fails with Denied (no such key, or a tier
/// above the workspace's), NotFound (no route) or Invalid (no such tier).
[[nodiscard]] Result<Admission> admit(const Bundle &b, const RequestHead &head,
                                      std::string_view digest, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ADMIT_H
