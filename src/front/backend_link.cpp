#include "zinniagauge/decide/silence.h"
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

void forget(BackendLink &lk) {
  RequestLoop &rl = *lk.Owner;
  disarm(rl.Lp, lk.OpenTimer);
  disarm(rl.Lp, lk.SilenceTimer);
  std::erase(lk.To->Idle, &lk);
  const auto it = rl.Links.find(&lk);
  if (it == rl.Links.end())
    return;
  --lk.To->Links;
  endLater(rl.Lp, it->second);
  rl.Links.erase(it);
}

/// The back end has begun to answer, or never will.
void settlePending(BackendLink &lk) {
  lk.To->PendingTokens -= lk.PendingTokens;
  lk.PendingTokens = 0;
}

/// Takes the call off its link; the back end has one call less.
std::shared_ptr<Call> release(BackendLink &lk) {
  std::shared_ptr<Call> call = std::move(lk.For);
  settlePending(lk);
  disarm(lk.Owner->Lp, lk.SilenceTimer);
  if (call) {
    call->Link = nullptr;
    --lk.To->Running;
    loadsChanged(*lk.Owner);
  }
  return call;
}

/// Ends a link's connection and gives the call that was on it.
std::shared_ptr<Call> endLink(BackendLink &lk) {
  std::shared_ptr<Call> call = release(lk);
  close(lk.Ch);
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
void finishAnswer(BackendLink &lk, bool extra) {
  const MessageHead &head = headOf(lk.Parser);
  const bool keep = head.KeepAlive && !head.EndsWithChannel && !lk.Spent &&
                    !extra && waiting(lk.Ch) == 0 && lk.To->Listed &&
                    isOpen(lk.Ch);
  const std::shared_ptr<Call> call = release(lk);
  const MessageParser parser = std::move(lk.Parser);
  const std::string body = std::move(lk.Body);
  lk.Body = std::string();
  const bool streamed = lk.Streaming;
  if (keep) {
    lk.IdleSince = lk.Owner->Lp.Now;
    lk.KeepFor = keepTime(headOf(parser));
    lk.To->Idle.push_back(&lk);
  } else {
    close(lk.Ch);
    forget(lk);
  }
  if (!call)
    return;
  if (streamed)
    onStreamEnd(call, headOf(parser));
  else
    onWholeAnswer(call, headOf(parser), body);
}

void beginAnswer(BackendLink &lk) {
  const bool head = lk.For && lk.For->Head.Method == "HEAD";
  beginMessage(lk.Parser,
               head ? MessageKind::AnswerToHead : MessageKind::Answer,
               MostAnswerHead,
               lk.For && lk.For->Facts.Kind == CallKind::Stream
                   ? std::numeric_limits<std::uint64_t>::max()
                   : MostAnswerBody);
  lk.Body.clear();
  lk.HeadSeen = false;
  lk.Skipping = false;
  lk.Streaming = false;
}

/// Looks at the header of an answer, once.
void lookAtHead(BackendLink &lk) {
  lk.HeadSeen = true;
  const MessageHead &head = headOf(lk.Parser);
  if (head.Status < 200)
    return;
  const Dialect &names = lk.Owner->Names;
  const auto id = findField(head.Fields, names.CallId);
  if (id && *id != lk.For->Id) {
    // A second answer to an earlier call. Ours may follow it, but the
    // connection is out of step.
    lk.Skipping = true;
    lk.Spent = true;
    EventLine line = eventLine("answer_of_other_call");
    add(line, "call", lk.For->Id);
    add(line, "backend", lk.To->Info.Name);
    lk.Owner->Log.write(line);
    return;
  }
  lk.Streaming = lk.For->Facts.Kind == CallKind::Stream &&
                 head.Status / 100 == 2 && findField(head.Fields, names.Seal) &&
                 !findField(head.Fields, "Content-Encoding");
}

/// Ends the link and tells its call that the attempt is lost.
void loseAttempt(BackendLink &lk, std::string_view why, bool suspect) {
  RequestLoop &rl = *lk.Owner;
  BackendState &to = *lk.To;
  const std::shared_ptr<Call> call = endLink(lk);
  if (suspect)
    noteLost(rl, to);
  if (call)
    onAttemptEnd(call, AttemptEnd::Lost, why);
}

/// Hands on what a streamed answer has brought. False if the link is over.
bool passEvents(BackendLink &lk) {
  const std::shared_ptr<Call> call = lk.For;
  const std::string part = std::move(lk.Body);
  lk.Body = std::string();
  if (part.empty() || !call)
    return true;
  settlePending(lk);
  if (onEvents(call, headOf(lk.Parser), part))
    return lk.For != nullptr;
  if (lk.For)
    loseAttempt(lk, "events out of order", true);
  return false;
}

/// Reads one answer's bytes. Nothing if the link is over.
std::optional<std::size_t> readAnswer(BackendLink &lk, std::string_view part) {
  const std::size_t n = readMessage(lk.Parser, part, lk.Body);
  const ParseState st = stateOf(lk.Parser);
  if (st != ParseState::InHead && st != ParseState::InBody &&
      st != ParseState::Done) {
    loseAttempt(lk, "malformed answer", true);
    return std::nullopt;
  }
  if (st != ParseState::InHead && !lk.HeadSeen)
    lookAtHead(lk);
  if (lk.Skipping)
    lk.Body.clear();
  if (lk.Streaming && !passEvents(lk))
    return std::nullopt;
  if (st != ParseState::Done)
    return n;
  if (lk.Skipping || headOf(lk.Parser).Status < 200) {
    beginAnswer(lk);
    return n;
  }
  finishAnswer(lk, n < part.size());
  return std::nullopt;
}

/// How long the back end of \p lk may be silent from now on.
Duration silenceOf(const BackendLink &lk) {
  const Call &call = *lk.For;
  SilenceFacts facts;
  facts.Begun = call.Stream.Events > 0 && lk.HeadSeen;
  facts.OthersHeard = lk.To->LastByte > lk.LastByte;
  facts.Target = call.Plan.Target;
  facts.GapTarget = call.Plan.GapTarget;
  facts.Expected = expectedFirst(*lk.Owner, call);
  return toleratedSilence(facts);
}

void onSilence(void *ctx, Time now) {
  BackendLink &lk = *static_cast<BackendLink *>(ctx);
  if (!lk.For)
    return;
  const Time due = lk.LastByte + silenceOf(lk);
  if (now < due) {
    arm(lk.Owner->Lp, lk.SilenceTimer, due);
    return;
  }
  // Without another attempt the call goes on waiting: silence alone is no
  // answer.
  if (couldRepeat(*lk.Owner, *lk.For))
    loseAttempt(lk, "back end fell silent", true);
}

std::size_t onLinkData(void *ctx, std::string_view part) {
  BackendLink &lk = *static_cast<BackendLink *>(ctx);
  lk.LastByte = lk.Owner->Lp.Now;
  lk.To->LastByte = lk.LastByte;
  if (!lk.For) {
    EventLine line = eventLine("unasked_bytes");
    add(line, "backend", lk.To->Info.Name);
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
  BackendLink &lk = *static_cast<BackendLink *>(ctx);
  disarm(lk.Owner->Lp, lk.OpenTimer);
}

void notReached(BackendLink &lk, std::string_view why) {
  RequestLoop &rl = *lk.Owner;
  BackendState &to = *lk.To;
  const std::shared_ptr<Call> call = endLink(lk);
  noteLost(rl, to);
  if (call)
    onAttemptEnd(call, AttemptEnd::NotSent, why);
}

void onLinkEnd(void *ctx, ChannelEnd how, int /*err*/) {
  BackendLink &lk = *static_cast<BackendLink *>(ctx);
  if (!lk.For) {
    forget(lk);
    return;
  }
  if (how == ChannelEnd::Refused) {
    notReached(lk, "connection refused");
    return;
  }
  if (how == ChannelEnd::Closed && !lk.Skipping) {
    endOfInput(lk.Parser);
    if (stateOf(lk.Parser) == ParseState::Done) {
      finishAnswer(lk, false);
      return;
    }
  }
  // A kept connection that ends before any byte of the answer may just have
  // been closed as idle; that says nothing about its back end.
  const bool suspect = lk.Uses <= 1 || hasBegun(lk.Parser);
  loseAttempt(lk, how == ChannelEnd::Closed ? "answer cut short" : "reset",
              suspect);
}

void onOpenTimer(void *ctx, Time /*now*/) {
  notReached(*static_cast<BackendLink *>(ctx), "no connection in time");
}

const ChannelHandlers LinkHandlers = {onLinkOpen, onLinkData, onLinkEnd,
                                      nullptr};

/// A kept connection that \p call may use, or null.
BackendLink *takeIdle(RequestLoop &rl, BackendState &to, const Call &call) {
  while (!to.Idle.empty()) {
    BackendLink &lk = *to.Idle.back();
    const Duration idle = rl.Lp.Now - lk.IdleSince;
    if (idle <= lk.KeepFor &&
        (mayRepeat(call.Facts) || idle <= KeepForUnsafe)) {
      to.Idle.pop_back();
      return &lk;
    }
    if (idle <= lk.KeepFor)
      return nullptr; // Good for others; those below it are older.
    endLink(lk);
  }
  return nullptr;
}

BackendLink *openLink(RequestLoop &rl, BackendState &to) {
  auto lk = std::make_shared<BackendLink>();
  lk->Owner = &rl;
  lk->To = &to;
  lk->OpenTimer.Fn = onOpenTimer;
  lk->OpenTimer.Ctx = lk.get();
  lk->SilenceTimer.Fn = onSilence;
  lk->SilenceTimer.Ctx = lk.get();
  if (!open(lk->Ch, rl.Lp, to.Info.Address, LinkSilence, LinkHandlers,
            lk.get()))
    return nullptr;
  countLink(rl.Metrics);
  arm(rl.Lp, lk->OpenTimer, rl.Lp.Now + OpenTimeout);
  rl.Links.emplace(lk.get(), lk);
  ++to.Links;
  return lk.get();
}

bool isOwnField(const Dialect &names, std::string_view name) {
  return std::any_of(names.Own.begin(), names.Own.end(),
                     [&](std::string_view own) { return sameText(own, name); });
}

std::string requestText(const Call &call, const BackendState &to,
                        const Dialect &names, Time now) {
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
    if (sameText(f.Name, "Content-Length") ||
        sameText(f.Name, "Transfer-Encoding")) {
      haslength = true;
      continue;
    }
    if (isHopField(f.Name, connection) || sameText(f.Name, "Expect") ||
        isOwnField(names, f.Name) ||
        (call.Stream.LastId && sameText(f.Name, names.ResumeAfter)))
      continue;
    writeField(out, f.Name, f.Value);
  }
  if (call.Stream.LastId)
    writeField(out, names.ResumeAfter, *call.Stream.LastId);
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.Due - now);
  writeField(
      out, names.TimeLeft,
      static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 1)));
  writeField(out, names.Endpoint, to.Info.Name);
  if (call.Plan.Keyed)
    writeField(out, names.Workspace, call.Plan.WorkspaceName);
  if (haslength)
    writeField(out, "Content-Length", std::uint64_t{call.Body.size()});
  out.append("\r\n").append(call.Body);
  return out;
}

} // namespace

