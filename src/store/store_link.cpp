#include "zinniagauge/store/store_link.h"

namespace zinniagauge {

namespace {

/// Bytes of an answer's header, and of its body: a page of rows is at most a
/// megabyte, in base64 within JSON.
constexpr std::size_t MostHead = 8192;
constexpr std::uint64_t MostBody = std::uint64_t{4} << 20U;

/// A service that acknowledges nothing for so long can't be reached.
constexpr Duration Silence = std::chrono::milliseconds(1500);

void finish(StoreLink &link, int status, std::string_view why, bool keep) {
  disarm(*link.Lp, link.Timer);
  if (!keep)
    close(link.Ch);
  if (!link.Busy)
    return;
  link.Busy = false;
  StoreAnswer answer;
  answer.Status = status;
  answer.Body = std::move(link.Body);
  answer.Why = why;
  answer.AskedBoot = link.AskedBoot;
  link.Body = std::string();
  link.Parser.St.reset();
  link.Done(link.Ctx, answer);
}

std::size_t onData(void *ctx, std::string_view part) {
  StoreLink &link = *static_cast<StoreLink *>(ctx);
  if (!link.Busy) {
    close(link.Ch); // Nothing was asked; the connection is out of step.
    return part.size();
  }
  const std::size_t n = readMessage(link.Parser, part, link.Body);
  const ParseState st = stateOf(link.Parser);
  if (st == ParseState::Done) {
    const MessageHead &head = headOf(link.Parser);
    finish(link, head.Status, {}, head.KeepAlive && n == part.size());
    return part.size();
  }
  if (st != ParseState::InHead && st != ParseState::InBody) {
    finish(link, 0, "malformed answer", false);
    return part.size();
  }
  return n;
}

void onEnd(void *ctx, ChannelEnd how, int /*err*/) {
  StoreLink &link = *static_cast<StoreLink *>(ctx);
  finish(link, 0, how == ChannelEnd::Refused ? "refused" : "connection lost",
         false);
}

void onTimer(void *ctx, Time /*now*/) {
  finish(*static_cast<StoreLink *>(ctx), 0, "no answer in time", false);
}

const ChannelHandlers Handlers = {nullptr, onData, onEnd, nullptr};

} // namespace

void setUp(StoreLink &link, Loop &lp, PeerAddress to) {
  link.Lp = &lp;
  link.To = to;
  link.Timer.Fn = onTimer;
  link.Timer.Ctx = &link;
}

void ask(StoreLink &link, const StoreAsk &what, Duration limit, StoreDone done,
         void *ctx) {
  link.Busy = true;
  link.Done = done;
  link.Ctx = ctx;
  link.AskedBoot = bootNow();
  link.Body.clear();
  beginMessage(link.Parser, MessageKind::Answer, MostHead, MostBody);
  arm(*link.Lp, link.Timer, link.Lp->Now + limit);
  if (!isOpen(link.Ch) &&
      !open(link.Ch, *link.Lp, link.To, Silence, Handlers, &link)) {
    // Told by the timer, so that the caller isn't called back from here.
    arm(*link.Lp, link.Timer, link.Lp->Now);
    return;
  }
  std::string out;
  out.append(what.Method).append(" ").append(what.Target);
  out.append(" HTTP/1.1\r\n");
  writeField(out, "Host", toString(link.To));
  if (!what.Body.empty())
    writeField(out, "Content-Type", "application/json");
  if (!what.Body.empty() || what.Method != "GET")
    writeField(out, "Content-Length", std::uint64_t{what.Body.size()});
  out.append("\r\n").append(what.Body);
  send(link.Ch, out);
}

void closeLink(StoreLink &link) { finish(link, 0, "given up", false); }

} // namespace zinniagauge
