// zinnia-entry: the request path. Takes callers' requests, asks schedulers for
// grants, and dispatches to endpoints.

#include "zinniagauge/adapt/front.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/rpc_thread.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/adapt/worker.h"
#include "zinniagauge/decide/evidence_sum.h"
#include "zinniagauge/time/timer_service.h"

#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

using namespace zinniagauge;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitSettings = 2;
constexpr int ExitUnavailable = 3;

/// How often schedulers are stepped though nothing arrives: grants lapse and
/// tickets grow late.
constexpr Duration SchedulerPeriod = std::chrono::milliseconds(20);

/// How long a stopping entry stays up, not ready, before it refuses requests:
/// the balancer needs that time to notice.
constexpr Duration StopNotice = std::chrono::seconds(1);

/// The parts of the process, in the order in which they start. They end in
/// reverse: first the front end, last the board.
struct Entry {
  EntrySettings Settings;
  Board Shared;
  ShareGates Shares;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Refusing{false};
  std::uint64_t Incarnation = 0;
  std::uint64_t IdHigh = 0;
  std::vector<WorkerThread> Workers;
  std::optional<RpcThread> Rpc;
  std::optional<HttpServer> Http;
  TimerService Timers;
};

std::uint64_t randomWord() {
  std::random_device dev;
  return (std::uint64_t{dev()} << 32U) | dev();
}

std::uint64_t inProgress(const Entry &e) {
  std::uint64_t sum = 0;
  for (const WorkerThread &w : e.Workers)
    sum += w.inProgress();
  return sum;
}

EvidenceList collectEvidence(const Entry &e) {
  EvidenceList sum;
  for (const WorkerThread &w : e.Workers)
    addEvidence(sum, w.evidence().Rows);
  return sum;
}

WorkerThread &workerOf(Entry &e, RequestId id) {
  return e.Workers[id.Low % e.Workers.size()];
}

WorkerOptions workerOptions(Entry &e) {
  WorkerOptions opt;
  opt.Shared = &e.Shared;
  opt.Shares = &e.Shares;
  opt.Self = VmId::of(e.Settings.VmName);
  opt.Zone = ZoneId::of(e.Settings.ZoneName);
  opt.Limits.FirstByte = e.Settings.FirstByteTimeout;
  opt.Limits.Idle = e.Settings.IdleTimeout;
  opt.ConnectTimeout = e.Settings.ConnectTimeout;
  opt.StopTimeout = e.Settings.StopTimeout;
  opt.Seed = randomWord();
  opt.ToRpc = [&e](RpcMessage msg) { e.Rpc->post(std::move(msg)); };
  return opt;
}

RpcOptions rpcOptions(Entry &e) {
  RpcOptions opt;
  opt.Shared = &e.Shared;
  opt.Shares = &e.Shares;
  opt.VmName = e.Settings.VmName;
  opt.ZoneName = e.Settings.ZoneName;
  opt.Address = e.Settings.RpcAddress;
  opt.Incarnation = e.Incarnation;
  opt.ToWorker = [&e](RequestId id, WorkerMessage msg) {
    workerOf(e, id).post(std::move(msg));
  };
  opt.CollectEvidence = [&e] { return collectEvidence(e); };
  opt.InProgress = [&e] { return inProgress(e); };
  opt.Stopping = [&e] { return e.Stopping.load(); };
  return opt;
}

FrontOptions frontOptions(Entry &e) {
  const IpPort at = splitAddress(e.Settings.HttpAddress);
  FrontOptions opt;
  opt.Shared = &e.Shared;
  opt.Http.Host = at.Host;
  opt.Http.Port = at.Port;
  opt.Http.Threads = static_cast<int>(e.Settings.IoThreads);
  opt.Http.MaxBodyBytes = e.Settings.MaxBodyBytes;
  opt.Http.HeaderTimeout = e.Settings.HeaderTimeout;
  opt.Http.BodyTimeout = e.Settings.BodyTimeout;
  opt.Http.KeepAlive = e.Settings.KeepAliveTimeout;
  opt.IdHigh = e.IdHigh;
  opt.ToWorker = [&e](Arrival msg) {
    workerOf(e, msg.Id).post(std::move(msg));
  };
  opt.OnGone = [&e](std::uint64_t conn) {
    for (WorkerThread &w : e.Workers)
      w.post(CallerGone{conn});
  };
  opt.Stopping = [&e] { return e.Refusing.load(); };
  return opt;
}

Result<void> startParts(Entry &e) {
  for (std::uint32_t n = 0; n < e.Settings.WorkerThreads; ++n)
    e.Workers.push_back(WorkerThread::start(workerOptions(e)));
  BOOST_LEAF_AUTO(rpc, RpcThread::start(rpcOptions(e)));
  e.Rpc.emplace(std::move(rpc));
  e.Timers.every(SchedulerPeriod, [&e](Time) { e.Rpc->post(SchedulerTick{}); });
  BOOST_LEAF_AUTO(http, startFront(frontOptions(e)));
  e.Http.emplace(std::move(http));
  return {};
}

/// Stops by plan: not ready, then no new requests, then the running ones end.
void stopParts(Entry &e) {
  e.Stopping = true;
  std::this_thread::sleep_for(StopNotice);
  e.Refusing = true;
  for (WorkerThread &w : e.Workers)
    w.finish();
}

sigset_t stopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

int serve(EntrySettings settings) {
  const sigset_t stop = stopSignals();
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Entry e;
  e.Settings = std::move(settings);
  e.Incarnation =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  e.IdHigh = randomWord();
  return handle([&] { return startParts(e); },
                [&] {
                  int sig = 0;
                  sigwait(&stop, &sig);
                  stopParts(e);
                  return ExitOk;
                },
                [](const Error &err) {
                  std::fprintf(stderr, "zinnia-entry: %s\n",
                               describe(err).c_str());
                  return ExitUnavailable;
                });
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::fputs("usage: zinnia-entry SETTINGS.json\n", stderr);
    return ExitSettings;
  }
  initHttpClient();
  std::vector<SettingsFault> faults;
  return handle([&] { return loadEntrySettings(argv[1], faults); },
                [](EntrySettings s) { return serve(std::move(s)); },
                [&](const Error &) {
                  std::fputs(describe(argv[1], faults).c_str(), stderr);
                  return ExitSettings;
                });
}
