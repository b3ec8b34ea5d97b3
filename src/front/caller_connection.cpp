// Connections of callers: reading requests and sending responses.
#include "zinniagauge/front/relay.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace zinniagauge {

namespace {

/// Bytes of pipelined requests that are buffered while one call is served;
/// beyond that reading pauses.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} << 10U;

/// Unsent bytes of responses above which no further request of a caller is
/// read.
constexpr std::size_t MaxUnsentBytes = std::size_t{128} << 10U;

/// A caller that acknowledges no sent data for this long is disconnected.
constexpr Duration CallerAckTimeout = std::chrono::seconds(10);

bool isStopping(const RequestLoop &rl) {
  return rl.Board.Stopping.load(std::memory_order_relaxed);
}

void armIdleTimer(CallerConnection &c) {
  arm(c.Owner->EventLoop, c.Timer,
      c.Owner->EventLoop.Now + c.Owner->Limits.IdleTimeout);
}

/// Removes the connection from the loop's state. It is deleted after the
/// current loop iteration.
void removeCaller(CallerConnection &c) {
  RequestLoop &rl = *c.Owner;
  disarm(rl.EventLoop, c.Timer);
  const auto it = rl.Callers.find(&c);
  if (it == rl.Callers.end())
    return;
  if (c.FromPeer)
    --rl.PeerConnections;
  deleteLater(rl.EventLoop, it->second);
  rl.Callers.erase(it);
}

void onCallerEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  CallerConnection &c = *static_cast<CallerConnection *>(ctx);
  const std::shared_ptr<Call> call = std::move(c.ActiveCall);
  removeCaller(c);
  if (call)
    onCallerDisconnected(call);
}

/// Logs a request that can't be read, responds with \p status and closes the
/// connection.
void refuseRequest(CallerConnection &c, int status, std::string_view reason,
                   Duration retryafter = Duration::zero()) {
  RequestLoop &rl = *c.Owner;
  if (rl.Log.logsCalls()) {
    EventLine line = eventLine("unreadable_request");
    // Present if parsing got as far as this header.
    if (const auto id = findField(headOf(c.Parser).Fields, rl.Names.CallId))
      add(line, "call", *id);
    add(line, "status", std::int64_t{status});
    add(line, "why", reason);
    rl.Log.write(line);
  }
  respondWithStatus(c, status, reason, retryafter, true);
}

/// Refuses a request whose parsing failed. Returns whether it did. The bytes
/// after it can't be parsed, as the end of the request is unknown.
bool refuseUnreadable(CallerConnection &c, ParseState st) {
  switch (st) {
  case ParseState::HeadTooLarge:
    refuseRequest(c, 431, "header too large");
    return true;
  case ParseState::BodyTooLarge:
    refuseRequest(c, 413, "body too large");
    return true;
  case ParseState::FramingTooLarge:
    refuseRequest(c, 400, "chunk extensions or trailer too large");
    return true;
  case ParseState::Malformed:
    refuseRequest(c, 400, "malformed request");
    return true;
  default:
    return false;
  }
}

/// Sends 100 Continue if the request expects it.
void sendContinue(CallerConnection &c) {
  if (c.SentContinue)
    return;
  c.SentContinue = true;
  const auto expect = findField(headOf(c.Parser).Fields, "Expect");
  if (expect && equalsIgnoreCase(*expect, "100-continue"))
    send(c.Tcp, "HTTP/1.1 100 Continue\r\n\r\n");
}

/// Whether the caller's next request may be read now.
bool mayReadRequest(const CallerConnection &c) {
  return !c.ActiveCall && isReceiving(c.Tcp) &&
         pendingBytes(c.Tcp) <= MaxUnsentBytes;
}

/// Pauses reading if \p unread bytes of further requests have to wait.
void pauseIfFull(CallerConnection &c, std::size_t unread) {
  const std::size_t limit = c.ActiveCall ? MaxPipelinedBytes : 0;
  if (!mayReadRequest(c) && unread > limit)
    setReadPaused(c.Tcp, true);
}

