#include "zinniagauge/front/request_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cstdio>

namespace zinniagauge {

namespace {

/// Bytes of further requests that are held while one is served.
constexpr std::size_t MostAhead = std::size_t{64} << 10U;

/// A caller that takes nothing of its answer for so long is given up.
constexpr Duration CallerSilence = std::chrono::seconds(10);

bool isStopping(const RequestLoop &rl) {
  return rl.Board.Stopping.load(std::memory_order_relaxed);
}

void armIdle(Caller &c) {
  arm(c.Owner->Lp, c.Timer, c.Owner->Lp.Now + c.Owner->Limits.IdleTime);
}

void forget(Caller &c) {
  RequestLoop &rl = *c.Owner;
  disarm(rl.Lp, c.Timer);
  const auto it = rl.Callers.find(&c);
  if (it == rl.Callers.end())
    return;
  endLater(rl.Lp, it->second);
  rl.Callers.erase(it);
}

void onCallerEnd(void *ctx, ChannelEnd /*how*/, int /*err*/) {
  Caller &c = *static_cast<Caller *>(ctx);
  const std::shared_ptr<Call> call = std::move(c.Active);
  forget(c);
  if (call)
    onCallerGone(call);
}

/// Logs and refuses a message that isn't taken, and ends its connection.
void refuseMessage(Caller &c, int status, std::string_view why) {
  RequestLoop &rl = *c.Owner;
  if (rl.Log.wantsCalls()) {
    EventLine line = eventLine("unreadable_request");
    // Known if its header could be read so far.
    if (const auto id = findField(headOf(c.Parser).Fields, rl.Names.CallId))
      add(line, "call", *id);
    add(line, "status", std::int64_t{status});
    add(line, "why", why);
    rl.Log.write(line);
  }
  answerOwn(c, status, why, Duration::zero(), true);
}

/// Refuses a message that can't be read; what follows it can't be told from it.
bool refuseUnreadable(Caller &c, ParseState st) {
  switch (st) {
  case ParseState::HeadTooLarge:
    refuseMessage(c, 431, "header too large");
    return true;
  case ParseState::BodyTooLarge:
    refuseMessage(c, 413, "body too large");
    return true;
  case ParseState::Malformed:
    refuseMessage(c, 400, "malformed request");
    return true;
  default:
    return false;
  }
}

void sayContinue(Caller &c) {
  if (c.SaidContinue)
    return;
  c.SaidContinue = true;
  const auto expect = findField(headOf(c.Parser).Fields, "Expect");
  if (expect && sameText(*expect, "100-continue"))
    send(c.Ch, "HTTP/1.1 100 Continue\r\n\r\n");
}

std::size_t onCallerData(void *ctx, std::string_view part) {
  Caller &c = *static_cast<Caller *>(ctx);
  std::size_t taken = 0;
  while (taken < part.size() && !c.Active && isOpen(c.Ch)) {
    if (!c.Parser.St) {
      beginMessage(c.Parser, MessageKind::Request, c.Owner->Limits.HeadBytes,
                   c.Owner->Limits.BodyBytes);
      c.Body.clear();
      c.SaidContinue = false;
      arm(c.Owner->Lp, c.Timer, c.Owner->Lp.Now + c.Owner->Limits.HeadTime);
    }
    const std::size_t n = readMessage(c.Parser, part.substr(taken), c.Body);
    taken += n;
    const ParseState st = stateOf(c.Parser);
    if (refuseUnreadable(c, st))
      return part.size();
    if (st == ParseState::InBody) {
      armIdle(c);
      sayContinue(c);
    }
    if (st == ParseState::Done) {
      disarm(c.Owner->Lp, c.Timer);
      MessageHead head = headOf(c.Parser);
      c.Parser.St.reset();
      startCall(c, std::move(head), std::move(c.Body));
      c.Body = std::string();
    } else if (n == 0) {
      break;
    }
  }
  if (c.Active && part.size() - taken > MostAhead)
    pause(c.Ch, true);
  return taken;
}

void onCallerTimer(void *ctx, Time /*now*/) {
  Caller &c = *static_cast<Caller *>(ctx);
  if (c.Parser.St && hasBegun(c.Parser) && !c.Ch.EndAfterOut)
    refuseMessage(c, 408, "request not complete in time");
  else
    dropCaller(c);
}

void onCallerSent(void *ctx) {
  const Caller &c = *static_cast<Caller *>(ctx);
  if (c.Active && c.Active->Link)
    pause(c.Active->Link->Ch, false);
}

const ChannelHandlers CallerHandlers = {nullptr, onCallerData, onCallerEnd,
                                        onCallerSent};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  for (;;) {
    const int fd = acceptFrom(rl.Listener.Fd);
    if (fd < 0)
      return;
    if (rl.Callers.size() + rl.Links.size() + 1 >= rl.Settings.Descriptors) {
      ::close(fd);
      continue;
    }
    auto c = std::make_shared<Caller>();
    c->Owner = &rl;
    c->Timer.Fn = onCallerTimer;
    c->Timer.Ctx = c.get();
    rl.Callers.emplace(c.get(), c);
    adopt(c->Ch, rl.Lp, fd, CallerHandlers, c.get());
    limitSilence(c->Ch, CallerSilence);
    armIdle(*c);
  }
}

/// Writes the fields of a back end's answer that go to the caller.
void writeAnswerFields(std::string &out, const MessageHead &head) {
  const auto connection = findField(head.Fields, "Connection").value_or("");
  for (std::size_t n = 0; n < head.Fields.Spans.size(); ++n) {
    const HeaderField f = fieldAt(head.Fields, n);
    if (!isHopField(f.Name, connection) && !sameText(f.Name, "Content-Length"))
      writeField(out, f.Name, f.Value);
  }
}

void writeEnd(std::string &out, const RequestLoop &rl) {
  if (isStopping(rl))
    writeField(out, "Connection", "close");
  out.append("\r\n");
}

} // namespace

