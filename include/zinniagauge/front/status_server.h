// A small HTTP server for the readiness check and the metrics.
#ifndef ZINNIAGAUGE_FRONT_STATUS_SERVER_H
#define ZINNIAGAUGE_FRONT_STATUS_SERVER_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/listener.h"
#include "zinniagauge/net/tcp_connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniagauge {

/// The response for a path.
struct StatusResponse {
  int Status = 404;
  std::string Body;
};

struct StatusServer;

/// A connection to a status server.
struct StatusConnection {
  TcpConnection Tcp;
  StatusServer *Owner = nullptr;
  MessageParser Parser;
  std::string Body;
};

/// A server at one listening address. Its loop must outlive it.
struct StatusServer {
  Loop *EventLoop = nullptr;
  /// A further connection replaces another one. The platform checks readiness
  /// once a second.
  std::size_t MaxConnections = 16;
  Listener Listening;
  std::function<StatusResponse(std::string_view path)> Handler;
  std::unordered_map<StatusConnection *, std::shared_ptr<StatusConnection>>
      Connections;
};

/// Starts to serve at \p address. \p handler gives the response for a path
/// without its query and runs on the loop's thread. Fails with Unavailable.
[[nodiscard]] Result<void>
startStatusServer(StatusServer &server, Loop &lp, PeerAddress address,
                  std::function<StatusResponse(std::string_view path)> handler);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_STATUS_SERVER_H
