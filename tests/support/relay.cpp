// Implements the TCP proxy that injects faults.
#include "support/relay.h"

#include <sys/epoll.h>

#include <vector>

namespace zinniagauge::testing {

namespace {

/// Long enough that a relay never closes a connection because its peer is
/// silent.
constexpr Duration SilenceTimeout = std::chrono::hours(1);

void drop(RelayPair &p, bool reset) {
  Relay &r = *p.Owner;
  const auto it = r.Pairs.find(&p);
  if (it == r.Pairs.end())
    return;
  disarm(*r.Lp, p.Timer);
  if (isOpen(p.CallerSide))
    close(p.CallerSide, reset);
  if (isOpen(p.TargetSide))
    close(p.TargetSide, reset);
  deleteLater(*r.Lp, it->second);
  r.Pairs.erase(it);
}

void forwardDelayed(void *ctx, Time /*now*/) {
  RelayPair &p = *static_cast<RelayPair *>(ctx);
  const std::string totarget = std::move(p.DelayedToTarget);
  const std::string tocaller = std::move(p.DelayedToCaller);
  p.DelayedToTarget.clear();
  p.DelayedToCaller.clear();
  if (!totarget.empty())
    send(p.TargetSide, totarget);
  if (!tocaller.empty() && isOpen(p.CallerSide))
    send(p.CallerSide, tocaller);
}

/// Forwards, delays or discards \p part, as the mode says.
std::size_t handleData(RelayPair &p, std::string_view part, bool fromcaller) {
  const RelayMode m = p.Owner->Mode;
  const bool lost =
      m == RelayMode::DropAll ||
      m == (fromcaller ? RelayMode::DropFromCaller : RelayMode::DropFromTarget);
  if (lost || p.HasLostBytes) {
    p.HasLostBytes = true;
    return part.size();
  }
  std::string &held = fromcaller ? p.DelayedToTarget : p.DelayedToCaller;
  if (m == RelayMode::Delay || !held.empty()) {
    if (p.DelayedToTarget.empty() && p.DelayedToCaller.empty())
      arm(*p.Owner->Lp, p.Timer, p.Owner->Lp->Now + p.Owner->Delay);
    held.append(part);
    return part.size();
  }
  send(fromcaller ? p.TargetSide : p.CallerSide, part);
  return part.size();
}

std::size_t onCallerData(void *ctx, std::string_view part) {
  return handleData(*static_cast<RelayPair *>(ctx), part, true);
}

std::size_t onTargetData(void *ctx, std::string_view part) {
  return handleData(*static_cast<RelayPair *>(ctx), part, false);
}

/// Called when one side has ended. Closes the other side after the bytes that
/// are due to it have been sent.
void onEnd(void *ctx, ConnectionEnd how, int /*err*/) {
  RelayPair &p = *static_cast<RelayPair *>(ctx);
  const RelayMode m = p.Owner->Mode;
  if (m != RelayMode::Pass && m != RelayMode::Delay && m != RelayMode::Reset)
    return; // The end is lost too; setMode() drops the pair later.
  forwardDelayed(&p, Time());
  if (how == ConnectionEnd::Closed && !p.HasLostBytes) {
    if (isOpen(p.CallerSide))
      closeAfterSending(p.CallerSide);
    if (isOpen(p.TargetSide))
      closeAfterSending(p.TargetSide);
    if (isOpen(p.CallerSide) || isOpen(p.TargetSide))
      return;
  }
  drop(p, true);
}

const ConnectionHandlers CallerHandlers = {nullptr, onCallerData, onEnd,
                                           nullptr, true};
const ConnectionHandlers TargetHandlers = {nullptr, onTargetData, onEnd,
                                           nullptr, true};

void onAccept(void *ctx, std::uint32_t /*events*/) {
  Relay &r = *static_cast<Relay *>(ctx);
  for (int fd = acceptFrom(r.Listener.Fd); fd >= 0;
       fd = acceptFrom(r.Listener.Fd)) {
    auto p = std::make_shared<RelayPair>();
    p->Owner = &r;
    p->Timer.Fn = forwardDelayed;
    p->Timer.Ctx = p.get();
    r.Pairs.emplace(p.get(), p);
    adopt(p->CallerSide, *r.Lp, fd, CallerHandlers, p.get());
    if (r.Mode == RelayMode::Reset ||
        !openConnection(p->TargetSide, *r.Lp, r.Target, SilenceTimeout,
                        TargetHandlers, p.get()))
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
         (p->HasLostBytes || !isOpen(p->CallerSide) || !isOpen(p->TargetSide))))
      drop(*p, true);
}

} // namespace zinniagauge::testing
