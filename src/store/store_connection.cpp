#include "zinniagauge/store/store_connection.h"

namespace zinniagauge {

namespace {

/// Bytes of an answer's header, and of its body: a page of rows is at most a
/// megabyte, in base64 within JSON.
constexpr std::size_t MostHead = 8192;
constexpr std::uint64_t MostBody = std::uint64_t{4} << 20U;

/// A service that acknowledges nothing for so long can't be reached.
constexpr Duration Silence = std::chrono::milliseconds(1500);

void finish(StoreConnection &link, int status, std::string_view why,
            bool keep) {
  disarm(*link.Lp, link.Timer);
  if (!keep)
    close(link.Tcp);
  if (!link.Busy)
    return;
  link.Busy = false;
  StoreResponse answer;
  answer.Status = status;
  answer.Body = std::move(link.Body);
  answer.FailureReason = why;
  answer.RequestedAtBoot = link.RequestedAtBoot;
  link.Body = std::string();
  link.Parser.State.reset();
  link.Callback(link.Ctx, answer);
}

std::size_t onData(void *ctx, std::string_view part) {
  StoreConnection &link = *static_cast<StoreConnection *>(ctx);
  if (!link.Busy) {
    close(link.Tcp); // Nothing was asked; the connection is out of step.
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

void onEnd(void *ctx, ConnectionEnd how, int /*err*/) {
  StoreConnection &link = *static_cast<StoreConnection *>(ctx);
  finish(link, 0, how == ConnectionEnd::Refused ? "refused" : "connection lost",
         false);
}

void onTimer(void *ctx, Time /*now*/) {
  finish(*static_cast<StoreConnection *>(ctx), 0, "no answer in time", false);
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

} // namespace

void setUpStoreConnection(StoreConnection &link, Loop &lp, PeerAddress to) {
  link.Lp = &lp;
  link.ServerAddress = to;
  link.Timer.Fn = onTimer;
  link.Timer.Ctx = &link;
}

void sendRequest(StoreConnection &link, const StoreRequest &what,
                 Duration limit, StoreCallback done, void *ctx) {
  link.Busy = true;
  link.Callback = done;
  link.Ctx = ctx;
  link.RequestedAtBoot = bootNow();
  link.Body.clear();
  beginMessage(link.Parser, MessageKind::Response, MostHead, MostBody);
  arm(*link.Lp, link.Timer, link.Lp->Now + limit);
  if (!isOpen(link.Tcp) &&
      !openConnection(link.Tcp, *link.Lp, link.ServerAddress, Silence, Handlers,
                      &link)) {
    // Told by the timer, so that the caller isn't called back from here.
    arm(*link.Lp, link.Timer, link.Lp->Now);
    return;
  }
  std::string out;
  out.append(what.Method).append(" ").append(what.Target);
  out.append(" HTTP/1.1\r\n");
  writeField(out, "Host", toString(link.ServerAddress));
  if (!what.Body.empty())
    writeField(out, "Content-Type", "application/json");
  if (!what.Body.empty() || what.Method != "GET")
    writeField(out, "Content-Length", std::uint64_t{what.Body.size()});
  out.append("\r\n").append(what.Body);
  send(link.Tcp, out);
}

void closeStoreConnection(StoreConnection &link) {
  finish(link, 0, "given up", false);
}

} // namespace zinniagauge
