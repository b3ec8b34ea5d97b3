#include "zinniagauge/net/tcp_connection.h"

#include "zinniagauge/net/socket_address.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace zinniagauge {

namespace {

/// Connections that may wait to be accepted.
constexpr int ListenQueue = 512;

/// A buffer above this size is freed once it is empty, so that idle
/// connections cost little.
constexpr std::size_t KeptBufferBytes = 256;

void setOption(int fd, int level, int name, int val) noexcept {
  ::setsockopt(fd, level, name, &val, sizeof val);
}

void finish(TcpConnection &ch, ConnectionEnd how, int err) {
  if (!isOpen(ch))
    return;
  const ConnectionHandlers *hd = ch.Handlers;
  close(ch);
  if (hd && hd->OnEnd)
    hd->OnEnd(ch.Ctx, how, err);
}

void applyEvents(TcpConnection &ch) {
  std::uint32_t want = ch.ReadPaused ? 0U : std::uint32_t{EPOLLIN};
  if (ch.Connecting || pendingBytes(ch) > 0)
    want |= EPOLLOUT;
  // EPOLLRDHUP keeps a paused channel subscribed, so that its end is seen.
  watch(*ch.EventLoop, ch.Socket, want | EPOLLRDHUP);
}

/// Writes what waits. False if the channel has ended.
bool flush(TcpConnection &ch) {
  while (pendingBytes(ch) > 0) {
    const ssize_t n =
        ::send(ch.Socket.Fd, ch.SendBuffer.data() + ch.SendOffset,
               ch.SendBuffer.size() - ch.SendOffset, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (n < 0) {
      finish(ch, ConnectionEnd::Reset, errno);
      return false;
    }
    ch.SendOffset += static_cast<std::size_t>(n);
  }
  if (pendingBytes(ch) == 0) {
    ch.SendOffset = 0;
    if (ch.SendBuffer.capacity() > KeptBufferBytes)
      std::string().swap(ch.SendBuffer);
    else
      ch.SendBuffer.clear();
  }
  return true;
}

void onWritable(TcpConnection &ch) {
  if (ch.Connecting) {
    int err = 0;
    socklen_t len = sizeof err;
    ::getsockopt(ch.Socket.Fd, SOL_SOCKET, SO_ERROR, &err, &len);
    if (err != 0) {
      finish(ch, ConnectionEnd::Refused, err);
      return;
    }
    ch.Connecting = false;
    if (ch.Handlers->OnConnected)
      ch.Handlers->OnConnected(ch.Ctx);
    if (!isOpen(ch))
      return;
  }
  if (!flush(ch))
    return;
  if (pendingBytes(ch) == 0 && ch.CloseAfterSending) {
    finish(ch, ConnectionEnd::Closed, 0);
    return;
  }
  applyEvents(ch);
  if (pendingBytes(ch) == 0 && ch.Handlers->OnDrained)
    ch.Handlers->OnDrained(ch.Ctx);
}

/// Hands \p part to the owner together with what it left before.
void deliver(TcpConnection &ch, std::string_view part) {
  if (ch.CloseAfterSending)
    return;
  if (ch.ReceiveBuffer.empty()) {
    const std::size_t taken = ch.Handlers->OnData(ch.Ctx, part);
    if (isOpen(ch) && taken < part.size())
      ch.ReceiveBuffer.assign(part.substr(taken));
    return;
  }
  ch.ReceiveBuffer.append(part);
  const std::size_t taken = ch.Handlers->OnData(ch.Ctx, ch.ReceiveBuffer);
  if (!isOpen(ch))
    return;
  if (taken >= ch.ReceiveBuffer.size() &&
      ch.ReceiveBuffer.capacity() > KeptBufferBytes)
    std::string().swap(ch.ReceiveBuffer);
  else
    ch.ReceiveBuffer.erase(0, taken);
}

void onReadable(TcpConnection &ch) {
  for (;;) {
    const ssize_t n = ::recv(ch.Socket.Fd, ch.EventLoop->ReadBuffer.data(),
                             ch.EventLoop->ReadBuffer.size(), 0);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (n <= 0) {
      finish(ch, n == 0 ? ConnectionEnd::Closed : ConnectionEnd::Reset,
             n == 0 ? 0 : errno);
      return;
    }
    const auto got = static_cast<std::size_t>(n);
    deliver(ch, std::string_view(ch.EventLoop->ReadBuffer.data(), got));
    if (!isOpen(ch) || ch.ReadPaused || got < ch.EventLoop->ReadBuffer.size())
      return;
  }
}

void onEvents(void *ctx, std::uint32_t events) {
  TcpConnection &ch = *static_cast<TcpConnection *>(ctx);
  if (ch.Connecting && (events & (EPOLLERR | EPOLLHUP)) != 0)
    events |= EPOLLOUT;
  if ((events & EPOLLOUT) != 0)
    onWritable(ch);
  if (!isOpen(ch) || ch.Connecting)
    return;
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && !ch.ReadPaused) {
    onReadable(ch);
    return;
  }
  if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0 && ch.ReadPaused)
    finish(ch, ConnectionEnd::Reset, 0);
}

