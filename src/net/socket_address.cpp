#include "zinniagauge/net/socket_address.h"

#include <sys/socket.h>

#include <cerrno>
#include <thread>

namespace zinniagauge {

bool bindSocket(int fd, PeerAddress address, Duration patience) {
  constexpr Duration RetryPeriod = std::chrono::milliseconds(50);
  const sockaddr_in sa = socketAddress(address);
  const Time end = monotonicNow() + patience;
  for (;;) {
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0)
      return true;
    if (errno != EADDRINUSE || monotonicNow() >= end)
      return false;
    std::this_thread::sleep_for(RetryPeriod);
  }
}

} // namespace zinniagauge
