// Concurrent HTTP transfers to endpoints on one thread, by libcurl's multi
// interface and epoll.
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

/// One HTTP request to an endpoint. Body must outlive the transfer; the struct
/// owns everything else.
struct TransferSpec {
  TransferId Id;
  std::string Method;
  std::string Url;
  std::vector<HttpHeader> Headers;
  std::string_view Body;
  bool NewConnection = false; // Use a new connection and close it afterwards.
  Duration ConnectTimeout = std::chrono::seconds(1);
};

/// The part of a response that an event reports.
enum class TransferStage : std::uint8_t {
  Head, ///< The status and headers have arrived.
  Body, ///< Some bytes of the body have arrived.
  End,  ///< The transfer is over; no event follows.
};

/// One event of a transfer. The views are valid during the OnEvent call only.
struct TransferEvent {
  TransferId Id;
  TransferStage Stage = TransferStage::Head;
  int Status = 0;
  std::span<const HttpHeader> Headers; // Head only.
  std::string_view Bytes;              // Body only.
  bool Complete = false;               // End only: the whole response arrived.
  std::string_view Detail;             // End only: why it is incomplete.
};

/// Callbacks of a pool. All are called within TransferPool::runOnce().
struct TransferHandlers {
  std::function<void(const TransferEvent &)> OnEvent;
  /// Called when the connection is established, just before the first byte is
  /// sent. Returning false ends the transfer with no byte sent.
  std::function<bool(TransferId)> MaySend;
};

/// The transfers of one thread; used on that thread only.
class TransferPool {
public:
  explicit TransferPool(TransferHandlers handlers);
  TransferPool(const TransferPool &) = delete;
  TransferPool &operator=(const TransferPool &) = delete;
  ~TransferPool();

  /// Makes runOnce() also return when \p fd is readable, which the caller then
  /// has to read.
  void watch(int fd);

  /// Starts a transfer. Its events are delivered by later calls of runOnce().
  void start(TransferSpec spec);

  /// Cancels a transfer by closing its connection; no event follows.
  void cancel(TransferId id);

  /// Blocks until there is an event or \p maxwait has passed, then handles the
  /// events.
  void runOnce(Duration maxwait);

  /// Number of transfers in progress.
  [[nodiscard]] std::size_t size() const noexcept;

private:
  struct State;
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_TRANSFER_H
