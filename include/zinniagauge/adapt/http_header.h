// Headers of HTTP requests and responses.
#ifndef ZINNIAGAUGE_ADAPT_HTTP_HEADER_H
#define ZINNIAGAUGE_ADAPT_HTTP_HEADER_H

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace zinniagauge {

/// An HTTP header field.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Compares two header names without regard to case.
[[nodiscard]] bool isSameHeaderName(std::string_view a,
                                    std::string_view b) noexcept;

/// Returns the value of the first header called \p name in any case, or an
/// empty view. The view refers to \p headers.
[[nodiscard]] std::string_view findHeader(std::span<const HttpHeader> headers,
                                          std::string_view name) noexcept;

/// Parses a header line as libcurl passes it, with its line end. Returns
/// nullopt for a line without a header, such as the status line or the empty
/// last line.
[[nodiscard]] std::optional<HttpHeader> parseHeaderLine(std::string_view line);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_HTTP_HEADER_H
