// Non-blocking TCP connections on epoll.
#include "zinniagauge/net/tcp_connection.h"

#include "zinniagauge/net/socket_address.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace zinniagauge {

namespace {

/// Backlog of connections that wait to be accepted.
constexpr int ListenQueue = 512;

/// A buffer above this size is freed once it is empty, so that idle
/// connections cost little.
constexpr std::size_t KeptBufferBytes = 256;

void setOption(int fd, int level, int name, int val) noexcept {
  ::setsockopt(fd, level, name, &val, sizeof val);
}

/// Closes the connection and calls OnEnd.
void finish(TcpConnection &conn, ConnectionEnd how, int err) {
  if (!isOpen(conn))
    return;
  const ConnectionHandlers *handlers = conn.Handlers;
  close(conn);
  if (handlers && handlers->OnEnd)
    handlers->OnEnd(conn.Ctx, how, err);
}

/// Subscribes to the events that the connection's state needs.
void applyEvents(TcpConnection &conn) {
  std::uint32_t events = conn.ReadPaused ? 0U : std::uint32_t{EPOLLIN};
  if (conn.Connecting || pendingBytes(conn) > 0)
    events |= EPOLLOUT;
  if (!conn.ReadPaused || conn.Handlers->EndsWhilePaused)
    events |= EPOLLRDHUP;
  // Errors are always reported; stating them keeps the set from being empty.
  watch(*conn.EventLoop, conn.Socket, events | EPOLLERR);
}

/// Sends buffered data. Returns false if the connection has ended.
bool flush(TcpConnection &conn) {
  while (pendingBytes(conn) > 0) {
    const ssize_t n =
        ::send(conn.Socket.Fd, conn.SendBuffer.data() + conn.SendOffset,
               conn.SendBuffer.size() - conn.SendOffset, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (n < 0) {
      finish(conn, ConnectionEnd::Reset, errno);
      return false;
    }
    conn.SendOffset += static_cast<std::size_t>(n);
  }
  if (pendingBytes(conn) == 0) {
    conn.SendOffset = 0;
    if (conn.SendBuffer.capacity() > KeptBufferBytes)
      std::string().swap(conn.SendBuffer);
    else
      conn.SendBuffer.clear();
  }
  return true;
}

void onWritable(TcpConnection &conn) {
  if (conn.Connecting) {
    int err = 0;
    socklen_t len = sizeof err;
    ::getsockopt(conn.Socket.Fd, SOL_SOCKET, SO_ERROR, &err, &len);
    if (err != 0) {
      finish(conn, ConnectionEnd::Refused, err);
      return;
    }
    conn.Connecting = false;
    if (conn.Handlers->OnConnected)
      conn.Handlers->OnConnected(conn.Ctx);
    if (!isOpen(conn))
      return;
  }
  if (!flush(conn))
    return;
  if (pendingBytes(conn) == 0 && conn.CloseAfterSending) {
    finish(conn, ConnectionEnd::Closed, 0);
    return;
  }
  applyEvents(conn);
  if (pendingBytes(conn) == 0 && conn.Handlers->OnDrained)
    conn.Handlers->OnDrained(conn.Ctx);
}

/// Keeps received data for the next delivery.
void keepUnread(TcpConnection &conn, std::string unread) {
  if (unread.empty() && unread.capacity() > KeptBufferBytes)
    std::string().swap(unread);
  conn.ReceiveBuffer = std::move(unread);
}

/// Passes \p part to the owner together with data that it didn't consume
/// before. The view that the owner gets stays valid until it returns, whatever
/// it does with the connection.
void deliver(TcpConnection &conn, std::string_view part) {
  if (conn.CloseAfterSending)
    return;
  const std::uint32_t generation = conn.Generation;
  std::string unread = std::exchange(conn.ReceiveBuffer, {});
  if (!unread.empty())
    part = unread.append(part);
  conn.Delivering = true;
  const std::size_t taken = conn.Handlers->OnData(conn.Ctx, part);
  if (conn.Generation != generation)
    return; // The owner has opened it anew.
  conn.Delivering = false;
  if (!isOpen(conn))
    return;
  if (unread.empty())
    unread.assign(part.substr(taken));
  else
    unread.erase(0, taken);
  keepUnread(conn, std::move(unread));
}

/// How a connection has ended whose peer sends nothing more. A peer that closes
/// with data unread sends a reset after its end, which recv() doesn't report,
/// nor one that send() has reported.
ConnectionEnd endOf(const TcpConnection &conn) noexcept {
  int unacknowledged = 0;
  int err = 0;
  socklen_t len = sizeof err;
  const bool inorder =
      pendingBytes(conn) == 0 &&
      ::ioctl(conn.Socket.Fd, SIOCOUTQ, &unacknowledged) == 0 &&
      unacknowledged == 0 &&
      ::getsockopt(conn.Socket.Fd, SOL_SOCKET, SO_ERROR, &err, &len) == 0 &&
      err == 0;
  return inorder ? ConnectionEnd::Closed : ConnectionEnd::Reset;
}

void onReadable(TcpConnection &conn) {
  for (;;) {
    const ssize_t n = ::recv(conn.Socket.Fd, conn.EventLoop->ReadBuffer.data(),
                             conn.EventLoop->ReadBuffer.size(), 0);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (n <= 0) {
      const int err = n == 0 ? 0 : errno;
      finish(conn, n == 0 ? endOf(conn) : ConnectionEnd::Reset, err);
      return;
    }
    const auto count = static_cast<std::size_t>(n);
    const std::uint32_t generation = conn.Generation;
    deliver(conn, std::string_view(conn.EventLoop->ReadBuffer.data(), count));
    if (!isOpen(conn) || conn.Generation != generation || conn.ReadPaused ||
        count < conn.EventLoop->ReadBuffer.size())
      return;
  }
}

void onEvents(void *ctx, std::uint32_t events) {
  TcpConnection &conn = *static_cast<TcpConnection *>(ctx);
  if (conn.Connecting && (events & (EPOLLERR | EPOLLHUP)) != 0)
    events |= EPOLLOUT;
  if ((events & EPOLLOUT) != 0)
    onWritable(conn);
  if (!isOpen(conn) || conn.Connecting)
    return;
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && !conn.ReadPaused) {
    onReadable(conn);
    return;
  }
  if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0 && conn.ReadPaused)
    finish(conn, ConnectionEnd::Reset, 0);
}

