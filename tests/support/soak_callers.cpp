#include "support/soak_callers.h"

#include "zinniagauge/decide/complete_events.h"
#include "zinniagauge/decide/random.h"

#include <array>
#include <charconv>

namespace zinniagauge::testing {

namespace {

constexpr std::size_t MostHead = 16384;
constexpr std::uint64_t MostBody = std::uint64_t{1} << 20U;

/// Pauses between calls, at least and at most.
constexpr int LeastPauseMs = 5;
constexpr int MostPauseMs = 60;

/// By SoakKind.
constexpr std::array<std::string_view, 3> Paths = {"/safe/s", "/unsafe/s",
                                                   "/stream/s"};

void pauseCaller(SoakCaller &c) {
  SoakCallers &cs = *c.Owner;
  const auto ms =
      LeastPauseMs +
      static_cast<int>(randomBelow(cs.Random, MostPauseMs - LeastPauseMs));
  arm(*cs.Lp, c.Timer, cs.Lp->Now + std::chrono::milliseconds(ms));
}

/// Reads the ids of the events in \p text.
void noteEvents(SoakCall &call, std::string_view text) {
  constexpr std::string_view Id = "id: ";
  while (!text.empty()) {
    const std::size_t end = text.find("\n\n");
    int id = 0;
    if (end == std::string_view::npos || !text.starts_with(Id) ||
        std::from_chars(text.data() + Id.size(), text.data() + end, id).ec !=
            std::errc()) {
      call.EventsBroken = true;
      return;
    }
    call.EventIds.push_back(id);
    text.remove_prefix(end + 2);
  }
}

/// The call under way is over; what came of its answer is noted.
void endCall(SoakCaller &c, bool whole) {
  SoakCallers &cs = *c.Owner;
  if (c.Calling.empty())
    return;
  SoakCall &call = cs.Calls[c.Calling];
  call.Ended = cs.Lp->Now;
  call.Whole = whole;
  if (c.Parser.State && stateOf(c.Parser) != ParseState::InHead) {
    const MessageHead &head = headOf(c.Parser);
    call.Status = head.Status;
    const auto id = findField(head.Fields, "Zinniagauge-Attempt-Id");
    call.OtherId = id && *id != c.Calling;
    call.Sealed = findField(head.Fields, "Zinniagauge-Response-Seal") &&
                  head.Status / 100 == 2;
    if (call.Kind == SoakKind::Stream && head.Status == 200) {
      const CompleteEvents cut = findCompleteEvents(c.Body);
      noteEvents(call, std::string_view(c.Body).substr(0, cut.Bytes));
      call.EventsBroken =
          call.EventsBroken || (whole && cut.Bytes != c.Body.size());
    }
  }
  c.Calling.clear();
  c.Parser.State.reset();
  pauseCaller(c);
}

void onEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  SoakCaller &c = *static_cast<SoakCaller *>(ctx);
  if (c.Parser.State)
    endOfInput(c.Parser);
  endCall(c, c.Parser.State && stateOf(c.Parser) == ParseState::Done);
  c.Front = randomBelow(c.Owner->Random, c.Owner->Fronts.size());
  pauseCaller(c);
}

std::size_t onData(void *ctx, std::string_view part) {
  SoakCaller &c = *static_cast<SoakCaller *>(ctx);
  if (c.Calling.empty() || !c.Parser.State)
    return part.size();
  std::size_t taken = 0;
  while (taken < part.size()) {
    const std::size_t n = readMessage(c.Parser, part.substr(taken), c.Body);
    taken += n;
    if (stateOf(c.Parser) == ParseState::Done) {
      endCall(c, true);
      return part.size();
    }
    if (n == 0)
      break;
  }
  return taken;
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

/// Whether there is a connection; a new one is a new channel.
bool connected(SoakCaller &c) {
  if (c.Ch && isOpen(*c.Ch))
    return true;
  Loop &lp = *c.Owner->Lp;
  if (c.Ch)
    deleteLater(lp, std::move(c.Ch));
  c.Ch = std::make_shared<TcpConnection>();
  return openConnection(*c.Ch, lp, c.Owner->Fronts[c.Front], CallTime * 4,
                        Handlers, &c);
}

void startCall(SoakCaller &c) {
  SoakCallers &cs = *c.Owner;
  if (!connected(c)) {
    pauseCaller(c);
    return;
  }
  c.Calling = "s-" + std::to_string(++cs.LastId);
  SoakCall &call = cs.Calls[c.Calling];
  call.Kind = static_cast<SoakKind>(randomBelow(cs.Random, Paths.size()));
  call.Key = cs.Keys[randomBelow(cs.Random, cs.Keys.size())];
  call.Front = c.Front;
  call.Sent = cs.Lp->Now;
  c.Body.clear();
  beginMessage(c.Parser, MessageKind::Response, MostHead, MostBody);
  const std::string body = "call " + c.Calling;
  std::string out = "POST ";
  out.append(Paths[static_cast<std::size_t>(call.Kind)])
      .append(" HTTP/1.1\r\n");
  writeField(out, "Host", "h.example");
  writeField(out, "Zinniagauge-Attempt-Id", c.Calling);
  writeField(out, "Zinniagauge-Credential", call.Key);
  writeField(out, "Zinniagauge-Deadline-Ms",
             static_cast<std::uint64_t>(CallTime.count() / 1'000'000));
  writeField(out, "Content-Length", std::uint64_t{body.size()});
  out.append("\r\n").append(body);
  send(*c.Ch, out);
  if (!c.Calling.empty())
    arm(*cs.Lp, c.Timer, cs.Lp->Now + CallTime + CallPatience);
}

void onTimer(void *ctx, Time /*now*/) {
  SoakCaller &c = *static_cast<SoakCaller *>(ctx);
  if (!c.Calling.empty()) {
    // Patience is over. The connection goes with it, as its state is unknown.
    close(*c.Ch);
    endCall(c, false);
    return;
  }
  if (!c.Owner->Stopped)
    startCall(c);
}

} // namespace

void startCallers(SoakCallers &cs, std::size_t n) {
  for (std::size_t k = 0; k < n; ++k) {
    auto c = std::make_unique<SoakCaller>();
    c->Owner = &cs;
    c->Front = k % cs.Fronts.size();
    c->Timer.Fn = onTimer;
    c->Timer.Ctx = c.get();
    pauseCaller(*c);
    cs.List.push_back(std::move(c));
  }
}

} // namespace zinniagauge::testing