bool sendCall(RequestLoop &rl, const std::shared_ptr<Call> &call,
              BackendState &to) {
  BackendLink *lk = takeIdle(rl, to, *call);
  const bool kept = lk != nullptr;
  if (!lk)
    lk = openLink(rl, to);
  if (!lk)
    return false;
  call->SentAt = rl.Lp.Now;
  noteSent(rl, to);
  call->TokensAhead = tokensAhead(rl, to);
  lk->For = call;
  lk->PendingTokens = call->Work.PromptTokens;
  to.PendingTokens += lk->PendingTokens;
  ++lk->Uses;
  ++to.Running;
  loadsChanged(rl);
  call->Link = lk;
  beginAnswer(*lk);
  lk->LastByte = rl.Lp.Now;
  if (mayRepeat(call->Facts))
    arm(rl.Lp, lk->SilenceTimer, rl.Lp.Now + silenceOf(*lk));
  if (rl.Log.wantsCalls()) {
    EventLine line = eventLine("send");
    add(line, "call", call->Id);
    add(line, "backend", to.Info.Name);
    add(line, "attempt", std::int64_t{call->Facts.Sent} + 1);
    add(line, "kept", std::int64_t{kept ? 1 : 0});
    add(line, "running_own", std::int64_t{to.Running});
    add(line, "tokens_ahead", static_cast<std::int64_t>(call->TokensAhead));
    add(line, "event_us", static_cast<std::int64_t>(to.EventMs * 1000));
    add(line, "waited_ms", call->QueueTime);
    add(line, "left_ms", call->Due - rl.Lp.Now);
    add(line, "plan", static_cast<std::int64_t>(call->Plan.Version));
    rl.Log.write(line);
  }
  send(lk->Ch, requestText(*call, to, rl.Names, rl.Lp.Now));
  return true;
}

void cutLink(Call &call) {
  if (call.Link)
    endLink(*call.Link);
}

void reapLinks(RequestLoop &rl, Time now) {
  for (auto &[id, st] : rl.Backends) {
    const std::vector<BackendLink *> idle = st->Idle;
    for (BackendLink *lk : idle)
      if (!st->Listed || now - lk->IdleSince > lk->KeepFor)
        endLink(*lk);
  }
}

} // namespace zinniagauge