std::size_t onCallerData(void *ctx, std::string_view part) {
  CallerConnection &c = *static_cast<CallerConnection *>(ctx);
  std::size_t taken = 0;
  while (taken < part.size() && mayReadRequest(c)) {
    if (!c.Parser.State) {
      beginMessage(c.Parser, MessageKind::Request,
                   c.Owner->Limits.MaxHeadBytes +
                       (c.FromPeer ? relay::MaxFieldBytes : 0),
                   c.Owner->Limits.MaxBodyBytes);
      c.Body.clear();
      c.SentContinue = false;
      c.IsHead = false;
      arm(c.Owner->EventLoop, c.Timer,
          c.Owner->EventLoop.Now + c.Owner->Limits.HeadTimeout);
    }
    const std::uint64_t before = c.Body.size();
    const std::size_t n = readMessage(c.Parser, part.substr(taken), c.Body);
    taken += n;
    c.IsHead = headOf(c.Parser).Method == "HEAD";
    const ParseState st = stateOf(c.Parser);
    if (refuseUnreadable(c, st))
      return part.size();
    if (exceedsBodyMemory(*c.Owner, before, c.Body.size())) {
      refuseRequest(c, 503, "no memory for the body", DefaultRetryAfter);
      return part.size();
    }
    if (st == ParseState::InBody) {
      armIdleTimer(c);
      sendContinue(c);
    }
    if (st == ParseState::Done) {
      disarm(c.Owner->EventLoop, c.Timer);
      MessageHead head = headOf(c.Parser);
      c.Parser.State.reset();
      startCall(c, std::move(head), std::move(c.Body));
      c.Body = std::string();
    } else if (n == 0) {
      break;
    }
  }
  pauseIfFull(c, part.size() - taken);
  return taken;
}

void onCallerTimer(void *ctx, Time /*now*/) {
  CallerConnection &c = *static_cast<CallerConnection *>(ctx);
  const std::size_t unsent = pendingBytes(c.Tcp);
  if (c.Parser.State && hasBegun(c.Parser) && !c.Tcp.CloseAfterSending) {
    refuseRequest(c, 408, "request not complete in time");
  } else if (unsent > 0 && unsent != c.UnsentAtTimer) {
    // The caller still reads its response.
    c.UnsentAtTimer = unsent;
    armIdleTimer(c);
  } else if (unsent > 0) {
    resetCaller(c);
  } else {
    // The system still sends what it has of the last response.
    closeCallerAfterSending(c);
  }
}

void onCallerSent(void *ctx) {
  CallerConnection &c = *static_cast<CallerConnection *>(ctx);
  if (c.ActiveCall && c.ActiveCall->Connection) {
    setReadPaused(c.ActiveCall->Connection->Tcp, false);
  } else if (mayReadRequest(c)) {
    if (!c.Parser.State)
      armIdleTimer(c);
    setReadPaused(c.Tcp, false);
    redeliver(c.Tcp);
  }
}

const ConnectionHandlers CallerHandlers = {nullptr, onCallerData, onCallerEnd,
                                           onCallerSent, true};

void onConnection(void *ctx, int fd) {
  addCaller(*static_cast<RequestLoop *>(ctx), fd, false);
}

/// Whether no request is in progress or has arrived on the connection.
bool isIdle(const CallerConnection &c) {
  return !c.ActiveCall && !(c.Parser.State && hasBegun(c.Parser)) &&
         !hasUnreadData(c.Tcp);
}

bool freeConnection(void *ctx) {
  return closeLongestIdle(*static_cast<RequestLoop *>(ctx), false);
}

const ListenerHandlers CallerListener = {onConnection, freeConnection};

/// Appends the header fields of a back end's response that are passed on to the
/// caller. Another front is told for which call it is in any case.
void writeResponseFields(std::string &out, const CallerConnection &c,
                         const MessageHead &head) {
  const auto connection = findField(head.Fields, "Connection").value_or("");
  for (std::size_t n = 0; n < head.Fields.Spans.size(); ++n) {
    const HeaderField f = fieldAt(head.Fields, n);
    if (!isHopByHopField(f.Name, connection) && !isRelayField(f.Name) &&
        !equalsIgnoreCase(f.Name, "Content-Length"))
      writeField(out, f.Name, f.Value);
  }
  if (c.FromPeer && c.ActiveCall) {
    const auto it = c.Owner->Backends.find(c.ActiveCall->LastBackend);
    if (it != c.Owner->Backends.end())
      writeField(out, relay::Backend, it->second->Info.Name);
    writeField(out, relay::Attempts,
               std::uint64_t{c.ActiveCall->Facts.SentAttempts});
  }
  const std::string_view idname = c.Owner->Names.CallId;
  if (c.FromPeer && c.ActiveCall && !c.ActiveCall->Id.empty() &&
      !findField(head.Fields, idname))
    writeField(out, idname, c.ActiveCall->Id);
}

/// Appends the end of a response's header.
void writeHeadEnd(std::string &out, const RequestLoop &rl) {
  if (isStopping(rl))
    writeField(out, "Connection", "close");
  out.append("\r\n");
}

} // namespace

void addCaller(RequestLoop &rl, int fd, bool frompeer) {
  if (rl.Callers.size() + rl.BackendConnections.size() + 1 >=
      rl.Settings.MaxDescriptors) {
    ::close(fd);
    return;
  }
  auto c = std::make_shared<CallerConnection>();
  c->Owner = &rl;
  c->FromPeer = frompeer;
  c->Timer.Fn = onCallerTimer;
  c->Timer.Ctx = c.get();
  rl.Callers.emplace(c.get(), c);
  rl.PeerConnections += frompeer ? 1 : 0;
  adopt(c->Tcp, rl.EventLoop, fd, CallerHandlers, c.get());
  setAckTimeout(c->Tcp, CallerAckTimeout);
  armIdleTimer(*c);
}

