#include "zinniagauge/adapt/exchange_thread.h"

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/exchange_codec.h"
#include "zinniagauge/adapt/mailbox.h"
#include "zinniagauge/decide/bundle_propagation.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <future>
#include <map>
#include <thread>
#include <utility>

namespace zinniagauge {

namespace {

constexpr auto StepPeriod = UpdateExchangePeriod.count() * kj::NANOSECONDS;
constexpr auto KjExchangeTimeout = ExchangeTimeout.count() * kj::NANOSECONDS;

using Task = ExchangeThread::Task;

/// Tasks for the thread; an empty task ends it.
using TaskMailbox = Mailbox<Task>;

using ExchangeResponse = capnp::Response<wire::Exchange::SwapResults>;

/// One connection to a peer. Members are destroyed in reverse order: first the
/// exchange in progress, then the capability and the RPC system, last the
/// stream below it. The bootstrap capability is requested only once per
/// connection: a second request on a connection that the peer has closed ends
/// the process.
struct PeerConnection {
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  kj::Maybe<wire::Exchange::Client> Peer;
  bool ExchangeInProgress = false;
  kj::Promise<void> CurrentExchange = nullptr;
};

/// The state of the exchange thread; used on that thread only.
class ExchangeLoop final : kj::TaskSet::ErrorHandler {
public:
  ExchangeLoop(const ExchangeOptions &opt, TaskMailbox &inbox);

  /// Listens on the configured address; throws kj::Exception if that fails.
  void listen();

  /// Runs the event loop until an empty task arrives.
  void serve();

  /// Handles the request of an exchange that a peer started.
  void handleExchange(wire::ExchangeSwap::Reader request,
                      wire::ExchangeSwap::Builder response);

private:
  void taskFailed(kj::Exception && /*ex*/) override {}
  kj::Promise<void> watchMailbox();
  kj::Promise<void> stepForever();
  void stepNow();
  void startExchangeWith(const ExchangeTarget &to);
  kj::Promise<void> connect(PeerConnection &connection,
                            const std::string &address);
  kj::Promise<ExchangeResponse> send(PeerConnection &connection,
                                     const ExchangeMessage &msg);
  kj::Promise<void> exchangeOnce(PeerConnection &connection,
                                 const ExchangeTarget &to);
  kj::Promise<void> finishExchange(PeerConnection &connection,
                                   const ExchangeResponse &res);
  void closeLater(const std::string &address);
  void applyUpdates(const ExchangeUpdates &updates);
  void publish();

