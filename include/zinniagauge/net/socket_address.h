// Conversion of addresses to the socket API.
#ifndef ZINNIAGAUGE_NET_SOCKET_ADDRESS_H
#define ZINNIAGAUGE_NET_SOCKET_ADDRESS_H

#include "zinniagauge/board/address.h"

#include <netinet/in.h>

namespace zinniagauge {

/// Converts \p address for bind, connect and sendto.
[[nodiscard]] inline sockaddr_in socketAddress(PeerAddress address) noexcept {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(address.Ip);
  sa.sin_port = htons(address.Port);
  return sa;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_SOCKET_ADDRESS_H
