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
constexpr auto CallTimeout = SwapTimeout.count() * kj::NANOSECONDS;

using Task = ExchangeThread::Task;

/// A task for the thread; an empty one ends it.
using TaskBox = Mailbox<Task>;

using SwapResponse = capnp::Response<wire::Exchange::SwapResults>;

/// One connection to a peer. Members are destroyed in reverse: first the swap
/// in progress, then the capability and the RPC system, last the stream under
/// it. The capability is asked for once: on a connection that its peer has
/// closed, asking again ends the process.
struct PeerLink {
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  kj::Maybe<wire::Exchange::Client> Peer;
  bool Busy = false;
  kj::Promise<void> Swapping = nullptr;
};

/// All that lives on the thread.
class Core final : kj::TaskSet::ErrorHandler {
public:
  Core(const ExchangeOptions &opt, TaskBox &box);

  /// Listens; throws kj::Exception if the address is taken.
  void listen();

  /// Serves until told to stop.
  void serve();

  /// The server's side of a swap.
  void answer(wire::ExchangeSwap::Reader ask, wire::ExchangeSwap::Builder to);

private:
  void taskFailed(kj::Exception && /*ex*/) override {}
  kj::Promise<void> watchBox();
  kj::Promise<void> stepForever();
  void stepNow();
  void startSwap(const ExchangeTarget &to);
  kj::Promise<void> connect(PeerLink &link, const std::string &address);
  kj::Promise<SwapResponse> send(PeerLink &link, const ExchangeMessage &msg);
  kj::Promise<void> swapOnce(PeerLink &link, const ExchangeTarget &to);
  kj::Promise<void> finishSwap(PeerLink &link, const SwapResponse &res);
  void dropLater(const std::string &address);
  void take(const ExchangeUpdates &news);
  void publish();

  const ExchangeOptions &Opt;
  TaskBox &Box;
  Exchange State;
  kj::AsyncIoContext Io;
  kj::UnixEventPort::FdObserver BoxReady;
  std::map<std::string, PeerLink> Links; // By address.
  kj::Own<capnp::TwoPartyServer> Server;
  kj::Own<kj::ConnectionReceiver> Receiver;
  kj::PromiseFulfillerPair<void> Stop;
  kj::TaskSet Tasks;
};

class ExchangeServer final : public wire::Exchange::Server {
public:
  explicit ExchangeServer(Core &c) : At(c) {}

protected:
  kj::Promise<void> swap(SwapContext ctx) override {
    At.answer(ctx.getParams().getAsk(), ctx.getResults().initAnswer());
    return kj::READY_NOW;
  }

private:
  Core &At;
};

Core::Core(const ExchangeOptions &opt, TaskBox &box)
    : Opt(opt), Box(box), State(startExchange(opt.Self, opt.SeedAddresses,
                                              opt.RandomSeed, monotonicNow())),
      Io(kj::setupAsyncIo()),
      BoxReady(Io.unixEventPort, box.fd(),
               kj::UnixEventPort::FdObserver::OBSERVE_READ),
      Stop(kj::newPromiseAndFulfiller<void>()), Tasks(*this) {}

void Core::listen() {
  auto addr =
      Io.provider->getNetwork().parseAddress(Opt.Address).wait(Io.waitScope);
  Receiver = addr->listen();
  Server = kj::heap<capnp::TwoPartyServer>(kj::heap<ExchangeServer>(*this));
  Tasks.add(Server->listen(*Receiver));
}

void Core::serve() {
  Tasks.add(watchBox());
  Tasks.add(stepForever());
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> Core::watchBox() {
  return BoxReady.whenBecomesReadable().then([this] {
    Box.takeAll([this](std::unique_ptr<Task> fn) {
      if (*fn)
        (*fn)(State);
      else
        Stop.fulfiller->fulfill();
    });
    publish();
    return watchBox();
  });
}

kj::Promise<void> Core::stepForever() {
  stepNow();
  return Io.provider->getTimer().afterDelay(StepPeriod).then([this] {
    return stepForever();
  });
}

void Core::stepNow() {
  const Time now = monotonicNow();
  std::vector<ExchangeTarget> targets;
  step(State, now, targets);
  for (const ExchangeTarget &it : targets)
    startSwap(it);
  publish();
  if (Opt.OnStep)
    Opt.OnStep(State, now);
}

void Core::startSwap(const ExchangeTarget &to) {
  PeerLink &link = Links[to.Address];
  if (link.Busy)
    return;
  link.Busy = true;
  link.Swapping = Io.provider->getTimer()
                      .timeoutAfter(CallTimeout, swapOnce(link, to))
                      .then([&link] { link.Busy = false; })
                      .eagerlyEvaluate(
                          [this, address = to.Address](
                              kj::Exception && /*ex*/) { dropLater(address); });
}

void Core::dropLater(const std::string &address) {
  // Not at once: the caller is a promise that the link owns.
  Tasks.add(kj::evalLater([this, address] { Links.erase(address); }));
}

kj::Promise<void> Core::connect(PeerLink &link, const std::string &address) {
  if (link.Peer != nullptr)
    return kj::READY_NOW;
  return Io.provider->getNetwork()
      .parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress> &&addr) {
        auto conn = addr->connect();
        return conn.attach(kj::mv(addr));
      })
      .then([&link](kj::Own<kj::AsyncIoStream> &&stream) {
        link.Stream = kj::mv(stream);
        link.Rpc = kj::heap<capnp::TwoPartyClient>(*link.Stream);
        link.Peer = link.Rpc->bootstrap().castAs<wire::Exchange>();
      });
}

