// Where a peer listens.
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

/// "10.1.0.25:8221" as an address; nothing if it isn't one.
[[nodiscard]] std::optional<PeerAddress>
parseAddress(std::string_view text) noexcept;

/// The inverse of parseAddress.
[[nodiscard]] std::string toString(PeerAddress at);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ADDRESS_H
