#include "zinniagauge/decide/silence_timeout.h"
#include "zinniagauge/front/request_loop.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace zinniagauge {

namespace {

/// How long a connection may take: some round trips within a region. A lost
/// opening packet is repeated by the kernel only after a second.
constexpr Duration OpenTimeout = std::chrono::milliseconds(300);

/// A back end that acknowledges no byte for so long can't be reached.
constexpr Duration LinkSilence = std::chrono::milliseconds(1500);

/// How long a connection is kept if its back end states nothing.
constexpr Duration KeepUnstated = std::chrono::seconds(4);

/// Taken off what the back end states, so that it doesn't close as we send.
constexpr Duration KeepMargin = std::chrono::milliseconds(700);

/// The longest idle time after which a call that may not be repeated is still
/// sent over a kept connection.
constexpr Duration KeepForUnsafe = std::chrono::seconds(2);

/// Header bytes of an answer.
constexpr std::size_t MostAnswerHead = std::size_t{32} << 10U;

/// Body bytes of an answer that isn't streamed; it is held until it is whole.
constexpr std::uint64_t MostAnswerBody = std::uint64_t{16} << 20U;

void forget(BackendConnection &lk) {
  RequestLoop &rl = *lk.Owner;
  disarm(rl.EventLoop, lk.ConnectTimer);
  disarm(rl.EventLoop, lk.SilenceTimer);
  std::erase(lk.Target->IdleConnections, &lk);
  const auto it = rl.BackendConnections.find(&lk);
  if (it == rl.BackendConnections.end())
    return;
  --lk.Target->ConnectionCount;
  deleteLater(rl.EventLoop, it->second);
  rl.BackendConnections.erase(it);
}

/// The back end has begun to answer, or never will.
void settlePending(BackendConnection &lk) {
  lk.Target->PendingTokens -= lk.PendingTokens;
  lk.PendingTokens = 0;
}

/// Takes the call off its link; the back end has one call less.
std::shared_ptr<Call> release(BackendConnection &lk) {
  std::shared_ptr<Call> call = std::move(lk.ActiveCall);
  settlePending(lk);
  disarm(lk.Owner->EventLoop, lk.SilenceTimer);
  if (call) {
    call->Connection = nullptr;
    --lk.Target->Running;
    scheduleLoadReport(*lk.Owner);
  }
  return call;
}

/// Ends a link's connection and gives the call that was on it.
std::shared_ptr<Call> endLink(BackendConnection &lk) {
  std::shared_ptr<Call> call = release(lk);
  close(lk.Tcp);
  forget(lk);
  return call;
}

/// "timeout=5" of a Keep-Alive field, less a margin.
Duration keepTime(const MessageHead &head) {
  const auto field = findField(head.Fields, "Keep-Alive");
  constexpr std::string_view Name = "timeout=";
  const std::size_t at = field ? field->find(Name) : std::string_view::npos;
  if (at == std::string_view::npos)
    return KeepUnstated;
  const std::string_view num = field->substr(at + Name.size());
  std::int64_t secs = 0;
  std::from_chars(num.data(), num.data() + num.size(), secs);
  return std::max(Duration(std::chrono::seconds(secs)) - KeepMargin,
                  Duration::zero());
}

/// The answer is through: keeps the connection or closes it, then tells.
void finishAnswer(BackendConnection &lk, bool extra) {
  const MessageHead &head = headOf(lk.Parser);
  const bool keep = head.KeepAlive && !head.EndsAtClose && !lk.NotReusable &&
                    !extra && pendingBytes(lk.Tcp) == 0 && lk.Target->Listed &&
                    isOpen(lk.Tcp);
  const std::shared_ptr<Call> call = release(lk);
  const MessageParser parser = std::move(lk.Parser);
  const std::string body = std::move(lk.Body);
  lk.Body = std::string();
  const bool streamed = lk.Streaming;
  if (keep) {
    lk.IdleSince = lk.Owner->EventLoop.Now;
    lk.KeepAliveTime = keepTime(headOf(parser));
    lk.Target->IdleConnections.push_back(&lk);
  } else {
    close(lk.Tcp);
    forget(lk);
  }
  if (!call)
    return;
  if (streamed)
    onStreamEnd(call, headOf(parser));
  else
    onResponse(call, headOf(parser), body);
}

void beginAnswer(BackendConnection &lk) {
  const bool head = lk.ActiveCall && lk.ActiveCall->Head.Method == "HEAD";
  beginMessage(lk.Parser,
               head ? MessageKind::ResponseToHead : MessageKind::Response,
               MostAnswerHead,
               lk.ActiveCall && lk.ActiveCall->Facts.Kind == CallKind::Stream
                   ? std::numeric_limits<std::uint64_t>::max()
                   : MostAnswerBody);
  lk.Body.clear();
  lk.HeadRead = false;
  lk.SkippingResponse = false;
  lk.Streaming = false;
}

/// Looks at the header of an answer, once.
void lookAtHead(BackendConnection &lk) {
  lk.HeadRead = true;
  const MessageHead &head = headOf(lk.Parser);
  if (head.Status < 200)
    return;
  const HeaderNames &names = lk.Owner->Names;
  const auto id = findField(head.Fields, names.CallId);
  if (id && *id != lk.ActiveCall->Id) {
    // A second answer to an earlier call. Ours may follow it, but the
    // connection is out of step.
    lk.SkippingResponse = true;
    lk.NotReusable = true;
    EventLine line = eventLine("answer_of_other_call");
    add(line, "call", lk.ActiveCall->Id);
    add(line, "backend", lk.Target->Info.Name);
    lk.Owner->Log.write(line);
    return;
  }
  lk.Streaming = lk.ActiveCall->Facts.Kind == CallKind::Stream &&
                 head.Status / 100 == 2 && findField(head.Fields, names.Seal) &&
                 !findField(head.Fields, "Content-Encoding");
}

/// Ends the link and tells its call that the attempt is lost.
void loseAttempt(BackendConnection &lk, std::string_view why, bool suspect) {
  RequestLoop &rl = *lk.Owner;
  BackendState &to = *lk.Target;
  const std::shared_ptr<Call> call = endLink(lk);
  if (suspect)
    recordLostConnection(rl, to);
  if (call)
    onAttemptEnd(call, AttemptEnd::Lost, why);
}

/// Hands on what a streamed answer has brought. False if the link is over.
bool passEvents(BackendConnection &lk) {
  const std::shared_ptr<Call> call = lk.ActiveCall;
  const std::string part = std::move(lk.Body);
  lk.Body = std::string();
  if (part.empty() || !call)
    return true;
  settlePending(lk);
  if (onEvents(call, headOf(lk.Parser), part))
    return lk.ActiveCall != nullptr;
  if (lk.ActiveCall)
    loseAttempt(lk, "events out of order", true);
  return false;
}

/// Reads one answer's bytes. Nothing if the link is over.
std::optional<std::size_t> readAnswer(BackendConnection &lk,
                                      std::string_view part) {
  const std::size_t n = readMessage(lk.Parser, part, lk.Body);
  const ParseState st = stateOf(lk.Parser);
  if (st != ParseState::InHead && st != ParseState::InBody &&
      st != ParseState::Done) {
    loseAttempt(lk, "malformed answer", true);
    return std::nullopt;
  }
  if (st != ParseState::InHead && !lk.HeadRead)
    lookAtHead(lk);
  if (lk.SkippingResponse)
    lk.Body.clear();
  if (lk.Streaming && !passEvents(lk))
    return std::nullopt;
  if (st != ParseState::Done)
    return n;
  if (lk.SkippingResponse || headOf(lk.Parser).Status < 200) {
    beginAnswer(lk);
    return n;
  }
  finishAnswer(lk, n < part.size());
  return std::nullopt;
}

/// How long the back end of \p lk may be silent from now on.
Duration silenceOf(const BackendConnection &lk) {
  const Call &call = *lk.ActiveCall;
  SilenceFacts facts;
  facts.ResponseStarted = call.Stream.Events > 0 && lk.HeadRead;
  facts.OtherCallsActive = lk.Target->LastByteAt > lk.LastByteAt;
  facts.LatencyTarget = call.Plan.LatencyTarget;
  facts.GapTarget = call.Plan.GapTarget;
  facts.ExpectedFirstEvent = expectedFirstEventTime(*lk.Owner, call);
  return silenceTimeout(facts);
}

void onSilence(void *ctx, Time now) {
  BackendConnection &lk = *static_cast<BackendConnection *>(ctx);
  if (!lk.ActiveCall)
    return;
  const Time due = lk.LastByteAt + silenceOf(lk);
  if (now < due) {
    arm(lk.Owner->EventLoop, lk.SilenceTimer, due);
    return;
  }
  // Without another attempt the call goes on waiting: silence alone is no
  // answer.
  if (canRetry(*lk.Owner, *lk.ActiveCall))
    loseAttempt(lk, "back end fell silent", true);
}

std::size_t onLinkData(void *ctx, std::string_view part) {
  BackendConnection &lk = *static_cast<BackendConnection *>(ctx);
  lk.LastByteAt = lk.Owner->EventLoop.Now;
  lk.Target->LastByteAt = lk.LastByteAt;
  if (!lk.ActiveCall) {
    EventLine line = eventLine("unasked_bytes");
    add(line, "backend", lk.Target->Info.Name);
    add(line, "bytes", static_cast<std::int64_t>(part.size()));
    lk.Owner->Log.write(line);
    endLink(lk);
    return part.size();
  }
  std::size_t taken = 0;
  while (taken < part.size()) {
    const auto n = readAnswer(lk, part.substr(taken));
    if (!n)
      return part.size();
    taken += *n;
    if (*n == 0)
      break;
  }
  return taken;
}

void onLinkOpen(void *ctx) {
  BackendConnection &lk = *static_cast<BackendConnection *>(ctx);
  disarm(lk.Owner->EventLoop, lk.ConnectTimer);
}

void notReached(BackendConnection &lk, std::string_view why) {
  RequestLoop &rl = *lk.Owner;
  BackendState &to = *lk.Target;
  const std::shared_ptr<Call> call = endLink(lk);
  recordLostConnection(rl, to);
  if (call)
    onAttemptEnd(call, AttemptEnd::NotSent, why);
}

void onLinkEnd(void *ctx, ConnectionEnd how, int /*err*/) {
  BackendConnection &lk = *static_cast<BackendConnection *>(ctx);
  if (!lk.ActiveCall) {
    forget(lk);
    return;
  }
  if (how == ConnectionEnd::Refused) {
    notReached(lk, "connection refused");
    return;
  }
  if (how == ConnectionEnd::Closed && !lk.SkippingResponse) {
    endOfInput(lk.Parser);
    if (stateOf(lk.Parser) == ParseState::Done) {
      finishAnswer(lk, false);
      return;
    }
  }
  // A kept connection that ends before any byte of the answer may just have
  // been closed as idle; that says nothing about its back end.
  const bool suspect = lk.Uses <= 1 || hasBegun(lk.Parser);
  loseAttempt(lk, how == ConnectionEnd::Closed ? "answer cut short" : "reset",
              suspect);
}

void onOpenTimer(void *ctx, Time /*now*/) {
  notReached(*static_cast<BackendConnection *>(ctx), "no connection in time");
}

const ConnectionHandlers LinkHandlers = {onLinkOpen, onLinkData, onLinkEnd,
                                         nullptr};

/// A kept connection that \p call may use, or null.
BackendConnection *takeIdle(RequestLoop &rl, BackendState &to,
                            const Call &call) {
  while (!to.IdleConnections.empty()) {
    BackendConnection &lk = *to.IdleConnections.back();
    const Duration idle = rl.EventLoop.Now - lk.IdleSince;
    if (idle <= lk.KeepAliveTime &&
        (isRetrySafe(call.Facts) || idle <= KeepForUnsafe)) {
      to.IdleConnections.pop_back();
      return &lk;
    }
    if (idle <= lk.KeepAliveTime)
      return nullptr; // Good for others; those below it are older.
    endLink(lk);
  }
  return nullptr;
}

BackendConnection *openLink(RequestLoop &rl, BackendState &to) {
  auto lk = std::make_shared<BackendConnection>();
  lk->Owner = &rl;
  lk->Target = &to;
  lk->ConnectTimer.Fn = onOpenTimer;
  lk->ConnectTimer.Ctx = lk.get();
  lk->SilenceTimer.Fn = onSilence;
  lk->SilenceTimer.Ctx = lk.get();
  if (!openConnection(lk->Tcp, rl.EventLoop, to.Info.Address, LinkSilence,
                      LinkHandlers, lk.get()))
    return nullptr;
  countConnection(rl.Metrics);
  arm(rl.EventLoop, lk->ConnectTimer, rl.EventLoop.Now + OpenTimeout);
  rl.BackendConnections.emplace(lk.get(), lk);
  ++to.ConnectionCount;
  return lk.get();
}

bool isOwnField(const HeaderNames &names, std::string_view name) {
  return std::any_of(
      names.OwnFields.begin(), names.OwnFields.end(),
      [&](std::string_view own) { return equalsIgnoreCase(own, name); });
}

std::string requestText(const Call &call, const BackendState &to,
                        const HeaderNames &names, Time now) {
  std::string out;
  constexpr std::size_t HeadRoom = 768;
  out.reserve(call.Body.size() + HeadRoom);
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
  writeField(out, names.Endpoint, to.Info.Name);
  if (call.Plan.HasWorkspace)
    writeField(out, names.Workspace, call.Plan.WorkspaceName);
  if (haslength)
    writeField(out, "Content-Length", std::uint64_t{call.Body.size()});
  out.append("\r\n").append(call.Body);
  return out;
}

} // namespace

