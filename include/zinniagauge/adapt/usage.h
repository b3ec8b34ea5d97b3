// Reads token usage from the responses of engines.
#ifndef ZINNIAGAUGE_ADAPT_USAGE_H
#define ZINNIAGAUGE_ADAPT_USAGE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinniagauge {

/// Token counts of one response.
struct TokenUsage {
  std::uint32_t OutputTokens = 0;
  std::uint32_t CachedTokens = 0; // Prompt tokens from the engine's cache.
};

/// Reads the usage object of a complete JSON response; zeros if there is none.
[[nodiscard]] TokenUsage readUsage(std::string_view body);

/// Reads the usage object of an event stream from its last bytes: the last
/// event holds it. Returns zeros if there is none.
[[nodiscard]] TokenUsage readStreamUsage(std::string_view tail);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_USAGE_H
