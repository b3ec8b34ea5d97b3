// Calls to endpoints on one thread, many at once: libcurl's multi interface
// under epoll.
#ifndef ZINNIAGAUGE_ADAPT_TRANSFER_H
#define ZINNIAGAUGE_ADAPT_TRANSFER_H

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/decide/dispatch.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace zinniagauge {

/// One call to an endpoint. The body must outlive the transfer; the rest is
/// copied.
struct TransferSpec {
  TransferId Id;
  std::string Method;
  std::string Url;
  std::vector<HttpHeader> Headers;
  std::string_view Body;
  bool NewConnection =
      false; // On a connection of its own, never on a reused one.
  Duration ConnectTimeout = std::chrono::seconds(1);
};

/// How far a transfer has come.
enum class TransferStage : std::uint8_t {
  Head, ///< The status and the headers are there.
  Body, ///< Some bytes of the body are there.
  End,  ///< It is over; nothing follows.
};

/// What happened to a transfer. The views live as long as the call.
struct TransferEvent {
  TransferId Id;
  TransferStage Stage = TransferStage::Head;
  int Status = 0;
  std::span<const HttpHeader> Headers; // Head only.
  std::string_view Bytes;              // Part only.
  bool Complete = false;               // End only: to its length or end mark.
  std::string_view Detail;             // End only: why it is not whole.
};

/// What a pool calls, all from within turn().
struct TransferHandlers {
  std::function<void(const TransferEvent &)> OnEvent;
  /// The connection stands and the first byte is about to leave. False ends the
  /// transfer before any has left.
  std::function<bool(TransferId)> MaySend;
};

/// All transfers of one thread.
class TransferPool {
public:
  explicit TransferPool(TransferHandlers fns);
  TransferPool(const TransferPool &) = delete;
  TransferPool &operator=(const TransferPool &) = delete;
  ~TransferPool();

  /// Also wakes turn() when \p fd is readable.
  void watch(int fd);

  /// Starts a transfer. Its events come from later turns.
  void start(TransferSpec spec);

  /// Ends a transfer by closing its connection; no event follows.
  void cancel(TransferId id);

  /// Sleeps until something happens or \p most has passed, then handles it.
  void runOnce(Duration most);

  /// Transfers that run.
  [[nodiscard]] std::size_t size() const noexcept;

private:
  struct State;
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_TRANSFER_H
