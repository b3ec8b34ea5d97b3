// What an engine's answer says of tokens.
#ifndef ZINNIAGAUGE_ADAPT_USAGE_H
#define ZINNIAGAUGE_ADAPT_USAGE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinniagauge {

/// Tokens of one answer.
struct TokenUsage {
  std::uint32_t OutputTokens = 0;
  std::uint32_t CachedTokens = 0; // Of the prompt.
};

/// Reads the usage object of a whole JSON answer; zeros if there is none.
[[nodiscard]] TokenUsage readUsage(std::string_view body);

/// Reads the usage of a stream from its last bytes, where the last event holds
/// it; zeros if there is none.
[[nodiscard]] TokenUsage readStreamUsage(std::string_view tail);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_USAGE_H
