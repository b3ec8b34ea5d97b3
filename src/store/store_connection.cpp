// HTTP requests to the table service over one connection.
#include "zinniagauge/store/store_connection.h"

namespace zinniagauge {

namespace {

constexpr std::size_t MaxHeadBytes = 8192;

/// A service that acknowledges no data for this long counts as unreachable.
constexpr Duration AckTimeout = std::chrono::milliseconds(1500);

/// Ends the request in progress, if any, and calls its callback. Closes the
/// connection unless \p keepopen. \p head is null if there is no response.
void finish(StoreConnection &conn, const MessageHead *head,
            std::string_view failure, bool keepopen) {
  disarm(*conn.Lp, conn.Timer);
  if (!keepopen)
    close(conn.Tcp);
  if (!conn.Busy)
    return;
  conn.Busy = false;
  StoreResponse response;
  if (head) {
    response.Status = head->Status;
    response.Fields = head->Fields;
  }
  response.Body = std::move(conn.Body);
  response.FailureReason = failure;
  response.RequestedAtBoot = conn.RequestedAtBoot;
  conn.Body = std::string();
  conn.Parser.State.reset();
  conn.Callback(conn.Ctx, response);
}

std::size_t onData(void *ctx, std::string_view data) {
  StoreConnection &conn = *static_cast<StoreConnection *>(ctx);
  if (!conn.Busy) {
    close(conn.Tcp); // Data without a request: the stream is out of sync.
    return data.size();
  }
  const std::size_t n = readMessage(conn.Parser, data, conn.Body);
  const ParseState st = stateOf(conn.Parser);
  if (st == ParseState::Done) {
    const MessageHead &head = headOf(conn.Parser);
    finish(conn, &head, {}, head.KeepAlive && n == data.size());
    return data.size();
  }
  if (hasFailed(conn.Parser)) {
    finish(conn, nullptr,
           stateOf(conn.Parser) == ParseState::BodyTooLarge
               ? TooLargeResponse
               : "malformed answer",
           false);
    return data.size();
  }
  if (conn.Body.size() - conn.CheckedBytes >= MinProgressBytes) {
    conn.CheckedBytes = conn.Body.size();
    arm(*conn.Lp, conn.Timer, conn.Lp->Now + conn.Timeout);
  }
  return n;
}

void onEnd(void *ctx, ConnectionEnd end, int /*err*/) {
  StoreConnection &conn = *static_cast<StoreConnection *>(ctx);
  finish(conn, nullptr,
         end == ConnectionEnd::Refused ? "refused" : "connection lost", false);
}

void onTimer(void *ctx, Time /*now*/) {
  finish(*static_cast<StoreConnection *>(ctx), nullptr, "no answer in time",
         false);
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

} // namespace

void setUpStoreConnection(StoreConnection &conn, Loop &lp, PeerAddress server) {
  conn.Lp = &lp;
  conn.ServerAddress = server;
  conn.Timer.Fn = onTimer;
  conn.Timer.Ctx = &conn;
}

void sendRequest(StoreConnection &conn, const StoreRequest &request,
                 Duration timeout, StoreCallback callback, void *ctx) {
  conn.Busy = true;
  conn.Callback = callback;
  conn.Ctx = ctx;
  conn.RequestedAtBoot = bootNow();
  conn.Body.clear();
  conn.Timeout = timeout;
  conn.CheckedBytes = 0;
  beginMessage(conn.Parser, MessageKind::Response, MaxHeadBytes,
               MaxResponseBytes);
  arm(*conn.Lp, conn.Timer, conn.Lp->Now + timeout);
  if (!isOpen(conn.Tcp) &&
      !openConnection(conn.Tcp, *conn.Lp, conn.ServerAddress, AckTimeout,
                      Handlers, &conn)) {
    // The timer reports the failure, so that the callback doesn't run before
    // this function returns.
    arm(*conn.Lp, conn.Timer, conn.Lp->Now);
    return;
  }
  std::string out;
  out.append(request.Method).append(" ").append(request.Target);
  out.append(" HTTP/1.1\r\n");
  writeField(out, "Host", toString(conn.ServerAddress));
  if (!request.Body.empty())
    writeField(out, "Content-Type", "application/json");
  if (!request.Body.empty() || request.Method != "GET")
    writeField(out, "Content-Length", std::uint64_t{request.Body.size()});
  out.append("\r\n").append(request.Body);
  send(conn.Tcp, out);
}

void closeStoreConnection(StoreConnection &conn) {
  finish(conn, nullptr, "given up", false);
}

} // namespace zinniagauge
