// Implements the callers of a fault soak.
#include "support/soak_callers.h"

#include "zinniagauge/decide/complete_events.h"
#include "zinniagauge/decide/random.h"

#include <array>
#include <charconv>

namespace zinniagauge::testing {

namespace {

constexpr std::size_t MaxHeadBytes = 16384;
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{1} << 20U;

/// Request paths, indexed by SoakKind.
constexpr std::array<std::string_view, 3> Paths = {"/safe/s", "/unsafe/s",
                                                   "/stream/s"};

void scheduleNextCall(SoakCaller &c) {
  SoakCallers &cs = *c.Owner;
  const auto ms = cs.MinIntervalMs +
                  static_cast<int>(randomBelow(
                      cs.Random, static_cast<std::size_t>(cs.MaxIntervalMs -
                                                          cs.MinIntervalMs)));
  arm(*cs.Lp, c.Timer, cs.Lp->Now + std::chrono::milliseconds(ms));
}

/// Records the ids of the events in \p text, or that it holds an invalid event.
void recordEvents(SoakCall &call, std::string_view text) {
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

/// Ends the current call, records what was received of its response, and
/// schedules the next one.
void finishCall(SoakCaller &c, bool whole) {
  SoakCallers &cs = *c.Owner;
  if (c.CurrentCall.empty())
    return;
  SoakCall &call = cs.Calls[c.CurrentCall];
  call.EndedAt = cs.Lp->Now;
  call.Complete = whole;
  if (c.Parser.State && stateOf(c.Parser) != ParseState::InHead) {
    const MessageHead &head = headOf(c.Parser);
    call.Status = head.Status;
    const auto id = findField(head.Fields, "Zinniagauge-Attempt-Id");
    call.MismatchedId = id && *id != c.CurrentCall;
    call.Sealed = findField(head.Fields, "Zinniagauge-Response-Seal") &&
                  head.Status / 100 == 2;
    if (call.Kind == SoakKind::Stream && head.Status == 200) {
      EventScan scan;
      const CompleteEvents complete = findCompleteEvents(c.Body, scan);
      recordEvents(call, std::string_view(c.Body).substr(0, complete.Bytes));
      call.EventsBroken =
          call.EventsBroken || (whole && complete.Bytes != c.Body.size());
    }
  }
  c.CurrentCall.clear();
  c.Parser.State.reset();
  scheduleNextCall(c);
}

void onEnd(void *ctx, ConnectionEnd /*how*/, int /*err*/) {
  SoakCaller &c = *static_cast<SoakCaller *>(ctx);
  if (c.Parser.State)
    endOfInput(c.Parser);
  finishCall(c, c.Parser.State && stateOf(c.Parser) == ParseState::Done);
  c.Front = randomBelow(c.Owner->Random, c.Owner->Fronts.size());
  scheduleNextCall(c);
}

std::size_t onData(void *ctx, std::string_view part) {
  SoakCaller &c = *static_cast<SoakCaller *>(ctx);
  if (c.CurrentCall.empty() || !c.Parser.State)
    return part.size();
  std::size_t consumed = 0;
  while (consumed < part.size()) {
    const std::size_t n = readMessage(c.Parser, part.substr(consumed), c.Body);
    consumed += n;
    if (stateOf(c.Parser) == ParseState::Done) {
      finishCall(c, true);
      return part.size();
    }
    if (n == 0)
      break;
  }
  return consumed;
}

const ConnectionHandlers Handlers = {nullptr, onData, onEnd, nullptr};

/// Opens a connection if there is none; false if that fails. A new connection
/// gets a new TcpConnection object.
bool ensureConnected(SoakCaller &c) {
  if (c.Connection && isOpen(*c.Connection))
    return true;
  Loop &lp = *c.Owner->Lp;
  if (c.Connection)
    deleteLater(lp, std::move(c.Connection));
  c.Connection = std::make_shared<TcpConnection>();
  return openConnection(*c.Connection, lp, c.Owner->Fronts[c.Front],
                        CallTimeout * 4, Handlers, &c);
}

void startCall(SoakCaller &c) {
  SoakCallers &cs = *c.Owner;
  if (!ensureConnected(c)) {
    scheduleNextCall(c);
    return;
  }
  c.CurrentCall = cs.IdPrefix + std::to_string(++cs.LastId);
  SoakCall &call = cs.Calls[c.CurrentCall];
  if (cs.NextPath) {
    call.Path = cs.NextPath();
  } else {
    call.Kind = static_cast<SoakKind>(randomBelow(cs.Random, Paths.size()));
    call.Path = Paths[static_cast<std::size_t>(call.Kind)];
  }
  call.Key = cs.Keys[randomBelow(cs.Random, cs.Keys.size())];
  call.Front = c.Front;
  call.SentAt = cs.Lp->Now;
  c.Body.clear();
  beginMessage(c.Parser, MessageKind::Response, MaxHeadBytes, MaxBodyBytes);
  const std::string body = "call " + c.CurrentCall;
  std::string out = "POST ";
  out.append(call.Path).append(" HTTP/1.1\r\n");
  writeField(out, "Host", "h.example");
  writeField(out, "Zinniagauge-Attempt-Id", c.CurrentCall);
  writeField(out, "Zinniagauge-Credential", call.Key);
  writeField(out, "Zinniagauge-Deadline-Ms",
             static_cast<std::uint64_t>(CallTimeout.count() / 1'000'000));
  writeField(out, "Content-Length", std::uint64_t{body.size()});
  out.append("\r\n").append(body);
  send(*c.Connection, out);
  if (!c.CurrentCall.empty())
    arm(*cs.Lp, c.Timer, cs.Lp->Now + CallTimeout + CallTimeoutMargin);
}

void onTimer(void *ctx, Time /*now*/) {
  SoakCaller &c = *static_cast<SoakCaller *>(ctx);
  if (!c.CurrentCall.empty()) {
    // The call has timed out. Its connection is closed, since a late response
    // could still arrive on it.
    close(*c.Connection);
    finishCall(c, false);
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
    scheduleNextCall(*c);
    cs.List.push_back(std::move(c));
  }
}

} // namespace zinniagauge::testing
