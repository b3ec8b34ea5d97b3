#include "zinniagauge/adapt/entry_connection.h"

#include "zinniagauge/adapt/wire_codec.h"

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

/// Writes the bundle. Its text is included only if it is newer than version
/// \p entryversion, which the entry has.
void fill(wire::BundleText::Builder to, const Bundle &b,
          std::uint64_t entryversion) {
  to.setVersion(b.Version);
  to.setDigest(b.Digest);
  if (b.Version > entryversion)
    to.setText(b.Text);
}

/// Writes all sections of the board except the bundle.
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
  rep.Reachable = true;
  rep.LastResponseAt = monotonicNow();
  rep.BundleVersion = from.getBundleVersion();
  rep.Stats = read(from.getEvidence());
  rep.BadMoves = read(from.getBadMoves());
  rep.Stopping = from.getStopping();
  rep.InProgress = from.getInProgress();
  return rep;
}

} // namespace

struct EntryConnection::State {
  explicit State(EntryConnectionOptions o) : Opt(std::move(o)) {}

  void run();
  void runConnection(kj::AsyncIoContext &io) const;

  EntryConnectionOptions Opt;
  std::atomic<bool> Stop{false};
  std::thread Thread;
};

/// Opens one connection and sends updates over it. Returns after Stop is set;
/// throws kj::Exception if the connection fails or a call times out.
void EntryConnection::State::runConnection(kj::AsyncIoContext &io) const {
  kj::Timer &timer = io.provider->getTimer();
  auto addr =
      io.provider->getNetwork().parseAddress(Opt.Address).wait(io.waitScope);
  auto stream =
      timer.timeoutAfter(CallTimeout, addr->connect()).wait(io.waitScope);
  capnp::TwoPartyClient rpc(*stream);
  auto board =
      rpc.bootstrap().castAs<wire::Entry>().boardRequest().send().getBoard();
  std::uint64_t entryversion = 0;
  while (!Stop) {
    auto req = board.updateRequest();
    auto update = req.initUpdate();
    fill(update, *Opt.SharedBoard);
    if (Opt.MayPushBundle()) {
      const ReadGuard guard;
      fill(update.initBundle(), Opt.SharedBoard->ActiveBundle.read(guard),
           entryversion);
    }
    const auto res =
        timer.timeoutAfter(CallTimeout, req.send()).wait(io.waitScope);
    EntryReport rep = readReport(res.getReport());
    entryversion = rep.BundleVersion;
    Opt.Report->publish(std::move(rep));
    timer.afterDelay(UpdatePeriod).wait(io.waitScope);
  }
}

void EntryConnection::State::run() {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  while (!Stop) {
    try {
      runConnection(io);
    } catch (const kj::Exception &) {
      EntryReport last = Opt.Report->copy();
      last.Reachable = false;
      Opt.Report->publish(std::move(last));
      io.provider->getTimer().afterDelay(UpdatePeriod).wait(io.waitScope);
    }
  }
}

EntryConnection::EntryConnection(EntryConnectionOptions opt)
    : St(std::make_unique<State>(std::move(opt))) {
  St->Thread = std::thread([s = St.get()] { s->run(); });
}

EntryConnection::~EntryConnection() {
  St->Stop = true;
  St->Thread.join();
}

} // namespace zinniagauge
