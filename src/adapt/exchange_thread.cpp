#include "zinniagauge/adapt/exchange_thread.h"

#include "zinniagauge/adapt/exchange_codec.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace zinniagauge {

namespace {

constexpr auto StepPeriod = ExchangeStepPeriod.count() * kj::NANOSECONDS;
constexpr auto CallTimeout = SwapTimeout.count() * kj::NANOSECONDS;

template <typename Message> std::uint64_t bytesOf(const Message &msg) {
  return msg.totalSize().wordCount * sizeof(capnp::word);
}

/// A connection to another agent. Each swap is its heartbeat.
struct Link {
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  Time Used;
  bool Busy = false;
  bool Broken = false;
};

/// Lives on the thread.
class Core final : public kj::TaskSet::ErrorHandler {
public:
  Core(kj::AsyncIoContext &io, ExchangeOptions &opt)
      : Io(io), Opt(opt),
        Held(startExchange(opt.Self, opt.Seeds, opt.Random, monotonicNow())),
        Tasks(*this) {}

  Exchange &held() noexcept { return Held; }
  Swap onSwap(wire::ExchangeSwap::Reader ask);
  void stepAll();
  void taskFailed(kj::Exception &&) override {}

  ExchangeOptions &options() noexcept { return Opt; }

private:
  void note(ExchangeNews &news);
  void takeBundle();
  void publish(Time now);
  void swapWith(const SwapTarget &t);
  kj::Promise<void> connect(Link &link, const std::string &address);
  kj::Promise<void> ask(Link &link, ZoneId to);
  kj::Promise<void> push(Link &link, const Swap &s);

  kj::AsyncIoContext &Io;
  ExchangeOptions &Opt;
  Exchange Held;
  std::map<std::string, Link> Links;
  kj::TaskSet Tasks;
};

Swap Core::onSwap(wire::ExchangeSwap::Reader from) {
  Opt.Shared->Counts.ExchangeBytesIn.add(bytesOf(from));
  ExchangeNews news;
  auto got = readSwap(from);
  KJ_REQUIRE(static_cast<bool>(got), "malformed swap");
  Swap answer = answerSwap(Held, got.value(), monotonicNow(), news);
  note(news);
  return answer;
}

void Core::note(ExchangeNews &news) {
  if (news.Bundle)
    Opt.OnBundle(std::move(*news.Bundle));
}

void Core::takeBundle() {
  const ReadGuard guard;
  const Bundle &b = Opt.Shared->InForce.read(guard);
  if (b.Version > Held.InForce.Version)
    holdBundle(Held, b);
}

void Core::publish(Time now) {
  Board &b = *Opt.Shared;
  b.Members.publish(publishMembers(Held.Members, now));
  b.Endpoints.publish(publishEndpoints(Held, b.Endpoints.copy()));
  b.Moves.publish(publishMoves(Held));
}

void Core::stepAll() {
  const Time now = monotonicNow();
  takeBundle();
  Opt.OnStep(Held, now);
  std::vector<SwapTarget> targets;
  step(Held, now, targets);
  publish(now);
  std::erase_if(Links, [&](const auto &it) {
    const Link &l = it.second;
    return !l.Busy && (l.Broken || now - l.Used > LinkIdleTime);
  });
  for (const SwapTarget &t : targets)
    swapWith(t);
}

kj::Promise<void> Core::connect(Link &link, const std::string &address) {
  if (link.Stream.get() != nullptr)
    return kj::READY_NOW;
  return Io.provider->getNetwork()
      .parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress> addr) {
        auto stream = addr->connect();
        return stream.attach(kj::mv(addr));
      })
      .then([&link](kj::Own<kj::AsyncIoStream> stream) {
        link.Stream = kj::mv(stream);
        link.Rpc = kj::heap<capnp::TwoPartyClient>(*link.Stream);
      });
}

kj::Promise<void> Core::push(Link &link, const Swap &s) {
  auto req = link.Rpc->bootstrap().castAs<wire::Exchange>().swapRequest();
  writeSwap(s, Opt.Self, req.initAsk());
  Opt.Shared->Counts.ExchangeBytesOut.add(bytesOf(req.getAsk().asReader()));
  return req.send().ignoreResult();
}

