// The control calls to an endpoint as a plain struct of functions. Endpoints
// with another protocol fit by filling the struct in another way.
#ifndef ZINNIAGAUGE_ADAPT_ENDPOINT_CLIENT_H
#define ZINNIAGAUGE_ADAPT_ENDPOINT_CLIENT_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace zinniagauge {

/// What an endpoint says of itself.
struct EndpointStatus {
  std::string VersionLabel;      // That it runs now.
  std::uint64_t Incarnation = 0; // Rises with each start.
  bool Leaving = false;
};

/// What an endpoint says of its load, some time late.
struct EndpointLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t TokensInFlight = 0;
  Duration Age = Duration::zero(); // Since it was measured.
};

/// The wanted end of a version move at one endpoint: which version to run.
struct EndpointOrder {
  std::string VersionLabel;
  std::uint64_t FencingToken =
      0; // Of the lease under which the order is given.
};

/// The control calls. Each blocks until its answer or time-out, so only control
/// threads make one; any thread may, and several at once. All fail with
/// Unavailable if nothing was sent, and with TimedOut or Broken if it may have
/// been.
struct EndpointClient {
  std::function<Result<EndpointStatus>(const EndpointSpec &)> Status;
  std::function<Result<EndpointLoad>(const EndpointSpec &)> Load;
  /// Gives an order. Fails with Conflict if the endpoint refused its fencing
  /// number as old. Success says only that it was taken: what an endpoint runs
  /// is what its status reports.
  std::function<Result<void>(const EndpointSpec &, const EndpointOrder &)>
      Order;
};

/// The calls over HTTP: GET /status, GET /load and POST /order, each bounded by
/// \p timeout.
[[nodiscard]] EndpointClient httpEndpointClient(Duration timeout);

/// The JSON forms, apart from their transport. Each fails with Broken.
[[nodiscard]] Result<EndpointStatus> decodeStatus(std::string_view text);
[[nodiscard]] Result<EndpointLoad> decodeLoad(std::string_view text);
[[nodiscard]] std::string encodeOrder(const EndpointOrder &order);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_ENDPOINT_CLIENT_H
