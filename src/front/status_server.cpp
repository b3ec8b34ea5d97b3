// Serves the readiness check and the metrics over HTTP.
#include "zinniagauge/front/status_server.h"

namespace zinniagauge {

namespace {

/// Limit of a request's header, and of its body.
constexpr std::size_t MaxHeadBytes = 4096;

void removeConnection(StatusConnection &conn) {
  const auto it = conn.Owner->Connections.find(&conn);
  if (it == conn.Owner->Connections.end())
    return;
  deleteLater(*conn.Owner->EventLoop, it->second);
  conn.Owner->Connections.erase(it);
}

void onEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  removeConnection(*static_cast<StatusConnection *>(ctx));
}

/// Sends the response to the request that was read.
void respond(StatusConnection &conn) {
  const MessageHead &head = headOf(conn.Parser);
  const std::string_view target = head.Target;
  const StatusResponse response =
      conn.Owner->Handler(target.substr(0, target.find('?')));
  std::string out;
  writeStatusLine(out, response.Status);
  writeField(out, "Content-Type", "text/plain; version=0.0.4");
  writeField(out, "Content-Length", std::uint64_t{response.Body.size()});
  if (!head.KeepAlive)
    writeField(out, "Connection", "close");
  out.append("\r\n");
  if (head.Method != "HEAD")
    out.append(response.Body);
  const bool keep = head.KeepAlive;
  conn.Parser.State.reset();
  send(conn.Tcp, out);
  if (keep)
    return;
  closeAfterSending(conn.Tcp);
  if (!isOpen(conn.Tcp))
    removeConnection(conn);
}

std::size_t onData(void *ctx, std::string_view part) {
  StatusConnection &conn = *static_cast<StatusConnection *>(ctx);
  std::size_t taken = 0;
  while (taken < part.size() && isReceiving(conn.Tcp)) {
    if (!conn.Parser.State)
      beginMessage(conn.Parser, MessageKind::Request, MaxHeadBytes,
                   MaxHeadBytes);
    const std::size_t n =
        readMessage(conn.Parser, part.substr(taken), conn.Body);
    taken += n;
    conn.Body.clear();
    const ParseState st = stateOf(conn.Parser);
    if (st == ParseState::Done) {
      respond(conn);
    } else if (hasFailed(conn.Parser)) {
      close(conn.Tcp);
      removeConnection(conn);
      return part.size();
    } else if (n == 0) {
      break;
    }
  }
  return taken;
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

/// Closes the first connection of the table; returns whether there was one.
bool closeAny(void *ctx) {
  StatusServer &server = *static_cast<StatusServer *>(ctx);
  if (server.Connections.empty())
    return false;
  const auto conn = server.Connections.begin()->second;
  close(conn->Tcp);
  removeConnection(*conn);
  return true;
}

void onConnection(void *ctx, int fd) {
  StatusServer &server = *static_cast<StatusServer *>(ctx);
  if (server.Connections.size() >= server.MaxConnections)
    closeAny(&server);
  auto conn = std::make_shared<StatusConnection>();
  conn->Owner = &server;
  server.Connections.emplace(conn.get(), conn);
  adopt(conn->Tcp, *server.EventLoop, fd, Handlers, conn.get());
}

const ListenerHandlers StatusListener = {onConnection, closeAny};

} // namespace

Result<void> startStatusServer(
    StatusServer &server, Loop &lp, PeerAddress address,
    std::function<StatusResponse(std::string_view path)> handler) {
  server.EventLoop = &lp;
  server.Handler = std::move(handler);
  return startListening(server.Listening, lp, address, StatusListener, &server);
}

} // namespace zinniagauge
