// Non-blocking TCP connections: received data is passed to the owner, and data
// that can't be sent at once is buffered.
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
  /// The peer closed it after it had received all that was sent, or
  /// closeAfterSending completed.
  Closed,
  /// It was reset, timed out, ended while paused, or the peer closed it before
  /// it had received all that was sent.
  Reset,
  Refused, ///< It couldn't be established.
};

/// Callbacks of a connection's owner, called on the loop's thread. Each may
/// close the connection.
struct ConnectionHandlers {
  /// Called when the connection is established; may be null.
  void (*OnConnected)(void *ctx) = nullptr;
  /// Called when \p part has arrived; returns the number of bytes consumed. The
  /// rest is buffered and passed again together with the next data. It is never
  /// called again before it has returned.
  std::size_t (*OnData)(void *ctx, std::string_view part) = nullptr;
  /// Called when the connection has ended; \p err is an errno value or zero.
  void (*OnEnd)(void *ctx, ConnectionEnd how, int err) = nullptr;
  /// Called when all buffered data is sent; may be null.
  void (*OnDrained)(void *ctx) = nullptr;
  /// Whether the connection ends when the peer closes it while reading is
  /// paused. Otherwise what the peer has sent is read first.
  bool EndsWhilePaused = false;
};

/// One connection. It must not be moved in memory while it is open.
struct TcpConnection {
  TcpConnection() = default;
  TcpConnection(const TcpConnection &) = delete;
  TcpConnection &operator=(const TcpConnection &) = delete;
  ~TcpConnection();

  Loop *EventLoop = nullptr;
  Watch Socket;
  const ConnectionHandlers *Handlers = nullptr;
  void *Ctx = nullptr;
  std::string ReceiveBuffer; // Received but not consumed.
  std::string SendBuffer;    // Not sent yet, from SendOffset.
  std::size_t SendOffset = 0;
  std::uint32_t Generation = 0; // Changes when it is opened.
  bool Connecting = false;
  bool Delivering = false; // OnData is running.
  bool ReadPaused = false;
  bool CloseAfterSending = false;
};

/// Takes ownership of the connected socket \p fd.
void adopt(TcpConnection &conn, Loop &lp, int fd,
           const ConnectionHandlers &handlers, void *ctx);

/// Starts to connect to \p to and sets the timeout as setAckTimeout does.
/// Returns false if no socket could be opened or the connection failed at once.
[[nodiscard]] bool openConnection(TcpConnection &conn, Loop &lp, PeerAddress to,
                                  Duration timeout,
                                  const ConnectionHandlers &handlers,
                                  void *ctx);

/// Resets the connection if the peer doesn't acknowledge sent data for
/// \p timeout.
void setAckTimeout(TcpConnection &conn, Duration timeout) noexcept;

/// Sends \p part after earlier data. Errors are reported by OnEnd, never within
/// this call.
void send(TcpConnection &conn, std::string_view part);

/// Pauses or resumes reading, for back pressure.
void setReadPaused(TcpConnection &conn, bool paused);

/// Passes received data that the owner didn't consume to OnData again. Within
/// OnData it does nothing: OnData consumes all that it can before it returns.
void redeliver(TcpConnection &conn);

/// Whether data has arrived that the owner hasn't consumed, also if it wasn't
/// read yet.
[[nodiscard]] bool hasUnreadData(const TcpConnection &conn) noexcept;

/// Bytes that are buffered for sending.
[[nodiscard]] std::size_t pendingBytes(const TcpConnection &conn) noexcept;

/// Whether the connection is open or being established.
[[nodiscard]] bool isOpen(const TcpConnection &conn) noexcept;

/// Whether received data is still passed to the owner: the connection is open
/// and isn't about to close.
[[nodiscard]] bool isReceiving(const TcpConnection &conn) noexcept;

/// Closes the connection once all buffered data is sent; data received
/// meanwhile is dropped. OnEnd is called only if data was buffered.
void closeAfterSending(TcpConnection &conn);

/// Closes the connection at once without calling OnEnd. \p reset sends a TCP
/// reset, so that the peer detects the abort.
void close(TcpConnection &conn, bool reset = false);

/// Opens a listening socket at \p address. Waits for at most \p patience while
/// the address is in use. Fails with Unavailable.
[[nodiscard]] Result<int> listenAt(PeerAddress address,
                                   Duration patience = Duration::zero());

/// Accepts one connection from the listening socket \p fd and returns its
/// non-blocking socket, or -1 if there is none.
[[nodiscard]] int acceptFrom(int fd) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_NET_TCP_CONNECTION_H