  const ExchangeOptions &Opt;
  TaskMailbox &Inbox;
  Exchange State;
  kj::AsyncIoContext Io;
  kj::UnixEventPort::FdObserver MailboxReady;
  std::map<std::string, PeerConnection> Connections; // By address.
  kj::Own<capnp::TwoPartyServer> Server;
  kj::Own<kj::ConnectionReceiver> Receiver;
  kj::PromiseFulfillerPair<void> Stop;
  kj::TaskSet Tasks;
};

class ExchangeServer final : public wire::Exchange::Server {
public:
  explicit ExchangeServer(ExchangeLoop &loop) : Loop(loop) {}

protected:
  kj::Promise<void> swap(SwapContext ctx) override {
    Loop.handleExchange(ctx.getParams().getAsk(),
                        ctx.getResults().initAnswer());
    return kj::READY_NOW;
  }

private:
  ExchangeLoop &Loop;
};

ExchangeLoop::ExchangeLoop(const ExchangeOptions &opt, TaskMailbox &inbox)
    : Opt(opt), Inbox(inbox),
      State(startExchange(opt.Self, opt.SeedAddresses, opt.RandomSeed,
                          monotonicNow())),
      Io(kj::setupAsyncIo()),
      MailboxReady(Io.unixEventPort, inbox.fd(),
                   kj::UnixEventPort::FdObserver::OBSERVE_READ),
      Stop(kj::newPromiseAndFulfiller<void>()), Tasks(*this) {}

void ExchangeLoop::listen() {
  auto addr =
      Io.provider->getNetwork().parseAddress(Opt.Address).wait(Io.waitScope);
  Receiver = addr->listen();
  Server = kj::heap<capnp::TwoPartyServer>(kj::heap<ExchangeServer>(*this));
  Tasks.add(Server->listen(*Receiver));
}

void ExchangeLoop::serve() {
  Tasks.add(watchMailbox());
  Tasks.add(stepForever());
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> ExchangeLoop::watchMailbox() {
  return MailboxReady.whenBecomesReadable().then([this] {
    Inbox.takeAll([this](std::unique_ptr<Task> fn) {
      if (*fn)
        (*fn)(State);
      else
        Stop.fulfiller->fulfill();
    });
    publish();
    return watchMailbox();
  });
}

kj::Promise<void> ExchangeLoop::stepForever() {
  stepNow();
  return Io.provider->getTimer().afterDelay(StepPeriod).then([this] {
    return stepForever();
  });
}

void ExchangeLoop::stepNow() {
  const Time now = monotonicNow();
  std::vector<ExchangeTarget> targets;
  step(State, now, targets);
  for (const ExchangeTarget &it : targets)
    startExchangeWith(it);
  publish();
  if (Opt.OnStep)
    Opt.OnStep(State, now);
}

void ExchangeLoop::startExchangeWith(const ExchangeTarget &to) {
  PeerConnection &connection = Connections[to.Address];
  if (connection.ExchangeInProgress)
    return;
  connection.ExchangeInProgress = true;
  connection.CurrentExchange =
      Io.provider->getTimer()
          .timeoutAfter(KjExchangeTimeout, exchangeOnce(connection, to))
          .then([&connection] { connection.ExchangeInProgress = false; })
          .eagerlyEvaluate(
              [this, address = to.Address](kj::Exception && /*ex*/) {
                closeLater(address);
              });
}

void ExchangeLoop::closeLater(const std::string &address) {
  // Deferred, because the caller is a promise that the connection owns.
  Tasks.add(kj::evalLater([this, address] { Connections.erase(address); }));
}

kj::Promise<void> ExchangeLoop::connect(PeerConnection &connection,
                                        const std::string &address) {
  if (connection.Peer != nullptr)
    return kj::READY_NOW;
  return Io.provider->getNetwork()
      .parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress> &&addr) {
        auto conn = addr->connect();
        return conn.attach(kj::mv(addr));
      })
      .then([&connection](kj::Own<kj::AsyncIoStream> &&stream) {
        connection.Stream = kj::mv(stream);
        connection.Rpc = kj::heap<capnp::TwoPartyClient>(*connection.Stream);
        connection.Peer = connection.Rpc->bootstrap().castAs<wire::Exchange>();
      });
}

kj::Promise<ExchangeResponse> ExchangeLoop::send(PeerConnection &connection,
                                                 const ExchangeMessage &msg) {
  auto req = KJ_ASSERT_NONNULL(connection.Peer).swapRequest();
  writeExchangeMessage(msg, selfRecord(State.Members).Info, req.initAsk());
  const auto words = req.totalSize().wordCount;
  Opt.SharedBoard->Counts.ExchangeBytesSent.add(words * sizeof(capnp::word));
  return req.send();
}

kj::Promise<void> ExchangeLoop::exchangeOnce(PeerConnection &connection,
                                             const ExchangeTarget &to) {
  return connect(connection, to.Address)
      .then([this, &connection, zone = to.Zone] {
        return send(connection,
                    makeExchangeRequest(State, zone, monotonicNow()));
      })
      .then([this, &connection](ExchangeResponse &&res) {
        return finishExchange(connection, res);
      });
}

kj::Promise<void> ExchangeLoop::finishExchange(PeerConnection &connection,
                                               const ExchangeResponse &res) {
  const auto in = res.getAnswer();
  Opt.SharedBoard->Counts.ExchangeBytesReceived.add(in.totalSize().wordCount *
                                                    sizeof(capnp::word));
  auto response = readExchangeMessage(in);
  if (!response)
    return kj::READY_NOW;
  ExchangeUpdates updates;
  const auto push =
      handleExchangeResponse(State, *response, monotonicNow(), updates);
  applyUpdates(updates);
  if (!push)
    return kj::READY_NOW;
  return send(connection, *push).ignoreResult();
}

void ExchangeLoop::handleExchange(wire::ExchangeSwap::Reader request,
                                  wire::ExchangeSwap::Builder response) {
  Opt.SharedBoard->Counts.ExchangeBytesReceived.add(
      request.totalSize().wordCount * sizeof(capnp::word));
  auto in = readExchangeMessage(request);
  if (!in)
    return;
  ExchangeUpdates updates;
  const ExchangeMessage out =
      handleExchangeRequest(State, *in, monotonicNow(), updates);
  writeExchangeMessage(out, selfRecord(State.Members).Info, response);
  Opt.SharedBoard->Counts.ExchangeBytesSent.add(response.totalSize().wordCount *
                                                sizeof(capnp::word));
  applyUpdates(updates);
}

void adoptBundle(Board &shared, Exchange &ex, const Bundle &next) {
  if (activateIfNewer(shared.ActiveBundle, next) == BundleOrder::Newer)
    activateBundle(ex, next);
}

void ExchangeLoop::applyUpdates(const ExchangeUpdates &updates) {
  if (updates.NewBundle) {
    // A text that is invalid or doesn't match its digest is ignored; the table
    // still holds the correct one.
    auto next =
        parseBundle(updates.NewBundle->Version, updates.NewBundle->Text);
    if (next && next->Digest == updates.NewBundle->Digest)
      adoptBundle(*Opt.SharedBoard, State, *next);
  }
  if (updates.Members || updates.Endpoints || updates.Moves)
    publish();
}

void ExchangeLoop::publish() {
  Board &b = *Opt.SharedBoard;
  b.Members.publish(publishMembers(State.Members, monotonicNow()));
  b.Endpoints.publish(publishEndpoints(State, b.Endpoints.copy()));
  b.Moves.publish(publishMoves(State));
}

} // namespace