bool closeLongestIdle(RequestLoop &rl, bool onlypeers) {
  CallerConnection *longest = nullptr;
  for (const auto &[c, owner] : rl.Callers)
    if ((!longest || c->Timer.Deadline < longest->Timer.Deadline) &&
        (c->FromPeer || !onlypeers) && pendingBytes(c->Tcp) == 0 && isIdle(*c))
      longest = c;
  if (longest)
    closeCallerAfterSending(*longest);
  return longest != nullptr;
}

Result<void> listenForCallers(RequestLoop &rl) {
  return startListening(rl.Listening, rl.EventLoop, rl.Settings.Callers,
                        CallerListener, &rl);
}

void respondWithStatus(CallerConnection &c, int status, std::string_view reason,
                       Duration retryafter, bool drop) {
  std::string out;
  writeStatusLine(out, status);
  if (retryafter > Duration::zero()) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f",
                  std::chrono::duration<double>(retryafter).count());
    writeField(out, "Retry-After", buf.data());
  }
  if (c.FromPeer)
    writeRelayOutcome(out, *c.Owner, c.ActiveCall.get(), status);
  const std::string body = "{\"reason\":\"" + std::string(reason) + "\"}";
  writeField(out, "Content-Type", "application/json");
  writeField(out, "Content-Length", std::uint64_t{body.size()});
  if (drop || isStopping(*c.Owner))
    writeField(out, "Connection", "close");
  out.append("\r\n");
  if (!c.IsHead)
    out.append(body);
  send(c.Tcp, out);
  if (drop)
    closeCallerAfterSending(c);
}

void forwardResponse(CallerConnection &c, const MessageHead &head,
                     std::string_view body) {
  std::string out;
  constexpr std::size_t HeadReserve = 512;
  out.reserve(body.size() + HeadReserve);
  writeStatusLine(out, head.Status);
  writeResponseFields(out, c, head);
  // In an answer to HEAD the length is that of the answer to GET, which only
  // the back end knows.
  const auto length = findField(head.Fields, "Content-Length");
  const bool hasbody = !c.IsHead && mayHaveBody(head.Status);
  if (hasbody)
    writeField(out, "Content-Length", std::uint64_t{body.size()});
  else if (c.IsHead && length && mayHaveBody(head.Status))
    writeField(out, "Content-Length", *length);
  writeHeadEnd(out, *c.Owner);
  if (hasbody)
    out.append(body);
  send(c.Tcp, out);
}

void startStreamResponse(CallerConnection &c, const MessageHead &head,
                         std::string_view events) {
  std::string out;
  constexpr std::size_t HeadReserve = 512;
  out.reserve(events.size() + HeadReserve);
  writeStatusLine(out, head.Status);
  writeResponseFields(out, c, head);
  writeField(out, "Transfer-Encoding", "chunked");
  writeHeadEnd(out, *c.Owner);
  if (!events.empty())
    writeChunk(out, events);
  send(c.Tcp, out);
}

void forwardEvents(CallerConnection &c, std::string_view events) {
  std::string out;
  constexpr std::size_t FrameReserve = 16;
  out.reserve(events.size() + FrameReserve);
  writeChunk(out, events);
  send(c.Tcp, out);
}

void endStreamResponse(CallerConnection &c) { send(c.Tcp, LastChunk); }

void serveNextRequest(CallerConnection &c) {
  c.ActiveCall.reset();
  if (!isOpen(c.Tcp))
    return;
  if (isStopping(*c.Owner)) {
    closeCallerAfterSending(c);
    return;
  }
  armIdleTimer(c);
  if (!mayReadRequest(c))
    return; // onCallerSent goes on.
  setReadPaused(c.Tcp, false);
  redeliver(c.Tcp);
}

void closeCallerAfterSending(CallerConnection &c) {
  c.ActiveCall.reset();
  closeAfterSending(c.Tcp);
  if (isOpen(c.Tcp))
    armIdleTimer(c); // The rest must be sent within this timeout.
  else
    removeCaller(c);
}

void closeIdleCallers(RequestLoop &rl) {
  std::vector<std::shared_ptr<CallerConnection>> idle;
  for (const auto &[key, c] : rl.Callers)
    if (isIdle(*c) && !(c->FromPeer && rl.PeerListening.Socket.Fd >= 0))
      idle.push_back(c);
  for (const auto &c : idle)
    closeCallerAfterSending(*c);
}

bool hasOpenRequests(const RequestLoop &rl) {
  return std::any_of(rl.Callers.begin(), rl.Callers.end(),
                     [](const auto &item) { return !isIdle(*item.second); });
}

void resetCaller(CallerConnection &c) {
  close(c.Tcp, true);
  removeCaller(c);
}

} // namespace zinniagauge
