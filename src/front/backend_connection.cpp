// Connections to back ends: sending requests and reading responses.
#include "zinniagauge/decide/complete_events.h"
#include "zinniagauge/decide/silence_timeout.h"
#include "zinniagauge/front/reachability.h"
#include "zinniagauge/front/relay.h"
#include "zinniagauge/front/reported_load.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <limits>

namespace zinniagauge {

namespace {

/// Timeout for establishing a connection: some round trips within a region. The
/// kernel retransmits a lost SYN only after a second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

/// A back end that acknowledges no sent data for this long is unreachable.
constexpr Duration AckTimeout = std::chrono::milliseconds(1500);

/// How long an idle connection is kept if the back end states no timeout.
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);

/// Subtracted from the timeout that the back end states, so that it doesn't
/// close the connection while a request is being sent.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(700);

/// The longest idle time of a connection that is reused for a call that isn't
/// safe to retry.
constexpr Duration MaxIdleForUnsafe = std::chrono::seconds(2);

constexpr std::size_t MaxResponseHeadBytes = std::size_t{32} << 10U;

/// A response that isn't streamed is buffered until it is complete.
constexpr std::uint64_t MaxResponseBodyBytes = std::uint64_t{16} << 20U;

/// Added to the silence timeout of a relayed call: the other front replaces
/// back ends that are silent.
constexpr Duration RelaySilenceMargin = std::chrono::seconds(1);

/// Interim responses, and responses to earlier calls, that may precede the
/// response to a call.
constexpr std::uint32_t MaxSkippedResponses = 8;

/// A sound back end may send nothing for a second or so; a longer silence
/// counts as a lost connection.
constexpr Duration MaxSoundSilence = std::chrono::seconds(2);

/// How often a silent back end's call is checked for another back end that
/// takes it over.
constexpr Duration SuccessorCheckPeriod = std::chrono::milliseconds(200);

/// Ends the role of \p conn as a standby, and returns its call if that still
/// waits for it.
std::shared_ptr<Call> releaseStandby(BackendConnection &conn) {
  std::shared_ptr<Call> call = std::move(conn.TakesOver);
  conn.TakesOver = nullptr;
  if (!call || call->Standby != &conn)
    return nullptr;
  call->Standby = nullptr;
  return call;
}

/// Records that \p to didn't take over the call of a silent back end, so that
/// another one is preferred next.
void recordNoTakeover(Call &call, const BackendState &to) {
  auto &tried = call.TriedBackends;
  if (std::find(tried.begin(), tried.end(), to.Info.Id) == tried.end())
    tried.push_back(to.Info.Id);
}

/// Removes the connection from the loop's state. It is deleted after the
/// current loop iteration.
void removeConnection(BackendConnection &conn) {
  RequestLoop &rl = *conn.Owner;
  if (const std::shared_ptr<Call> call = releaseStandby(conn))
    recordNoTakeover(*call, *conn.Target);
  disarm(rl.EventLoop, conn.ConnectTimer);
  disarm(rl.EventLoop, conn.SilenceTimer);
  std::erase(conn.Target->IdleConnections, &conn);
  const auto it = rl.BackendConnections.find(&conn);
  if (it == rl.BackendConnections.end())
    return;
  --conn.Target->ConnectionCount;
  deleteLater(rl.EventLoop, it->second);
  rl.BackendConnections.erase(it);
}

/// Called when the response has started or the attempt has ended: its prompt no
/// longer counts as pending.
void clearPendingTokens(BackendConnection &conn) {
  conn.Target->PendingTokens -= conn.PendingTokens;
  conn.PendingTokens = 0;
}

/// Detaches the call from its connection, if there is one, and returns it.
std::shared_ptr<Call> releaseCall(BackendConnection &conn) {
  std::shared_ptr<Call> call = std::move(conn.ActiveCall);
  clearPendingTokens(conn);
  disarm(conn.Owner->EventLoop, conn.SilenceTimer);
  if (call) {
    call->Connection = nullptr;
    call->Standby = nullptr;
    --conn.Target->Running;
    if (!conn.Target->IsPeer)
      recordChange(conn.Target->Reports.Calls, -1, conn.Owner->EventLoop.Now);
    scheduleLoadReport(*conn.Owner);
  }
  return call;
}

/// Closes and removes a connection; returns the call that used it, or null.
std::shared_ptr<Call> closeConnection(BackendConnection &conn) {
  std::shared_ptr<Call> call = releaseCall(conn);
  close(conn.Tcp);
  removeConnection(conn);
  return call;
}

/// How long the connection may stay idle: the timeout in the Keep-Alive header,
/// as in "timeout=5", minus a margin.
Duration keepAliveTime(const MessageHead &head) {
  const auto field = findField(head.Fields, "Keep-Alive");
  constexpr std::string_view Name = "timeout=";
  const std::size_t at = field ? field->find(Name) : std::string_view::npos;
  if (at == std::string_view::npos)
    return DefaultKeepAlive;
  const std::string_view num = field->substr(at + Name.size());
  std::int64_t secs = 0;
  std::from_chars(num.data(), num.data() + num.size(), secs);
  return std::max(Duration(std::chrono::seconds(secs)) - KeepAliveMargin,
                  Duration::zero());
}

/// Keeps a connection without a call for reuse within \p time.
void keepIdle(BackendConnection &conn, Duration time) {
  conn.IdleSince = conn.Owner->EventLoop.Now;
  conn.KeepAliveTime = time;
  conn.Target->IdleConnections.push_back(&conn);
}

/// What the loss of an attempt says of its back end.
enum class LossCause : std::uint8_t {
  IdleConnection, ///< The connection was closed while it was idle: nothing.
  Connection,     ///< It reset or closed the connection, or fell silent.
  WrongAnswer,    ///< It sent what can't be passed on as the call's answer.
};

/// Closes the connection and ends the call's attempt as lost.
void failAttempt(BackendConnection &conn, std::string_view reason,
                 LossCause cause) {
  RequestLoop &rl = *conn.Owner;
  BackendState &to = *conn.Target;
  const bool counts = lossCounts(conn);
  const std::shared_ptr<Call> call = closeConnection(conn);
  // After a response has begun, a peer passes on how its back end ended it.
  if (cause == LossCause::Connection && counts && !(to.IsPeer && conn.HeadRead))
    recordLostConnection(rl, to);
  else if (cause == LossCause::WrongAnswer)
    recordWrongAnswer(rl, to);
  if (call)
    onAttemptEnd(call, AttemptEnd::Lost, reason);
}

/// Whether a streamed response that has ended was broken off. Without a length
/// or chunks nothing else shows that. A resumed stream without any event can't
/// be told from one that was broken off again.
bool isBrokenOff(const BackendConnection &conn) {
  if (!conn.Streaming || !conn.ActiveCall)
    return false;
  const StreamState &st = conn.ActiveCall->Stream;
  return isInsideEvent(st.PartialEvent) ||
         ((headOf(conn.Parser).EndsAtClose || st.EventsBefore > 0) &&
          st.Events == st.EventsBefore);
}

/// Called when the response is complete. Keeps the connection for reuse or
/// closes it, then passes the response to the call. \p extra: bytes follow the
/// response, so the connection can't be reused.
void finishResponse(BackendConnection &conn, bool extra) {
  const MessageHead &head = headOf(conn.Parser);
  const bool keep = head.KeepAlive && !head.EndsAtClose && !conn.NotReusable &&
                    !extra && pendingBytes(conn.Tcp) == 0 &&
                    conn.Target->Listed && isOpen(conn.Tcp);
  const std::shared_ptr<Call> call = releaseCall(conn);
  if (call && !findField(head.Fields, conn.Owner->Names.NotRun))
    recordFreedSlot(conn.Target->Guard, conn.Owner->EventLoop.Now);
  const MessageParser parser = std::move(conn.Parser);
  const std::string body = std::move(conn.Body);
  conn.Body = std::string();
  const bool streamed = conn.Streaming;
  if (keep) {
    keepIdle(conn, keepAliveTime(headOf(parser)));
  } else {
    close(conn.Tcp);
    removeConnection(conn);
  }
  if (!call)
    return;
  if (streamed)
    onStreamEnd(call, headOf(parser));
  else
    onResponse(call, headOf(parser), body);
}

/// Prepares the connection to read the next response.
void beginResponse(BackendConnection &conn) {
  const bool head = conn.ActiveCall && conn.ActiveCall->Head.Method == "HEAD";
  beginMessage(
      conn.Parser, head ? MessageKind::ResponseToHead : MessageKind::Response,
      MaxResponseHeadBytes,
      conn.ActiveCall && conn.ActiveCall->Facts.Kind == CallKind::Stream
          ? std::numeric_limits<std::uint64_t>::max()
          : MaxResponseBodyBytes);
  conn.Body.clear();
  conn.HeadRead = false;
  conn.SkippingResponse = false;
  conn.Streaming = false;
}

/// Whether a successful response lacks what proves that it is the back end's
/// own and unchanged.
bool lacksProof(const MessageHead &head, const HeaderNames &names) {
  return head.Status / 100 == 2 && !findField(head.Fields, names.NotRun) &&
         (!findField(head.Fields, names.Seal) ||
          findField(head.Fields, "Content-Encoding"));
}

/// Records what the response of a back end says of it. A peer names the back
/// end whose response it passes on.
void recordHead(RequestLoop &rl, BackendState &from, const MessageHead &head,
                bool echoesid) {
  if (from.IsPeer) {
    const auto name = findField(head.Fields, relay::Backend);
    const auto it =
        name ? rl.Backends.find(EndpointId::of(*name)) : rl.Backends.end();
    if (it != rl.Backends.end())
      recordBackpressure(rl, *it->second, head, echoesid);
    return;
  }
  recordBackpressure(rl, from, head, echoesid);
  constexpr int Misdirected = 421; // Another process answered.
  if (head.Status != Misdirected)
    recordReachable(rl, from);
  recordReportedLoad(rl, from, head);
}

/// Whether a response that names no call may be that of the active call.
bool mayNameNoCall(const BackendConnection &conn, const MessageHead &head) {
  return conn.Target->IsPeer
             ? conn.ActiveCall->Id.empty() || relayOutcome(head).has_value()
             : conn.Uses <= 1;
}

/// Handles the header of a response, once it is complete. Returns why the
/// response can't be that of the call, or nothing.
std::string_view handleHead(BackendConnection &conn) {
  conn.HeadRead = true;
  const MessageHead &head = headOf(conn.Parser);
  if (head.Status < 200)
    return {};
  const HeaderNames &names = conn.Owner->Names;
  const auto id = findField(head.Fields, names.CallId);
  if (id && *id != conn.ActiveCall->Id) {
    // A second response to an earlier call. The response to this call may
    // follow, but the connection isn't reliable any more.
    conn.SkippingResponse = true;
    conn.NotReusable = true;
    EventLine line = eventLine("answer_of_other_call");
    add(line, "call", conn.ActiveCall->Id);
    add(line, "backend", conn.Target->Info.Name);
    conn.Owner->Log.write(line);
    return {};
  }
  if (!id && !mayNameNoCall(conn, head))
    return "answer names no call";
  recordHead(*conn.Owner, *conn.Target, head, id.has_value());
  if (lacksProof(head, names))
    return "answer without its proof";
  conn.Streaming = conn.ActiveCall->Facts.Kind == CallKind::Stream &&
                   conn.ActiveCall->Head.Method != "HEAD" &&
                   mayHaveBody(head.Status) && head.Status / 100 == 2 &&
                   findField(head.Fields, names.Seal);
  return {};
}

/// Passes the received part of a streamed response to the call. Returns false
/// if the connection no longer serves the call.
bool forwardEventsToCall(BackendConnection &conn) {
  const std::shared_ptr<Call> call = conn.ActiveCall;
  const std::string part = std::move(conn.Body);
  conn.Body = std::string();
  if (part.empty() || !call)
    return true;
  clearPendingTokens(conn);
  const std::string_view fault = onEvents(call, headOf(conn.Parser), part);
  if (!fault.empty() && conn.ActiveCall)
    failAttempt(conn, fault, LossCause::WrongAnswer);
  return conn.ActiveCall != nullptr;
}

/// Prepares to read the next response after one that isn't the call's. Returns
/// false if there were too many.
bool skipResponse(BackendConnection &conn) {
  if (++conn.SkippedResponses > MaxSkippedResponses)
    return false;
  beginResponse(conn);
  return true;
}

/// Whether a response that is buffered whole has become too large by the part
/// that was read last; it had \p before bytes before. The parser has no limit
/// for a body that may be a stream.
bool isTooLarge(const BackendConnection &conn, std::uint64_t before) {
  if (conn.Streaming)
    return false;
  const std::uint64_t size =
      std::max<std::uint64_t>(conn.Body.size(), conn.SkippedBytes);
  return size > MaxResponseBodyBytes ||
         exceedsBodyMemory(*conn.Owner, before, conn.Body.size());
}

/// Handles the part of a response that readMessage has read; its body had
/// \p before bytes before. Returns why the response can't be passed on, or
/// nothing.
std::string_view checkResponse(BackendConnection &conn, std::uint64_t before) {
  if (hasFailed(conn.Parser))
    return "malformed answer";
  if (stateOf(conn.Parser) != ParseState::InHead && !conn.HeadRead)
    if (const std::string_view fault = handleHead(conn); !fault.empty())
      return fault;
  if (conn.SkippingResponse) {
    conn.SkippedBytes += conn.Body.size();
    conn.Body.clear();
  }
  return isTooLarge(conn, before) ? "answer too large" : std::string_view();
}

/// Reads bytes of one response and returns their number. Empty if the response
/// is complete or the connection has failed.
std::optional<std::size_t> readResponse(BackendConnection &conn,
                                        std::string_view part) {
  const std::uint64_t before = conn.Body.size();
  const std::size_t n = readMessage(conn.Parser, part, conn.Body);
  if (const std::string_view fault = checkResponse(conn, before);
      !fault.empty()) {
    failAttempt(conn, fault, LossCause::WrongAnswer);
    return std::nullopt;
  }
  if (conn.Streaming && !forwardEventsToCall(conn))
    return std::nullopt;
  if (stateOf(conn.Parser) != ParseState::Done)
    return n;
  if (conn.SkippingResponse || headOf(conn.Parser).Status < 200) {
    if (skipResponse(conn))
      return n;
    failAttempt(conn, "too many answers that aren't the call's",
                LossCause::WrongAnswer);
    return std::nullopt;
  }
  if (isBrokenOff(conn))
    failAttempt(conn, "stream ends inside an event", LossCause::Connection);
  else
    finishResponse(conn, n < part.size());
  return std::nullopt;
}

/// How long the back end may send nothing before the attempt is lost.
Duration currentSilenceTimeout(const BackendConnection &conn) {
  const Call &call = *conn.ActiveCall;
  SilenceFacts facts;
  facts.ResponseStarted = call.Stream.Events > 0 && conn.HeadRead;
  facts.OtherCallsActive = conn.Target->LastByteAt > conn.LastByteAt;
  facts.LatencyTarget = call.Plan.LatencyTarget;
  facts.GapTarget = call.Plan.GapTarget;
  facts.ExpectedFirstEvent = expectedFirstEventTime(*conn.Owner, call);
  return silenceTimeout(facts) +
         (conn.Target->IsPeer ? RelaySilenceMargin : Duration::zero());
}

/// Whether the back end has been silent for longer than it may be.
bool isSilent(const BackendConnection &conn, Time now) {
  return now >= conn.LastByteAt + currentSilenceTimeout(conn);
}

void prepareTakeover(BackendConnection &conn);

void onSilenceTimer(void *ctx, Time now) {
  BackendConnection &conn = *static_cast<BackendConnection *>(ctx);
  if (!conn.ActiveCall)
    return;
  // Nothing is read while the caller is slow, so that says nothing.
  if (conn.Tcp.ReadPaused)
    conn.LastByteAt = now;
  Loop &lp = conn.Owner->EventLoop;
  if (!isSilent(conn, now)) {
    arm(lp, conn.SilenceTimer, conn.LastByteAt + currentSilenceTimeout(conn));
    return;
  }
  // Until another back end takes the call over it stays: this one may still
  // respond.
  arm(lp, conn.SilenceTimer, now + SuccessorCheckPeriod);
  prepareTakeover(conn);
}

std::size_t onBackendData(void *ctx, std::string_view part) {
  BackendConnection &conn = *static_cast<BackendConnection *>(ctx);
  conn.LastByteAt = conn.Owner->EventLoop.Now;
  conn.Target->LastByteAt = conn.LastByteAt;
  onBackendBytes(conn);
  if (!conn.ActiveCall) {
    EventLine line = eventLine("unasked_bytes");
    add(line, "backend", conn.Target->Info.Name);
    add(line, "bytes", static_cast<std::int64_t>(part.size()));
    conn.Owner->Log.write(line);
    closeConnection(conn);
    return part.size();
  }
  std::size_t taken = 0;
  while (taken < part.size()) {
    const auto n = readResponse(conn, part.substr(taken));
    if (!n)
      return part.size();
    taken += *n;
    if (*n == 0)
      break;
  }
  return taken;
}

/// Sends \p call over \p next if its back end is still silent. Returns whether
/// it did.
bool takeOverIfSilent(BackendConnection &next,
                      const std::shared_ptr<Call> &call) {
  return call->Connection &&
         isSilent(*call->Connection, next.Owner->EventLoop.Now) &&
         takeOver(next, call, "back end fell silent");
}

/// The request is sent when this returns. The back end may have left, or
/// refused others, since it was chosen: connecting takes time, and the process
/// may have been paused.
void onBackendConnected(void *ctx) {
  BackendConnection &conn = *static_cast<BackendConnection *>(ctx);
  disarm(conn.Owner->EventLoop, conn.ConnectTimer);
  conn.Target->UnconfirmedCrashes.clear();
  onBackendReached(conn);
  const bool postponed = conn.Target->Asked.RetryAt > conn.Owner->EventLoop.Now;
  if (isUsable(*conn.Target) && !(conn.ActiveCall && postponed)) {
    if (conn.ActiveCall)
      return;
    const std::shared_ptr<Call> waiting = releaseStandby(conn);
    if (!waiting || postponed || !takeOverIfSilent(conn, waiting))
      keepIdle(conn, DefaultKeepAlive);
    return;
  }
  const std::string_view reason = postponed ? "back end takes no calls now"
                                  : conn.Target->Evacuated ? ZoneEvacuated
                                                           : "back end left";
  const std::shared_ptr<Call> call = closeConnection(conn);
  if (call)
    onAttemptEnd(call, AttemptEnd::NotSent, reason);
}

/// Ends the attempt of a call whose request couldn't be sent.
void onUnreachable(BackendConnection &conn, std::string_view reason) {
  RequestLoop &rl = *conn.Owner;
  BackendState &to = *conn.Target;
  const bool counts = lossCounts(conn);
  const std::shared_ptr<Call> call = closeConnection(conn);
  if (counts)
    recordLostConnection(rl, to);
  if (call)
    onAttemptEnd(call, AttemptEnd::NotSent, reason);
}

void onBackendEnd(void *ctx, ConnectionEnd how, int err) {
  BackendConnection &conn = *static_cast<BackendConnection *>(ctx);
  if (how == ConnectionEnd::Refused && !conn.Target->IsPeer) {
    onConnectFailed(*conn.Owner, *conn.Target, conn.OpenedAt);
    if (lossCounts(conn))
      recordUnreachable(*conn.Owner, *conn.Target);
    onBackendDown(*conn.Owner, *conn.Target);
  } else if (how == ConnectionEnd::Reset) {
    onBackendReset(conn, err);
  }
  if (!conn.ActiveCall) {
    removeConnection(conn);
    return;
  }
  if (how == ConnectionEnd::Refused) {
    onUnreachable(conn, "connection refused");
    return;
  }
  if (how == ConnectionEnd::Closed && !conn.SkippingResponse) {
    endOfInput(conn.Parser);
    if (stateOf(conn.Parser) == ParseState::Done && !isBrokenOff(conn)) {
      finishResponse(conn, false);
      return;
    }
  }
  // A reused connection that ends before any byte of the response may have
  // been closed because it was idle; that isn't a fault of the back end.
  const LossCause cause = conn.Uses <= 1 || hasBegun(conn.Parser)
                              ? LossCause::Connection
                              : LossCause::IdleConnection;
  if (!conn.Target->IsPeer)
    onConnectionLost(*conn.Owner, *conn.Target, *conn.ActiveCall);
  failAttempt(conn, how == ConnectionEnd::Closed ? "answer cut short" : "reset",
              cause);
}

void onConnectTimer(void *ctx, Time /*now*/) {
  BackendConnection &conn = *static_cast<BackendConnection *>(ctx);
  // Its machine or the network is silent, which says nothing of a crash.
  conn.Target->UnconfirmedCrashes.clear();
  onConnectFailed(*conn.Owner, *conn.Target, conn.OpenedAt);
  onUnreachable(conn, "no connection in time");
}

const ConnectionHandlers BackendHandlers = {onBackendConnected, onBackendData,
                                            onBackendEnd, nullptr};

/// Takes an idle connection that \p call may reuse, or returns null. Closes
/// connections that were idle for too long.
BackendConnection *takeIdleConnection(RequestLoop &rl, BackendState &to,
                                      const Call &call) {
  while (!to.IdleConnections.empty()) {
    BackendConnection &conn = *to.IdleConnections.back();
    const Duration idle = rl.EventLoop.Now - conn.IdleSince;
    // Another copy of the response to the call's earlier attempt couldn't be
    // told from the response to this one.
    if (idle <= conn.KeepAliveTime && conn.LastCallId == call.Id)
      return nullptr;
    if (idle <= conn.KeepAliveTime &&
        (isRetrySafe(call.Facts) || idle <= MaxIdleForUnsafe)) {
      to.IdleConnections.pop_back();
      return &conn;
    }
    if (idle <= conn.KeepAliveTime)
      return nullptr; // Other calls may reuse it; the rest are older.
    closeConnection(conn);
  }
  return nullptr;
}

/// Opens a connection to \p to. Returns null if no socket could be opened.
BackendConnection *openBackendConnection(RequestLoop &rl, BackendState &to) {
  auto conn = std::make_shared<BackendConnection>();
  conn->Owner = &rl;
  conn->Target = &to;
  conn->ConnectTimer.Fn = onConnectTimer;
  conn->ConnectTimer.Ctx = conn.get();
  conn->SilenceTimer.Fn = onSilenceTimer;
  conn->SilenceTimer.Ctx = conn.get();
  conn->OpenedAt = rl.EventLoop.Now;
  if (!openConnection(conn->Tcp, rl.EventLoop, to.Info.Address, AckTimeout,
                      BackendHandlers, conn.get())) {
    const int err = errno;
    if (err == ECONNREFUSED || err == ENETUNREACH || err == EHOSTUNREACH)
      onConnectFailed(rl, to, rl.EventLoop.Now);
    if (to.IsPeer)
      passOverPeer(rl, to);
    errno = err;
    return nullptr;
  }
  countConnection(rl.Metrics);
  arm(rl.EventLoop, conn->ConnectTimer, rl.EventLoop.Now + ConnectTimeout);
  rl.BackendConnections.emplace(conn.get(), conn);
  ++to.ConnectionCount;
  return conn.get();
}

/// Lets another back end take over the call of the silent connection \p conn:
/// at once if there is an idle connection to it, else when one is established.
void prepareTakeover(BackendConnection &conn) {
  RequestLoop &rl = *conn.Owner;
  const std::shared_ptr<Call> call = conn.ActiveCall;
  BackendState *to = call->Standby ? nullptr : pickSuccessor(rl, *call);
  if (!to)
    return;
  if (BackendConnection *idle = takeIdleConnection(rl, *to, *call)) {
    if (!takeOver(*idle, call, "back end fell silent"))
      to->IdleConnections.push_back(idle);
    return;
  }
  BackendConnection *next = openBackendConnection(rl, *to);
  if (!next) {
    recordNoTakeover(*call, *to);
    return;
  }
  next->TakesOver = call;
  call->Standby = next;
}

} // namespace