kj::Promise<SwapResponse> Core::send(PeerLink &link,
                                     const ExchangeMessage &msg) {
  auto req = KJ_ASSERT_NONNULL(link.Peer).swapRequest();
  writeSwap(msg, selfRecord(State.Members).Info, req.initAsk());
  const auto words = req.totalSize().wordCount;
  Opt.Shared->Counts.ExchangeBytesSent.add(words * sizeof(capnp::word));
  return req.send();
}

kj::Promise<void> Core::swapOnce(PeerLink &link, const ExchangeTarget &to) {
  return connect(link, to.Address)
      .then([this, &link, zone = to.Zone] {
        return send(link, makeExchangeRequest(State, zone, monotonicNow()));
      })
      .then(
          [this, &link](SwapResponse &&res) { return finishSwap(link, res); });
}

kj::Promise<void> Core::finishSwap(PeerLink &link, const SwapResponse &res) {
  const auto in = res.getAnswer();
  Opt.Shared->Counts.ExchangeBytesReceived.add(in.totalSize().wordCount *
                                               sizeof(capnp::word));
  auto answer = readSwap(in);
  if (!answer)
    return kj::READY_NOW;
  ExchangeUpdates news;
  const auto push =
      handleExchangeResponse(State, *answer, monotonicNow(), news);
  take(news);
  if (!push)
    return kj::READY_NOW;
  return send(link, *push).ignoreResult();
}

void Core::answer(wire::ExchangeSwap::Reader ask,
                  wire::ExchangeSwap::Builder to) {
  Opt.Shared->Counts.ExchangeBytesReceived.add(ask.totalSize().wordCount *
                                               sizeof(capnp::word));
  auto in = readSwap(ask);
  if (!in)
    return;
  ExchangeUpdates news;
  const ExchangeMessage out =
      handleExchangeRequest(State, *in, monotonicNow(), news);
  writeSwap(out, selfRecord(State.Members).Info, to);
  Opt.Shared->Counts.ExchangeBytesSent.add(to.totalSize().wordCount *
                                           sizeof(capnp::word));
  take(news);
}

void hold(Board &shared, Exchange &ex, const Bundle &next) {
  if (activateIfNewer(shared.ActiveBundle, next) == BundleOrder::Newer)
    activateBundle(ex, next);
}

void Core::take(const ExchangeUpdates &news) {
  if (news.NewBundle) {
    // A text that doesn't match its digest, or has faults, is left alone; the
    // table still has the right one.
    auto next = parseBundle(news.NewBundle->Version, news.NewBundle->Text);
    if (next && next->Digest == news.NewBundle->Digest)
      hold(*Opt.Shared, State, *next);
  }
  if (news.Members || news.Endpoints || news.Moves)
    publish();
}

void Core::publish() {
  Board &b = *Opt.Shared;
  b.Members.publish(publishMembers(State.Members, monotonicNow()));
  b.Endpoints.publish(publishEndpoints(State, b.Endpoints.copy()));
  b.Moves.publish(publishMoves(State));
}

} // namespace

struct ExchangeThread::State {
  ExchangeOptions Opt;
  TaskBox Box;
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
  std::promise<std::string> listening; // The error, or nothing.
  auto started = listening.get_future();
  st->Thread = std::thread([s = st.get(), &listening] {
    Core core(s->Opt, s->Box);
    try {
      core.listen();
    } catch (const kj::Exception &ex) {
      listening.set_value(ex.getDescription().cStr());
      return;
    }
    listening.set_value({});
    core.serve();
  });
  const std::string error = started.get();
  if (error.empty())
    return ExchangeThread(std::move(st));
  st->Thread.join();
  return fail({ErrorCode::Unavailable, Step::Connect, st->Opt.Address, error});
}

void ExchangeThread::post(Task fn) {
  St->Box.post(std::make_unique<Task>(std::move(fn)));
}

void ExchangeThread::offerBundle(Bundle next) {
  post([&shared = *St->Opt.Shared, next = std::move(next)](Exchange &ex) {
    hold(shared, ex, next);
  });
}

} // namespace zinniagauge