struct ExchangeThread::State {
  ExchangeOptions Opt;
  TaskMailbox Inbox;
  std::thread Thread;
};

ExchangeThread::ExchangeThread(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
ExchangeThread::ExchangeThread(ExchangeThread &&) noexcept = default;
ExchangeThread &ExchangeThread::operator=(ExchangeThread &&) noexcept = default;

ExchangeThread::~ExchangeThread() {
  if (!St)
    return;
  post({});
  St->Thread.join();
}

Result<ExchangeThread> ExchangeThread::start(ExchangeOptions opt) {
  auto st = std::make_unique<State>();
  st->Opt = std::move(opt);
  std::promise<std::string> listening; // Empty if listening succeeded.
  auto started = listening.get_future();
  st->Thread = std::thread([s = st.get(), &listening] {
    ExchangeLoop loop(s->Opt, s->Inbox);
    try {
      loop.listen();
    } catch (const kj::Exception &ex) {
      listening.set_value(ex.getDescription().cStr());
      return;
    }
    listening.set_value({});
    loop.serve();
  });
  const std::string error = started.get();
  if (error.empty())
    return ExchangeThread(std::move(st));
  st->Thread.join();
  return fail({ErrorCode::Unavailable, Step::Connect, st->Opt.Address, error});
}

void ExchangeThread::post(Task fn) {
  St->Inbox.post(std::make_unique<Task>(std::move(fn)));
}

void ExchangeThread::offerBundle(Bundle next) {
  post([&shared = *St->Opt.SharedBoard, next = std::move(next)](Exchange &ex) {
    adoptBundle(shared, ex, next);
  });
}

} // namespace zinniagauge
