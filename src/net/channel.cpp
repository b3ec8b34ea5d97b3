#include "zinniagauge/net/channel.h"

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

void finish(Channel &ch, ChannelEnd how, int err) {
  if (!isOpen(ch))
    return;
  const ChannelHandlers *hd = ch.Handlers;
  close(ch);
  if (hd && hd->OnEnd)
    hd->OnEnd(ch.Ctx, how, err);
}

void applyEvents(Channel &ch) {
  std::uint32_t want = ch.Paused ? 0U : std::uint32_t{EPOLLIN};
  if (ch.Opening || waiting(ch) > 0)
    want |= EPOLLOUT;
  // EPOLLRDHUP keeps a paused channel subscribed, so that its end is seen.
  watch(*ch.Owner, ch.Socket, want | EPOLLRDHUP);
}

/// Writes what waits. False if the channel has ended.
bool flush(Channel &ch) {
  while (waiting(ch) > 0) {
    const ssize_t n = ::send(ch.Socket.Fd, ch.Out.data() + ch.OutAt,
                             ch.Out.size() - ch.OutAt, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (n < 0) {
      finish(ch, ChannelEnd::Reset, errno);
      return false;
    }
    ch.OutAt += static_cast<std::size_t>(n);
  }
  if (waiting(ch) == 0) {
    ch.OutAt = 0;
    if (ch.Out.capacity() > KeptBufferBytes)
      std::string().swap(ch.Out);
    else
      ch.Out.clear();
  }
  return true;
}

void onWritable(Channel &ch) {
  if (ch.Opening) {
    int err = 0;
    socklen_t len = sizeof err;
    ::getsockopt(ch.Socket.Fd, SOL_SOCKET, SO_ERROR, &err, &len);
    if (err != 0) {
      finish(ch, ChannelEnd::Refused, err);
      return;
    }
    ch.Opening = false;
    if (ch.Handlers->OnOpen)
      ch.Handlers->OnOpen(ch.Ctx);
    if (!isOpen(ch))
      return;
  }
  if (!flush(ch))
    return;
  if (waiting(ch) == 0 && ch.EndAfterOut) {
    finish(ch, ChannelEnd::Closed, 0);
    return;
  }
  applyEvents(ch);
  if (waiting(ch) == 0 && ch.Handlers->OnSent)
    ch.Handlers->OnSent(ch.Ctx);
}

/// Hands \p part to the owner together with what it left before.
void deliver(Channel &ch, std::string_view part) {
  if (ch.EndAfterOut)
    return;
  if (ch.In.empty()) {
    const std::size_t taken = ch.Handlers->OnData(ch.Ctx, part);
    if (isOpen(ch) && taken < part.size())
      ch.In.assign(part.substr(taken));
    return;
  }
  ch.In.append(part);
  const std::size_t taken = ch.Handlers->OnData(ch.Ctx, ch.In);
  if (!isOpen(ch))
    return;
  if (taken >= ch.In.size() && ch.In.capacity() > KeptBufferBytes)
    std::string().swap(ch.In);
  else
    ch.In.erase(0, taken);
}

void onReadable(Channel &ch) {
  for (;;) {
    const ssize_t n = ::recv(ch.Socket.Fd, ch.Owner->Scratch.data(),
                             ch.Owner->Scratch.size(), 0);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (n <= 0) {
      finish(ch, n == 0 ? ChannelEnd::Closed : ChannelEnd::Reset,
             n == 0 ? 0 : errno);
      return;
    }
    const auto got = static_cast<std::size_t>(n);
    deliver(ch, std::string_view(ch.Owner->Scratch.data(), got));
    if (!isOpen(ch) || ch.Paused || got < ch.Owner->Scratch.size())
      return;
  }
}

void onEvents(void *ctx, std::uint32_t events) {
  Channel &ch = *static_cast<Channel *>(ctx);
  if (ch.Opening && (events & (EPOLLERR | EPOLLHUP)) != 0)
    events |= EPOLLOUT;
  if ((events & EPOLLOUT) != 0)
    onWritable(ch);
  if (!isOpen(ch) || ch.Opening)
    return;
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0 && !ch.Paused) {
    onReadable(ch);
    return;
  }
  if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0 && ch.Paused)
    finish(ch, ChannelEnd::Reset, 0);
}

void start(Channel &ch, Loop &lp, int fd, const ChannelHandlers &handlers,
           void *ctx) {
  ch.Owner = &lp;
  ch.Handlers = &handlers;
  ch.Ctx = ctx;
  ch.Socket.Fd = fd;
  ch.Socket.Events = 0;
  ch.Socket.Fn = onEvents;
  ch.Socket.Ctx = &ch;
  ch.Paused = false;
  ch.EndAfterOut = false;
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace

Channel::~Channel() { close(*this); }

void adopt(Channel &ch, Loop &lp, int fd, const ChannelHandlers &handlers,
           void *ctx) {
  start(ch, lp, fd, handlers, ctx);
  ch.Opening = false;
  applyEvents(ch);
}

bool open(Channel &ch, Loop &lp, PeerAddress to, Duration silence,
          const ChannelHandlers &handlers, void *ctx) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  start(ch, lp, fd, handlers, ctx);
  limitSilence(ch, silence);
  const sockaddr_in sa = socketAddress(to);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) != 0 &&
      errno != EINPROGRESS) {
    close(ch);
    return false;
  }
  ch.Opening = true;
  applyEvents(ch);
  return true;
}

void limitSilence(Channel &ch, Duration silence) noexcept {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
  setOption(ch.Socket.Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void send(Channel &ch, std::string_view part) {
  if (!isOpen(ch) || part.empty())
    return;
  if (waiting(ch) > 0 || ch.Opening) {
    ch.Out.append(part);
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
  ch.Out.assign(part);
  ch.OutAt = 0;
  applyEvents(ch);
}

void pause(Channel &ch, bool on) {
  if (!isOpen(ch) || ch.Paused == on)
    return;
  ch.Paused = on;
  applyEvents(ch);
}

void showAgain(Channel &ch) {
  if (!isOpen(ch) || ch.In.empty() || ch.EndAfterOut)
    return;
  const std::string held = std::move(ch.In);
  ch.In.clear();
  deliver(ch, held);
}

std::size_t waiting(const Channel &ch) noexcept {
  return ch.Out.size() - ch.OutAt;
}

bool isOpen(const Channel &ch) noexcept { return ch.Socket.Fd >= 0; }

void closeAfterSending(Channel &ch) {
  if (!isOpen(ch))
    return;
  if (waiting(ch) == 0) {
    close(ch);
    return;
  }
  ch.EndAfterOut = true;
}

void close(Channel &ch, bool reset) {
  if (!isOpen(ch))
    return;
  if (reset) {
    const linger now{1, 0};
    ::setsockopt(ch.Socket.Fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  unwatch(*ch.Owner, ch.Socket);
  ::close(ch.Socket.Fd);
  ch.Socket.Fd = -1;
  ch.Opening = false;
  ch.OutAt = 0;
  std::string().swap(ch.Out);
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
