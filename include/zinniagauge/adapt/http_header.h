// The headers of HTTP requests and answers.
#ifndef ZINNIAGAUGE_ADAPT_HTTP_HEADER_H
#define ZINNIAGAUGE_ADAPT_HTTP_HEADER_H

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace zinniagauge {

/// A header's name and value.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Whether \p a and \p b name the same header: case doesn't count.
[[nodiscard]] bool isSameHeaderName(std::string_view a,
                                    std::string_view b) noexcept;

/// The value of the first header called \p name, or an empty view.
[[nodiscard]] std::string_view findHeader(std::span<const HttpHeader> headers,
                                          std::string_view name) noexcept;

/// The header in \p line as libcurl hands it over, with its line end; nothing
/// if the line holds none, such as the empty last one.
[[nodiscard]] std::optional<HttpHeader> parseHeaderLine(std::string_view line);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_HTTP_HEADER_H
