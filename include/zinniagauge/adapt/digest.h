// Digests of texts.
#ifndef ZINNIAGAUGE_ADAPT_DIGEST_H
#define ZINNIAGAUGE_ADAPT_DIGEST_H

#include <string>
#include <string_view>

namespace zinniagauge {

/// The SHA-256 of \p text as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_DIGEST_H
