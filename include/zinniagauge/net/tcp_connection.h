// A TCP connection without blocking: what arrives is handed to its owner, what
// can't leave at once waits in a buffer.
#ifndef ZINNIAGAUGE_NET_TCP_CONNECTION_H
#define ZINNIAGAUGE_NET_TCP_CONNECTION_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/net/loop.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinniagauge {

/// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  Closed,  ///< The peer closed it in order.
  Reset,   ///< It was reset or timed out.
  Refused, ///< It never came to be.
};

/// What the owner of a channel does. Each may close the channel.
struct ConnectionHandlers {
  /// Connected; null if the owner doesn't care.
  void (*OnConnected)(void *ctx) = nullptr;
  /// \p part has arrived; gives how many bytes were taken. The rest is shown
  /// again with what comes next.
  std::size_t (*OnData)(void *ctx, std::string_view part) = nullptr;
  /// The channel has ended, with \p err of errno or zero.
  void (*OnEnd)(void *ctx, ConnectionEnd how, int err) = nullptr;
  /// What waited to leave has left; null if the owner doesn't care.
  void (*OnDrained)(void *ctx) = nullptr;
};

/// One connection. It stays where it is while it is open.
struct TcpConnection {
  TcpConnection() = default;
  TcpConnection(const TcpConnection &) = delete;
  TcpConnection &operator=(const TcpConnection &) = delete;
  ~TcpConnection();

  Loop *EventLoop = nullptr;
  Watch Socket;
  const ConnectionHandlers *Handlers = nullptr;
  void *Ctx = nullptr;
  std::string ReceiveBuffer; // Arrived and not taken.
  std::string SendBuffer;    // Not left yet.
  std::size_t SendOffset = 0;
  bool Connecting = false;
  bool ReadPaused = false; // Nothing is read.
  bool CloseAfterSending = false;
};

/// Takes over the connected socket \p fd.
void adopt(TcpConnection &ch, Loop &lp, int fd,
           const ConnectionHandlers &handlers, void *ctx);

/// Starts to connect to \p to. \p silence: a peer that acknowledges nothing for
/// so long is given up. False if no socket could be had.
[[nodiscard]] bool openConnection(TcpConnection &ch, Loop &lp, PeerAddress to,
                                  Duration silence,
                                  const ConnectionHandlers &handlers,
                                  void *ctx);

/// Gives up a peer that acknowledges nothing for \p silence.
void setAckTimeout(TcpConnection &ch, Duration silence) noexcept;

/// Sends \p part after what was sent before. Errors arrive as OnEnd.
void send(TcpConnection &ch, std::string_view part);

/// Stops reading or goes on, for back pressure.
void setReadPaused(TcpConnection &ch, bool on);

/// Shows the owner again what arrived and was not taken.
void redeliver(TcpConnection &ch);

/// Bytes that wait to leave.
[[nodiscard]] std::size_t pendingBytes(const TcpConnection &ch) noexcept;

/// Whether the channel is open or opening.
[[nodiscard]] bool isOpen(const TcpConnection &ch) noexcept;

/// Closes once all has left; what arrives meanwhile is dropped. If something
/// waits, OnEnd follows once it has left.
void closeAfterSending(TcpConnection &ch);

/// Closes at once. \p reset: the peer is to see that it was cut off.
void close(TcpConnection &ch, bool reset = false);

/// Listens at \p at. Fails with Unavailable.
[[nodiscard]] Result<int> listenAt(PeerAddress at);

/// Accepts one connection from \p fd, ready for use; -1 if there is none.
[[nodiscard]] int acceptFrom(int fd) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_TCP_CONNECTION_H