bool hasIdleConnection(const RequestLoop &rl, const BackendState &to,
                       const Call &call) {
  const auto &list = to.IdleConnections;
  const auto it = std::find_if(list.rbegin(), list.rend(), [&](const auto *c) {
    return rl.EventLoop.Now - c->IdleSince <= c->KeepAliveTime;
  });
  return it != list.rend() && (*it)->LastCallId != call.Id &&
         (isRetrySafe(call.Facts) ||
          rl.EventLoop.Now - (*it)->IdleSince <= MaxIdleForUnsafe);
}

void checkBackend(RequestLoop &rl, BackendState &to) {
  if (openBackendConnection(rl, to))
    return;
  if (errno == ECONNREFUSED)
    onBackendDown(rl, to);
  to.UnconfirmedCrashes.clear();
}

namespace {

/// Whether a header is removed from the requests of callers.
bool isOwnField(const HeaderNames &names, std::string_view name) {
  return std::any_of(
      names.ReservedFields.begin(), names.ReservedFields.end(),
      [&](std::string_view own) { return equalsIgnoreCase(own, name); });
}

/// The request that is sent to the back end for \p call.
std::string requestText(const Call &call, const BackendState &to,
                        const HeaderNames &names, Time now) {
  std::string out;
  constexpr std::size_t HeadReserve = 768;
  out.reserve(call.Body.size() + HeadReserve);
  out.append(call.Head.Method).append(" ").append(call.Head.Target);
  out.append(" HTTP/1.1\r\n");
  const auto connection =
      findField(call.Head.Fields, "Connection").value_or("");
  bool haslength = !call.Body.empty();
  for (std::size_t n = 0; n < call.Head.Fields.Spans.size(); ++n) {
    const HeaderField f = fieldAt(call.Head.Fields, n);
    if (equalsIgnoreCase(f.Name, "Content-Length") ||
        equalsIgnoreCase(f.Name, "Transfer-Encoding")) {
      haslength = true;
      continue;
    }
    if (isHopByHopField(f.Name, connection) ||
        equalsIgnoreCase(f.Name, "Expect") || isOwnField(names, f.Name) ||
        isRelayField(f.Name) ||
        (call.Stream.LastEventId &&
         equalsIgnoreCase(f.Name, names.ResumeAfter)))
      continue;
    writeField(out, f.Name, f.Value);
  }
  if (call.Stream.LastEventId)
    writeField(out, names.ResumeAfter, *call.Stream.LastEventId);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.Deadline - now);
  writeField(
      out, names.TimeLeft,
      static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 1)));
  if (to.IsPeer) {
    writeRelayFields(out, call, to);
  } else {
    writeField(out, names.Endpoint, to.Info.Name);
    if (call.Plan.HasWorkspace)
      writeField(out, names.Workspace, call.Plan.WorkspaceName);
  }
  if (haslength)
    writeField(out, "Content-Length", std::uint64_t{call.Body.size()});
  out.append("\r\n").append(call.Body);
  return out;
}

} // namespace