kj::Promise<void> Core::ask(Link &link, ZoneId to) {
  auto req = link.Rpc->bootstrap().castAs<wire::Exchange>().swapRequest();
  writeSwap(openSwap(Held, to, monotonicNow()), Opt.Self, req.initAsk());
  Opt.Shared->Counts.ExchangeBytesOut.add(bytesOf(req.getAsk().asReader()));
  return req.send().then([this, &link](auto &&res) -> kj::Promise<void> {
    Opt.Shared->Counts.ExchangeBytesIn.add(bytesOf(res.getAnswer()));
    auto got = readSwap(res.getAnswer());
    KJ_REQUIRE(static_cast<bool>(got), "malformed swap");
    ExchangeNews news;
    const auto more = closeSwap(Held, got.value(), monotonicNow(), news);
    note(news);
    if (!more)
      return kj::READY_NOW;
    return push(link, *more);
  });
}

void Core::swapWith(const SwapTarget &t) {
  Link &link = Links[t.Address];
  if (link.Busy || link.Broken)
    return;
  link.Busy = true;
  link.Used = monotonicNow();
  auto work = connect(link, t.Address).then([this, &link, zone = t.Zone] {
    return ask(link, zone);
  });
  Tasks.add(Io.provider->getTimer()
                .timeoutAfter(CallTimeout, kj::mv(work))
                .then([&link] { link.Busy = false; },
                      [&link](kj::Exception &&) {
                        link.Busy = false;
                        link.Broken = true;
                      }));
}

/// Serves swaps of other agents.
class SwapServer final : public wire::Exchange::Server {
public:
  explicit SwapServer(Core &core) : Core_(core) {}

  kj::Promise<void> swap(SwapContext ctx) override {
    const Swap answer = Core_.onSwap(ctx.getParams().getAsk());
    auto out = ctx.getResults().initAnswer();
    writeSwap(answer, Core_.options().Self, out);
    Core_.options().Shared->Counts.ExchangeBytesOut.add(
        bytesOf(out.asReader()));
    return kj::READY_NOW;
  }

private:
  Core &Core_;
};

} // namespace

struct ExchangeThread::State {
  explicit State(ExchangeOptions o) : Opt(std::move(o)) {}

  void run();
  void serve(kj::AsyncIoContext &io);
  void runPosted(Exchange &ex);

  ExchangeOptions Opt;
  std::atomic<bool> Stop{false};
  std::promise<bool> Listening;
  bool Started = false; // Used on the thread only.
  std::string Why;      // Set before Listening is false.
  std::mutex Mutex;
  std::vector<std::function<void(Exchange &)>> Posted;
  std::thread Thread;
};

void ExchangeThread::State::runPosted(Exchange &ex) {
  std::vector<std::function<void(Exchange &)>> now;
  {
    const std::lock_guard lk(Mutex);
    now.swap(Posted);
  }
  for (const auto &fn : now)
    fn(ex);
}

void ExchangeThread::State::serve(kj::AsyncIoContext &io) {
  Core core(io, Opt);
  capnp::TwoPartyServer server(kj::heap<SwapServer>(core));
  auto listener = io.provider->getNetwork()
                      .parseAddress(Opt.Self.AgentAddress)
                      .wait(io.waitScope)
                      ->listen();
  Started = true;
  Listening.set_value(true);
  auto served = server.listen(*listener).eagerlyEvaluate(nullptr);
  while (!Stop) {
    io.provider->getTimer().afterDelay(StepPeriod).wait(io.waitScope);
    runPosted(core.held());
    core.stepAll();
  }
}

void ExchangeThread::State::run() {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  try {
    serve(io);
  } catch (const kj::Exception &ex) {
    Why = ex.getDescription().cStr();
    if (!Started)
      Listening.set_value(false);
  }
}

ExchangeThread::ExchangeThread(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
ExchangeThread::ExchangeThread(ExchangeThread &&) noexcept = default;
ExchangeThread &ExchangeThread::operator=(ExchangeThread &&) noexcept = default;

ExchangeThread::~ExchangeThread() {
  if (!St)
    return;
  St->Stop = true;
  St->Thread.join();
}

Result<ExchangeThread> ExchangeThread::start(ExchangeOptions opt) {
  auto st = std::make_unique<State>(std::move(opt));
  st->Thread = std::thread([s = st.get()] { s->run(); });
  if (st->Listening.get_future().get())
    return ExchangeThread(std::move(st));
  st->Thread.join();
  return fail({ErrorCode::Unavailable, Step::Exchange,
               st->Opt.Self.AgentAddress, "can't listen: " + st->Why});
}

void ExchangeThread::post(std::function<void(Exchange &)> fn) {
  const std::lock_guard lk(St->Mutex);
  St->Posted.push_back(std::move(fn));
}

} // namespace zinniagauge
