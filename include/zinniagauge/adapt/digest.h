// SHA-256 digests.
#ifndef ZINNIAGAUGE_ADAPT_DIGEST_H
#define ZINNIAGAUGE_ADAPT_DIGEST_H

#include <string>
#include <string_view>

namespace zinniagauge {

/// Returns the SHA-256 digest of \p text as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_DIGEST_H
