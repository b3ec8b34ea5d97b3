// A small server of texts: readiness and metrics.
#ifndef ZINNIAGAUGE_FRONT_STATUS_PORT_H
#define ZINNIAGAUGE_FRONT_STATUS_PORT_H

#include "zinniagauge/net/channel.h"
#include "zinniagauge/net/http1.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinniagauge {

/// What a path answers.
struct StatusText {
  int Status = 404;
  std::string Body;
};

struct StatusPort;

/// A connection to a status port.
struct StatusVisitor {
  Channel Ch;
  StatusPort *Owner = nullptr;
  MessageParser Parser;
  std::string Body;
};

/// A listening address, on a loop that outlives it.
struct StatusPort {
  Loop *Lp = nullptr;
  Watch Listener;
  std::function<StatusText(std::string_view path)> Answer;
  std::unordered_map<StatusVisitor *, std::shared_ptr<StatusVisitor>> Visitors;

  StatusPort() = default;
  StatusPort(const StatusPort &) = delete;
  StatusPort &operator=(const StatusPort &) = delete;
  ~StatusPort();
};

/// Starts to serve at \p at. Fails with Unavailable.
[[nodiscard]] Result<void>
serveStatus(StatusPort &port, Loop &lp, PeerAddress at,
            std::function<StatusText(std::string_view path)> answer);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_STATUS_PORT_H