bool sendCall(RequestLoop &rl, const std::shared_ptr<Call> &call,
              BackendState &to) {
  BackendConnection *lk = takeIdle(rl, to, *call);
  const bool kept = lk != nullptr;
  if (!lk)
    lk = openLink(rl, to);
  if (!lk)
    return false;
  call->SentAt = rl.EventLoop.Now;
  recordSent(rl, to);
  call->TokensAhead = tokensAhead(rl, to);
  lk->ActiveCall = call;
  lk->PendingTokens = call->Work.PromptTokens;
  to.PendingTokens += lk->PendingTokens;
  ++lk->Uses;
  ++to.Running;
  scheduleLoadReport(rl);
  call->Connection = lk;
  beginAnswer(*lk);
  lk->LastByteAt = rl.EventLoop.Now;
  if (isRetrySafe(call->Facts))
    arm(rl.EventLoop, lk->SilenceTimer, rl.EventLoop.Now + silenceOf(*lk));
  if (rl.Log.logsCalls()) {
    EventLine line = eventLine("send");
    add(line, "call", call->Id);
    add(line, "backend", to.Info.Name);
    add(line, "attempt", std::int64_t{call->Facts.SentAttempts} + 1);
    add(line, "kept", std::int64_t{kept ? 1 : 0});
    add(line, "running_own", std::int64_t{to.Running});
    add(line, "tokens_ahead", static_cast<std::int64_t>(call->TokensAhead));
    add(line, "event_us", static_cast<std::int64_t>(to.EventMs * 1000));
    add(line, "waited_ms", call->QueueTime);
    add(line, "left_ms", call->Deadline - rl.EventLoop.Now);
    add(line, "plan", static_cast<std::int64_t>(call->Plan.Version));
    rl.Log.write(line);
  }
  send(lk->Tcp, requestText(*call, to, rl.Names, rl.EventLoop.Now));
  return true;
}

void abortTransfer(Call &call) {
  if (call.Connection)
    endLink(*call.Connection);
}

void closeIdleConnections(RequestLoop &rl, Time now) {
  for (auto &[id, st] : rl.Backends) {
    const std::vector<BackendConnection *> idle = st->IdleConnections;
    for (BackendConnection *lk : idle)
      if (!st->Listed || now - lk->IdleSince > lk->KeepAliveTime)
        endLink(*lk);
  }
}

} // namespace zinniagauge
