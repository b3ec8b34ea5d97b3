// One connection to the table service: one HTTP request at a time. A response
// may take as long as it keeps arriving.
#ifndef ZINNIAGAUGE_STORE_STORE_CONNECTION_H
#define ZINNIAGAUGE_STORE_STORE_CONNECTION_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// The longest value of a row that is read.
inline constexpr std::size_t MaxRowValueBytes = std::size_t{4} << 20U;

/// The largest body that is read: a row with such a value, which is a third
/// longer in base64, and a megabyte of others.
inline constexpr std::uint64_t MaxResponseBytes =
    MaxRowValueBytes * 4 / 3 + (std::uint64_t{1} << 20U);

/// The reason of a failure if a body is larger than that.
inline constexpr std::string_view TooLargeResponse = "response too large";

/// An HTTP request to the service, made by its StoreProtocol.
struct StoreRequest {
  std::string Method;
  std::string Target;
  std::string Body; // JSON, or empty.
};

/// The response to a request, or the reason why there is none.
struct StoreResponse {
  int Status = 0; // Zero: no response; the request may have had its effect.
  HeaderList Fields;
  std::string Body;
  std::string FailureReason; // Set if Status is zero.
  Time RequestedAtBoot;      // When the request was made, by bootNow.
};

/// Called once for each request.
using StoreCallback = void (*)(void *ctx, const StoreResponse &response);

/// A connection that is opened when a request needs it.
struct StoreConnection {
  Loop *Lp = nullptr;
  PeerAddress ServerAddress;
  TcpConnection Tcp;
  MessageParser Parser;
  std::string Body;
  LoopTimer Timer;
  Duration Timeout = Duration::zero(); // Of the request in progress.
  std::size_t CheckedBytes = 0; // Of Body, when the timer was last armed.
  bool Busy = false;
  StoreCallback Callback = nullptr;
  void *Ctx = nullptr;
  Time RequestedAtBoot;
};

/// Prepares \p conn for requests to \p server. It doesn't open the connection.
void setUpStoreConnection(StoreConnection &conn, Loop &lp, PeerAddress server);

/// The bytes of a body by which a response has to grow within each timeout, if
/// it isn't complete before.
inline constexpr std::size_t MinProgressBytes = std::size_t{16} << 10U;

/// Sends a request; the connection must not be busy. \p callback is called with
/// the response, or with Status zero on failure, or if within \p timeout the
/// response neither ends nor grows by MinProgressBytes. It is never called from
/// within this function.
void sendRequest(StoreConnection &conn, const StoreRequest &request,
                 Duration timeout, StoreCallback callback, void *ctx);

/// Closes the connection. A request in progress ends with Status zero.
void closeStoreConnection(StoreConnection &conn);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_STORE_CONNECTION_H
