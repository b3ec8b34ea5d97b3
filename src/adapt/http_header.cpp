#include "zinniagauge/adapt/http_header.h"

#include <algorithm>
#include <cctype>

namespace zinniagauge {

namespace {

std::string_view trim(std::string_view s) noexcept {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
    s.remove_prefix(1);
  while (!s.empty() && (s.back() == '\r' || s.back() == '\n'))
    s.remove_suffix(1);
  return s;
}

} // namespace

bool isSameHeaderName(std::string_view a, std::string_view b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view findHeader(std::span<const HttpHeader> headers,
                            std::string_view name) noexcept {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &h) {
        return isSameHeaderName(h.Name, name);
      });
  return it == headers.end() ? std::string_view{} : it->Value;
}

std::optional<HttpHeader> parseHeaderLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  return HttpHeader{std::string(line.substr(0, colon)),
                    std::string(trim(line.substr(colon + 1)))};
}

} // namespace zinniagauge
