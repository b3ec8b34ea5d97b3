// Parsing and formatting of IPv4 addresses.
#include "zinniagauge/board/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>

namespace zinniagauge {

std::optional<PeerAddress> parseAddress(std::string_view text) noexcept {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon >= INET_ADDRSTRLEN)
    return std::nullopt;
  std::array<char, INET_ADDRSTRLEN> host{};
  std::memcpy(host.data(), text.data(), colon);
  in_addr ip{};
  if (::inet_pton(AF_INET, host.data(), &ip) != 1)
    return std::nullopt;
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  const auto res = std::from_chars(text.data() + colon + 1, end, port);
  if (res.ec != std::errc() || res.ptr != end || port == 0)
    return std::nullopt;
  return PeerAddress{ntohl(ip.s_addr), port};
}

std::string toString(PeerAddress address) {
  std::array<char, INET_ADDRSTRLEN> host{};
  in_addr ip{};
  ip.s_addr = htonl(address.Ip);
  ::inet_ntop(AF_INET, &ip, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(address.Port);
}

} // namespace zinniagauge