bool sendCall(RequestLoop &rl, const std::shared_ptr<Call> &call,
              BackendState &to) {
  BackendConnection *conn = takeIdleConnection(rl, to, *call);
  if (!conn)
    conn = openBackendConnection(rl, to);
  if (!conn)
    return false;
  sendCallOver(*conn, call);
  return true;
}

void sendCallOver(BackendConnection &conn, const std::shared_ptr<Call> &call) {
  RequestLoop &rl = *conn.Owner;
  BackendState &to = *conn.Target;
  call->SentAt = rl.EventLoop.Now;
  call->TokensAhead = 0;
  conn.ActiveCall = call;
  if (!to.IsPeer) {
    recordSent(rl, to);
    call->TokensAhead = tokensAhead(rl, to);
    conn.PendingTokens = call->Work.PromptTokens;
    to.PendingTokens += conn.PendingTokens;
    recordChange(to.Reports.Calls, 1, rl.EventLoop.Now);
  }
  ++conn.Uses;
  conn.SkippedResponses = 0;
  conn.SkippedBytes = 0;
  conn.LastCallId = call->Id;
  call->Stream.EventsBefore = call->Stream.Events;
  ++to.Running;
  scheduleLoadReport(rl);
  call->Connection = &conn;
  beginResponse(conn);
  conn.LastByteAt = rl.EventLoop.Now;
  if (isRetrySafe(call->Facts))
    arm(rl.EventLoop, conn.SilenceTimer,
        rl.EventLoop.Now + currentSilenceTimeout(conn));
  if (rl.Log.logsCalls()) {
    EventLine line = eventLine("send");
    add(line, "call", call->Id);
    add(line, "backend", to.Info.Name);
    add(line, "attempt", std::int64_t{call->Facts.SentAttempts} + 1);
    add(line, "kept", std::int64_t{conn.Uses > 1 ? 1 : 0});
    add(line, "running_own", std::int64_t{to.Running});
    add(line, "tokens_ahead", static_cast<std::int64_t>(call->TokensAhead));
    add(line, "event_us", static_cast<std::int64_t>(to.EventMs * 1000));
    add(line, "waited_ms", call->QueueTime);
    add(line, "left_ms", call->Deadline - rl.EventLoop.Now);
    add(line, "plan", static_cast<std::int64_t>(call->Plan.Version));
    rl.Log.write(line);
  }
  send(conn.Tcp, requestText(*call, to, rl.Names, rl.EventLoop.Now));
}

void giveUpSilent(BackendConnection &conn) {
  RequestLoop &rl = *conn.Owner;
  BackendState &to = *conn.Target;
  const Duration silence =
      rl.EventLoop.Now - std::max(to.LastByteAt, conn.LastByteAt);
  const bool counts = lossCounts(conn) && silence >= MaxSoundSilence;
  onBackendSilent(conn);
  closeConnection(conn);
  // If it is another front, its back end is silent.
  if (counts && !to.IsPeer)
    recordLostConnection(rl, to);
}

void abortTransfer(Call &call) {
  if (call.Connection)
    closeConnection(*call.Connection);
}

void closeIdleConnections(BackendState &to) {
  const std::vector<BackendConnection *> idle = to.IdleConnections;
  for (BackendConnection *conn : idle)
    closeConnection(*conn);
}

void closeIdleConnections(RequestLoop &rl, Time now) {
  for (const auto *targets : {&rl.Backends, &rl.Peers})
    for (const auto &[id, st] : *targets) {
      const std::vector<BackendConnection *> idle = st->IdleConnections;
      for (BackendConnection *conn : idle)
        if (!st->Listed || now - conn->IdleSince > conn->KeepAliveTime)
          closeConnection(*conn);
    }
}

} // namespace zinniagauge
