// The control calls to an endpoint as a plain struct of functions. An adapter
// for another protocol provides other functions.
#ifndef ZINNIAGAUGE_ADAPT_ENDPOINT_CLIENT_H
#define ZINNIAGAUGE_ADAPT_ENDPOINT_CLIENT_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <functional>
#include <string>

namespace zinniagauge {

/// The status that an endpoint reports.
struct EndpointStatus {
  std::string VersionLabel;      // The version that it runs now.
  std::uint64_t Incarnation = 0; // Increases with each start.
  bool Leaving = false;
};

/// The load that an endpoint reports, measured some time before.
struct EndpointLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t TokensInFlight = 0;
  Duration Age = Duration::zero(); // Time since the measurement.
};

/// An order to an endpoint to run a version, as part of a version move.
struct EndpointOrder {
  std::string VersionLabel;
  std::uint64_t FencingToken = 0; // Of the lease that permits the order.
};

/// The control calls. Each blocks until its response or timeout, so only
/// control threads should call them; concurrent calls from any threads are
/// safe. All fail with Unavailable if nothing was sent, and with TimedOut or
/// Broken if the request may have been sent.
struct EndpointClient {
  std::function<Result<EndpointStatus>(const EndpointSpec &)> Status;
  std::function<Result<EndpointLoad>(const EndpointSpec &)> Load;
  /// Sends an order. Fails with Conflict if the endpoint rejected its fencing
  /// token as outdated. Success means only that the endpoint accepted the
  /// order; Status reports the version that it runs.
  std::function<Result<void>(const EndpointSpec &, const EndpointOrder &)>
      Order;
};

/// The calls over HTTP: GET /status, GET /load and POST /order, each bounded by
/// \p timeout.
[[nodiscard]] EndpointClient httpEndpointClient(Duration timeout);

/// The JSON encodings, independent of the transport. Decoding fails with Broken
/// if \p text is malformed.
[[nodiscard]] Result<EndpointStatus> decodeStatus(std::string_view text);
[[nodiscard]] Result<EndpointLoad> decodeLoad(std::string_view text);
[[nodiscard]] std::string encodeOrder(const EndpointOrder &order);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_ENDPOINT_CLIENT_H
