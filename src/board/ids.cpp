// Hashing of names, and the text form of request ids.
#include "zinniagauge/board/ids.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace zinniagauge {

namespace {

constexpr std::size_t HalfDigits = 16;

bool parseHalf(std::string_view text, std::uint64_t &out) noexcept {
  const auto *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, out, 16);
  return res.ec == std::errc() && res.ptr == end;
}

} // namespace

std::uint64_t nameHash(std::string_view name) noexcept {
  return XXH3_64bits(name.data(), name.size());
}

std::string toString(RequestId id) {
  std::array<char, 2 * HalfDigits + 1> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(id.High),
                static_cast<unsigned long long>(id.Low));
  return {buf.data(), 2 * HalfDigits};
}

std::optional<RequestId> parseRequestId(std::string_view text) noexcept {
  RequestId id;
  if (text.size() != 2 * HalfDigits)
    return std::nullopt;
  if (!parseHalf(text.substr(0, HalfDigits), id.High))
    return std::nullopt;
  if (!parseHalf(text.substr(HalfDigits), id.Low))
    return std::nullopt;
  return id;
}

} // namespace zinniagauge
