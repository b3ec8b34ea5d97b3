// Listening sockets that go on when the process has no descriptor left.
#ifndef ZINNIAGAUGE_NET_LISTENER_H
#define ZINNIAGAUGE_NET_LISTENER_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/net/loop.h"

namespace zinniagauge {

/// Callbacks of a listener's owner, called on the loop's thread.
struct ListenerHandlers {
  /// Takes ownership of the connected socket \p fd.
  void (*OnConnection)(void *ctx, int fd) = nullptr;
  /// Closes a connection that can be done without, so that another one can be
  /// accepted. Returns whether there was one.
  bool (*FreeDescriptor)(void *ctx) = nullptr;
};

/// A listening socket. Its loop must outlive it.
struct Listener {
  Listener() = default;
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  ~Listener();

  Loop *EventLoop = nullptr;
  Watch Socket;
  LoopTimer ResumeTimer; // Armed while no connection can be accepted.
  const ListenerHandlers *Handlers = nullptr;
  void *Ctx = nullptr;
};

/// Starts to accept connections at \p address. Waits for BindPatience while it
/// is in use. Fails with Unavailable.
[[nodiscard]] Result<void> startListening(Listener &ls, Loop &lp,
                                          PeerAddress address,
                                          const ListenerHandlers &handlers,
                                          void *ctx);

/// Accepts the connections that wait, as the loop does when it sees them.
void acceptWaiting(Listener &ls);

/// Closes the listening socket; new connections are refused from now on, and
/// those that wait to be accepted are reset.
void stopListening(Listener &ls);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_LISTENER_H
