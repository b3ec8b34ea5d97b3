// Admission: who asks, for what, how urgently and how large it is.
#ifndef ZINNIAGAUGE_DECIDE_ADMIT_H
#define ZINNIAGAUGE_DECIDE_ADMIT_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/board/request.h"

#include <string_view>

namespace zinniagauge {

/// The output that is expected of a request whose caller sets no limit, in
/// tokens.
inline constexpr std::uint32_t DefaultOutputTokens = 256;

/// The bytes of prompt that make a token, on average.
inline constexpr std::uint32_t BytesPerToken = 4;

/// The bytes of prompt that count as its prefix for affinity.
inline constexpr std::size_t PrefixBytes = 512;

/// Admits a request under bundle \p b, \p digest being the SHA-256 of its key
/// in lower-case hexadecimal. Fails with Denied (no such key, or a tier above
/// the workspace's), NotFound (no route) or Invalid (no such tier).
[[nodiscard]] Result<Admission> admit(const Bundle &b, const RequestHead &head,
                                      std::string_view digest, Time now);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ADMIT_H