void start(TcpConnection &ch, Loop &lp, int fd,
           const ConnectionHandlers &handlers, void *ctx) {
  ch.EventLoop = &lp;
  ch.Handlers = &handlers;
  ch.Ctx = ctx;
  ch.Socket.Fd = fd;
  ch.Socket.Events = 0;
  ch.Socket.Fn = onEvents;
  ch.Socket.Ctx = &ch;
  ch.ReadPaused = false;
  ch.CloseAfterSending = false;
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace

TcpConnection::~TcpConnection() { close(*this); }

void adopt(TcpConnection &ch, Loop &lp, int fd,
           const ConnectionHandlers &handlers, void *ctx) {
  start(ch, lp, fd, handlers, ctx);
  ch.Connecting = false;
  applyEvents(ch);
}

bool openConnection(TcpConnection &ch, Loop &lp, PeerAddress to,
                    Duration silence, const ConnectionHandlers &handlers,
                    void *ctx) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  start(ch, lp, fd, handlers, ctx);
  setAckTimeout(ch, silence);
  const sockaddr_in sa = socketAddress(to);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) != 0 &&
      errno != EINPROGRESS) {
    close(ch);
    return false;
  }
  ch.Connecting = true;
  applyEvents(ch);
  return true;
}

void setAckTimeout(TcpConnection &ch, Duration silence) noexcept {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
  setOption(ch.Socket.Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void send(TcpConnection &ch, std::string_view part) {
  if (!isOpen(ch) || part.empty())
    return;
  if (pendingBytes(ch) > 0 || ch.Connecting) {
    ch.SendBuffer.append(part);
    return;
  }
  while (!part.empty()) {
    const ssize_t n =
        ::send(ch.Socket.Fd, part.data(), part.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    // Any error but a full buffer shows up again as an event of the socket, so
    // that the owner isn't called back in the middle of its own call.
    if (n < 0)
      break;
    part.remove_prefix(static_cast<std::size_t>(n));
  }
  if (part.empty())
    return;
  ch.SendBuffer.assign(part);
  ch.SendOffset = 0;
  applyEvents(ch);
}

void setReadPaused(TcpConnection &ch, bool on) {
  if (!isOpen(ch) || ch.ReadPaused == on)
    return;
  ch.ReadPaused = on;
  applyEvents(ch);
}

void redeliver(TcpConnection &ch) {
  if (!isOpen(ch) || ch.ReceiveBuffer.empty() || ch.CloseAfterSending)
    return;
  const std::string held = std::move(ch.ReceiveBuffer);
  ch.ReceiveBuffer.clear();
  deliver(ch, held);
}

std::size_t pendingBytes(const TcpConnection &ch) noexcept {
  return ch.SendBuffer.size() - ch.SendOffset;
}

bool isOpen(const TcpConnection &ch) noexcept { return ch.Socket.Fd >= 0; }

void closeAfterSending(TcpConnection &ch) {
  if (!isOpen(ch))
    return;
  if (pendingBytes(ch) == 0) {
    close(ch);
    return;
  }
  ch.CloseAfterSending = true;
}

void close(TcpConnection &ch, bool reset) {
  if (!isOpen(ch))
    return;
  if (reset) {
    const linger now{1, 0};
    ::setsockopt(ch.Socket.Fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  unwatch(*ch.EventLoop, ch.Socket);
  ::close(ch.Socket.Fd);
  ch.Socket.Fd = -1;
  ch.Connecting = false;
  ch.SendOffset = 0;
  std::string().swap(ch.SendBuffer);
}

Result<int> listenAt(PeerAddress at) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0) {
    setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in sa = socketAddress(at);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0 &&
        ::listen(fd, ListenQueue) == 0)
      return fd;
  }
  const Error err{ErrorCode::Unavailable, Step::Receive, toString(at),
                  std::strerror(errno)};
  if (fd >= 0)
    ::close(fd);
  return fail(err);
}

int acceptFrom(int fd) noexcept {
  return ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace zinniagauge
