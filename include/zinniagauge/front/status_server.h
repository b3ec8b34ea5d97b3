// A small server of texts: readiness and metrics.
#ifndef ZINNIAGAUGE_FRONT_STATUS_SERVER_H
#define ZINNIAGAUGE_FRONT_STATUS_SERVER_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniagauge {

/// What a path answers.
struct StatusResponse {
  int Status = 404;
  std::string Body;
};

struct StatusServer;

/// A connection to a status port.
struct StatusConnection {
  TcpConnection Tcp;
  StatusServer *Owner = nullptr;
  MessageParser Parser;
  std::string Body;
};

/// A listening address, on a loop that outlives it.
struct StatusServer {
  Loop *EventLoop = nullptr;
  Watch Listener;
  std::function<StatusResponse(std::string_view path)> Handler;
  std::unordered_map<StatusConnection *, std::shared_ptr<StatusConnection>>
      Connections;

  StatusServer() = default;
  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;
  ~StatusServer();
};

/// Starts to serve at \p at. Fails with Unavailable.
[[nodiscard]] Result<void>
startStatusServer(StatusServer &port, Loop &lp, PeerAddress at,
                  std::function<StatusResponse(std::string_view path)> answer);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_STATUS_SERVER_H
