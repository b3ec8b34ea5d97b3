// Addresses as the kernel has them.
#ifndef ZINNIAGAUGE_NET_SOCKET_ADDRESS_H
#define ZINNIAGAUGE_NET_SOCKET_ADDRESS_H

#include "zinniagauge/board/address.h"

#include <netinet/in.h>

namespace zinniagauge {

/// \p at for bind, connect and sendto.
[[nodiscard]] inline sockaddr_in socketAddress(PeerAddress at) noexcept {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl(at.Ip);
  sa.sin_port = htons(at.Port);
  return sa;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_SOCKET_ADDRESS_H
