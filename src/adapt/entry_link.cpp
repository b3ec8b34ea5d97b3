#include "zinniagauge/adapt/entry_link.h"

#include "zinniagauge/adapt/wire.h"

#include "zinnia.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <atomic>
#include <thread>
#include <utility>

namespace zinniagauge {

namespace {

constexpr auto UpdatePeriod = EntryUpdatePeriod.count() * kj::NANOSECONDS;
constexpr auto CallTimeout = EntryCallTimeout.count() * kj::NANOSECONDS;

/// Writes the bundle, its text only if the entry has an older one.
void fill(wire::BundleText::Builder to, const Bundle &b, std::uint64_t has) {
  to.setVersion(b.Version);
  to.setDigest(b.Digest);
  if (b.Version > has)
    to.setText(b.Text);
}

/// Writes the sections besides the bundle.
void fill(wire::BoardUpdate::Builder to, const Board &b) {
  const ReadGuard guard;
  const auto &members = b.Members.read(guard).Members;
  write(to.initMembers(static_cast<unsigned>(members.size())), members);
  const auto &eps = b.Endpoints.read(guard).Endpoints;
  write(to.initEndpoints(static_cast<unsigned>(eps.size())), eps,
        monotonicNow());
  const auto &moves = b.Moves.read(guard).Moves;
  write(to.initMoves(static_cast<unsigned>(moves.size())), moves);
}

EntryReport readReport(wire::BoardReport::Reader from) {
  EntryReport rep;
  rep.Reached = true;
  rep.At = monotonicNow();
  rep.BundleVersion = from.getBundleVersion();
  rep.Seen = read(from.getEvidence());
  rep.BadMoves = read(from.getBadMoves());
  rep.Stopping = from.getStopping();
  rep.InProgress = from.getInProgress();
  return rep;
}

} // namespace

struct EntryLink::State {
  explicit State(EntryLinkOptions o) : Opt(std::move(o)) {}

  void run();
  void talk(kj::AsyncIoContext &io) const;

  EntryLinkOptions Opt;
  std::atomic<bool> Stop{false};
  std::thread Thread;
};

/// Keeps one connection; returns when told to stop, throws when it breaks or
/// goes silent.
void EntryLink::State::talk(kj::AsyncIoContext &io) const {
  kj::Timer &timer = io.provider->getTimer();
  auto addr =
      io.provider->getNetwork().parseAddress(Opt.Address).wait(io.waitScope);
  auto stream =
      timer.timeoutAfter(CallTimeout, addr->connect()).wait(io.waitScope);
  capnp::TwoPartyClient rpc(*stream);
  auto board =
      rpc.bootstrap().castAs<wire::Entry>().boardRequest().send().getBoard();
  std::uint64_t has = 0;
  while (!Stop) {
    auto req = board.updateRequest();
    auto update = req.initUpdate();
    fill(update, *Opt.Shared);
    if (Opt.MayServe()) {
      const ReadGuard guard;
      fill(update.initBundle(), Opt.Shared->InForce.read(guard), has);
    }
    const auto res =
        timer.timeoutAfter(CallTimeout, req.send()).wait(io.waitScope);
    EntryReport rep = readReport(res.getReport());
    has = rep.BundleVersion;
    Opt.Report->publish(std::move(rep));
    timer.afterDelay(UpdatePeriod).wait(io.waitScope);
  }
}

void EntryLink::State::run() {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  while (!Stop) {
    try {
      talk(io);
    } catch (const kj::Exception &) {
      EntryReport last = Opt.Report->copy();
      last.Reached = false;
      Opt.Report->publish(std::move(last));
      io.provider->getTimer().afterDelay(UpdatePeriod).wait(io.waitScope);
    }
  }
}

EntryLink::EntryLink(EntryLinkOptions opt)
    : St(std::make_unique<State>(std::move(opt))) {
  St->Thread = std::thread([s = St.get()] { s->run(); });
}

EntryLink::~EntryLink() {
  St->Stop = true;
  St->Thread.join();
}

} // namespace zinniagauge
