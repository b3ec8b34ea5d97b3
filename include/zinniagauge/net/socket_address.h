// Conversion of addresses to the socket API, and binding to them.
#ifndef ZINNIAGAUGE_NET_SOCKET_ADDRESS_H
#define ZINNIAGAUGE_NET_SOCKET_ADDRESS_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/time/clock.h"

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

/// Binds \p fd to \p address. Waits for at most \p patience while the address
/// is in use. Returns false and sets errno on failure.
[[nodiscard]] bool bindSocket(int fd, PeerAddress address, Duration patience);

/// How long a process that starts waits for an address in use: an earlier
/// process may still be ending, or an outgoing connection may have the port.
inline constexpr Duration BindPatience = std::chrono::seconds(5);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_SOCKET_ADDRESS_H
