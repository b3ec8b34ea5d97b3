// Accepts connections, also when the process runs out of descriptors.
#include "zinniagauge/net/listener.h"

#include "zinniagauge/net/socket_address.h"
#include "zinniagauge/net/tcp_connection.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>

namespace zinniagauge {

namespace {

/// How long no connection is accepted when there is no descriptor for it. The
/// socket stays readable, so that watching it would wake the loop at once.
constexpr Duration ResumeDelay = std::chrono::milliseconds(100);

bool lacksDescriptors(int err) noexcept {
  return err == EMFILE || err == ENFILE || err == ENOBUFS || err == ENOMEM;
}

void onReadable(void *ctx, std::uint32_t /*events*/) {
  Listener &ls = *static_cast<Listener *>(ctx);
  while (ls.Socket.Fd >= 0) {
    const int fd = acceptFrom(ls.Socket.Fd);
    if (fd >= 0) {
      ls.Handlers->OnConnection(ls.Ctx, fd);
      continue;
    }
    if (!lacksDescriptors(errno))
      return;
    if (ls.Handlers->FreeDescriptor(ls.Ctx))
      continue;
    unwatch(*ls.EventLoop, ls.Socket);
    arm(*ls.EventLoop, ls.ResumeTimer, ls.EventLoop->Now + ResumeDelay);
    return;
  }
}

void watchSocket(Listener &ls) {
  ls.Socket.Fn = onReadable;
  watch(*ls.EventLoop, ls.Socket, EPOLLIN);
}

void onResumeTimer(void *ctx, Time /*now*/) {
  watchSocket(*static_cast<Listener *>(ctx));
}

} // namespace

Listener::~Listener() { stopListening(*this); }

Result<void> startListening(Listener &ls, Loop &lp, PeerAddress address,
                            const ListenerHandlers &handlers, void *ctx) {
  BOOST_LEAF_AUTO(fd, listenAt(address, BindPatience));
  ls.EventLoop = &lp;
  ls.Handlers = &handlers;
  ls.Ctx = ctx;
  ls.ResumeTimer.Fn = onResumeTimer;
  ls.ResumeTimer.Ctx = &ls;
  ls.Socket.Fd = fd;
  ls.Socket.Ctx = &ls;
  watchSocket(ls);
  return {};
}

void acceptWaiting(Listener &ls) {
  if (ls.Socket.Fd >= 0 && !ls.ResumeTimer.Hook.is_linked())
    onReadable(&ls, EPOLLIN);
}

void stopListening(Listener &ls) {
  if (ls.Socket.Fd < 0)
    return;
  disarm(*ls.EventLoop, ls.ResumeTimer);
  unwatch(*ls.EventLoop, ls.Socket);
  ::close(ls.Socket.Fd);
  ls.Socket.Fd = -1;
}

} // namespace zinniagauge