void init(TcpConnection &conn, Loop &lp, int fd,
          const ConnectionHandlers &handlers, void *ctx) {
  conn.EventLoop = &lp;
  conn.Handlers = &handlers;
  conn.Ctx = ctx;
  conn.Socket.Fd = fd;
  conn.Socket.Events = 0;
  conn.Socket.Fn = onEvents;
  conn.Socket.Ctx = &conn;
  conn.ReceiveBuffer.clear();
  conn.Delivering = false;
  conn.ReadPaused = false;
  conn.CloseAfterSending = false;
  ++conn.Generation;
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace

TcpConnection::~TcpConnection() { close(*this); }

void adopt(TcpConnection &conn, Loop &lp, int fd,
           const ConnectionHandlers &handlers, void *ctx) {
  init(conn, lp, fd, handlers, ctx);
  conn.Connecting = false;
  applyEvents(conn);
}

bool openConnection(TcpConnection &conn, Loop &lp, PeerAddress to,
                    Duration timeout, const ConnectionHandlers &handlers,
                    void *ctx) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  init(conn, lp, fd, handlers, ctx);
  setAckTimeout(conn, timeout);
  const sockaddr_in sa = socketAddress(to);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) != 0 &&
      errno != EINPROGRESS) {
    close(conn);
    return false;
  }
  conn.Connecting = true;
  applyEvents(conn);
  return true;
}

void setAckTimeout(TcpConnection &conn, Duration timeout) noexcept {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  setOption(conn.Socket.Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ms));
}

void send(TcpConnection &conn, std::string_view part) {
  if (!isOpen(conn) || part.empty())
    return;
  if (pendingBytes(conn) > 0 || conn.Connecting) {
    conn.SendBuffer.append(part);
    return;
  }
  while (!part.empty()) {
    const ssize_t n =
        ::send(conn.Socket.Fd, part.data(), part.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    // An error other than a full buffer is reported again as an event of the
    // socket. OnEnd isn't called here, as the owner is in the middle of its own
    // call.
    if (n < 0)
      break;
    part.remove_prefix(static_cast<std::size_t>(n));
  }
  if (part.empty())
    return;
  conn.SendBuffer.assign(part);
  conn.SendOffset = 0;
  applyEvents(conn);
}

void setReadPaused(TcpConnection &conn, bool paused) {
  if (!isOpen(conn) || conn.ReadPaused == paused)
    return;
  conn.ReadPaused = paused;
  applyEvents(conn);
}

void redeliver(TcpConnection &conn) {
  if (isReceiving(conn) && !conn.Delivering && !conn.ReceiveBuffer.empty())
    deliver(conn, {});
}

bool hasUnreadData(const TcpConnection &conn) noexcept {
  char first = 0;
  return !conn.ReceiveBuffer.empty() ||
         (isOpen(conn) &&
          ::recv(conn.Socket.Fd, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0);
}

std::size_t pendingBytes(const TcpConnection &conn) noexcept {
  return conn.SendBuffer.size() - conn.SendOffset;
}

bool isOpen(const TcpConnection &conn) noexcept { return conn.Socket.Fd >= 0; }

bool isReceiving(const TcpConnection &conn) noexcept {
  return isOpen(conn) && !conn.CloseAfterSending;
}

void closeAfterSending(TcpConnection &conn) {
  if (!isOpen(conn))
    return;
  if (pendingBytes(conn) == 0) {
    close(conn);
    return;
  }
  conn.CloseAfterSending = true;
}

void close(TcpConnection &conn, bool reset) {
  if (!isOpen(conn))
    return;
  if (reset) {
    const linger opt{1, 0};
    ::setsockopt(conn.Socket.Fd, SOL_SOCKET, SO_LINGER, &opt, sizeof opt);
  }
  unwatch(*conn.EventLoop, conn.Socket);
  ::close(conn.Socket.Fd);
  conn.Socket.Fd = -1;
  conn.Connecting = false;
  conn.SendOffset = 0;
  std::string().swap(conn.SendBuffer);
}

Result<int> listenAt(PeerAddress address, Duration patience) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0) {
    setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bindSocket(fd, address, patience) && ::listen(fd, ListenQueue) == 0)
      return fd;
  }
  const Error err{ErrorCode::Unavailable, Step::Receive, toString(address),
                  std::strerror(errno)};
  if (fd >= 0)
    ::close(fd);
  return fail(err);
}

int acceptFrom(int fd) noexcept {
  return ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace zinniagauge
