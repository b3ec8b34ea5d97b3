#include "support/relay.h"

#include <sys/epoll.h>

#include <vector>

namespace zinniagauge::testing {

namespace {

/// The end of a silent peer isn't what a relay is to find.
constexpr Duration NoSilence = std::chrono::hours(1);

void drop(RelayPair &p, bool reset) {
  Relay &r = *p.Owner;
  const auto it = r.Pairs.find(&p);
  if (it == r.Pairs.end())
    return;
  disarm(*r.Lp, p.Timer);
  if (isOpen(p.Up))
    close(p.Up, reset);
  if (isOpen(p.Down))
    close(p.Down, reset);
  deleteLater(*r.Lp, it->second);
  r.Pairs.erase(it);
}

void passHeld(void *ctx, Time /*now*/) {
  RelayPair &p = *static_cast<RelayPair *>(ctx);
  const std::string up = std::move(p.UpHeld);
  const std::string down = std::move(p.DownHeld);
  p.UpHeld.clear();
  p.DownHeld.clear();
  if (!up.empty())
    send(p.Down, up);
  if (!down.empty() && isOpen(p.Up))
    send(p.Up, down);
}

/// Passes on \p part, holds it or loses it.
std::size_t take(RelayPair &p, std::string_view part, bool up) {
  const RelayMode m = p.Owner->Mode;
  const bool lost = m == RelayMode::Silence ||
                    m == (up ? RelayMode::CutUp : RelayMode::CutDown);
  if (lost || p.Cut) {
    p.Cut = true;
    return part.size();
  }
  std::string &held = up ? p.UpHeld : p.DownHeld;
  if (m == RelayMode::Delay || !held.empty()) {
    if (p.UpHeld.empty() && p.DownHeld.empty())
      arm(*p.Owner->Lp, p.Timer, p.Owner->Lp->Now + p.Owner->Delay);
    held.append(part);
    return part.size();
  }
  send(up ? p.Down : p.Up, part);
  return part.size();
}

std::size_t onUpData(void *ctx, std::string_view part) {
  return take(*static_cast<RelayPair *>(ctx), part, true);
}

std::size_t onDownData(void *ctx, std::string_view part) {
  return take(*static_cast<RelayPair *>(ctx), part, false);
}

/// One side has ended: the other follows, once what it is owed has left.
void onEnd(void *ctx, ConnectionEnd how, int /*err*/) {
  RelayPair &p = *static_cast<RelayPair *>(ctx);
  const RelayMode m = p.Owner->Mode;
  if (m != RelayMode::Pass && m != RelayMode::Delay && m != RelayMode::Reset)
    return; // The end is lost too; the cut's own end drops the pair.
  passHeld(&p, Time());
  if (how == ConnectionEnd::Closed && !p.Cut) {
    if (isOpen(p.Up))
      closeAfterSending(p.Up);
    if (isOpen(p.Down))
      closeAfterSending(p.Down);
    if (isOpen(p.Up) || isOpen(p.Down))
      return;
  }
  drop(p, true);
}

const ConnectionHandlers UpHandlers = {nullptr, onUpData, onEnd, nullptr};
const ConnectionHandlers DownHandlers = {nullptr, onDownData, onEnd, nullptr};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  Relay &r = *static_cast<Relay *>(ctx);
  for (int fd = acceptFrom(r.Listener.Fd); fd >= 0;
       fd = acceptFrom(r.Listener.Fd)) {
    auto p = std::make_shared<RelayPair>();
    p->Owner = &r;
    p->Timer.Fn = passHeld;
    p->Timer.Ctx = p.get();
    r.Pairs.emplace(p.get(), p);
    adopt(p->Up, *r.Lp, fd, UpHandlers, p.get());
    if (r.Mode == RelayMode::Reset ||
        !openConnection(p->Down, *r.Lp, r.Target, NoSilence, DownHandlers,
                        p.get()))
      drop(*p, true);
  }
}

std::vector<RelayPair *> pairsOf(const Relay &r) {
  std::vector<RelayPair *> out;
  for (const auto &[p, held] : r.Pairs)
    out.push_back(p);
  return out;
}

} // namespace

Result<void> startRelay(Relay &r, Loop &lp, PeerAddress at,
                        PeerAddress target) {
  BOOST_LEAF_AUTO(fd, listenAt(at));
  r.Lp = &lp;
  r.Target = target;
  r.Listener.Fd = fd;
  r.Listener.Fn = onAccept;
  r.Listener.Ctx = &r;
  watch(lp, r.Listener, EPOLLIN);
  return {};
}

void setMode(Relay &r, RelayMode mode, Duration delay) {
  r.Mode = mode;
  r.Delay = delay;
  for (RelayPair *p : pairsOf(r))
    if (mode == RelayMode::Reset ||
        (mode == RelayMode::Pass &&
         (p->Cut || !isOpen(p->Up) || !isOpen(p->Down))))
      drop(*p, true);
}

} // namespace zinniagauge::testing