Result<void> listenForCallers(RequestLoop &rl) {
  BOOST_LEAF_AUTO(fd, listenAt(rl.Settings.Callers));
  rl.Listener.Fd = fd;
  rl.Listener.Fn = onAccept;
  rl.Listener.Ctx = &rl;
  watch(rl.Lp, rl.Listener, EPOLLIN);
  return {};
}

void answerOwn(Caller &c, int status, std::string_view why, Duration retryafter,
               bool drop) {
  std::string out;
  writeStatus(out, status);
  if (retryafter > Duration::zero()) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f",
                  std::chrono::duration<double>(retryafter).count());
    writeField(out, "Retry-After", buf.data());
  }
  const std::string body = "{\"reason\":\"" + std::string(why) + "\"}";
  writeField(out, "Content-Type", "application/json");
  writeField(out, "Content-Length", std::uint64_t{body.size()});
  if (drop || isStopping(*c.Owner))
    writeField(out, "Connection", "close");
  out.append("\r\n").append(body);
  send(c.Ch, out);
  if (drop)
    finishCaller(c);
}

void answerWhole(Caller &c, const MessageHead &head, std::string_view body,
                 std::string_view method) {
  std::string out;
  constexpr std::size_t HeadRoom = 512;
  out.reserve(body.size() + HeadRoom);
  writeStatus(out, head.Status);
  writeAnswerFields(out, head);
  const auto length = findField(head.Fields, "Content-Length");
  if (method == "HEAD" && length)
    writeField(out, "Content-Length", *length);
  else if (head.Status != 204 && head.Status != 304)
    writeField(out, "Content-Length", std::uint64_t{body.size()});
  writeEnd(out, *c.Owner);
  out.append(body);
  send(c.Ch, out);
}

void answerStream(Caller &c, const MessageHead &head, std::string_view events) {
  std::string out;
  constexpr std::size_t HeadRoom = 512;
  out.reserve(events.size() + HeadRoom);
  writeStatus(out, head.Status);
  writeAnswerFields(out, head);
  writeField(out, "Transfer-Encoding", "chunked");
  writeEnd(out, *c.Owner);
  if (!events.empty())
    writeChunk(out, events);
  send(c.Ch, out);
}

void answerEvents(Caller &c, std::string_view events) {
  std::string out;
  constexpr std::size_t FrameRoom = 16;
  out.reserve(events.size() + FrameRoom);
  writeChunk(out, events);
  send(c.Ch, out);
}

void answerStreamEnd(Caller &c) { send(c.Ch, LastChunk); }

void callerDone(Caller &c) {
  c.Active.reset();
  if (!isOpen(c.Ch))
    return;
  if (isStopping(*c.Owner)) {
    finishCaller(c);
    return;
  }
  armIdle(c);
  pause(c.Ch, false);
  showAgain(c.Ch);
}

void finishCaller(Caller &c) {
  c.Active.reset();
  closeAfterSending(c.Ch);
  if (isOpen(c.Ch))
    armIdle(c); // It must take what is left by then.
  else
    forget(c);
}

void dropIdleCallers(RequestLoop &rl) {
  std::vector<std::shared_ptr<Caller>> idle;
  for (const auto &[at, c] : rl.Callers)
    if (!c->Active && !(c->Parser.St && hasBegun(c->Parser)))
      idle.push_back(c);
  for (const auto &c : idle)
    finishCaller(*c);
}

void dropCaller(Caller &c) {
  close(c.Ch, true);
  forget(c);
}

} // namespace zinniagauge
