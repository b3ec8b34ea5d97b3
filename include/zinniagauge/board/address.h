// IPv4 addresses of peers and their text form.
#ifndef ZINNIAGAUGE_BOARD_ADDRESS_H
#define ZINNIAGAUGE_BOARD_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniagauge {

/// An IPv4 address and a port.
struct PeerAddress {
  std::uint32_t Ip = 0; // In host byte order.
  std::uint16_t Port = 0;

  auto operator<=>(const PeerAddress &) const = default;
};

/// Parses an address such as "10.1.0.25:8221". Returns nothing if \p text is
/// malformed or its port is zero.
[[nodiscard]] std::optional<PeerAddress>
parseAddress(std::string_view text) noexcept;

/// Formats \p address as "ip:port", the form that parseAddress reads.
[[nodiscard]] std::string toString(PeerAddress address);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ADDRESS_H
