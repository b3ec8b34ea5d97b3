// zinnia-entry: the request path of a VM. It receives callers' requests,
// requests grants from schedulers, and dispatches to endpoints.

#include "zinniagauge/adapt/caller_server.h"
#include "zinniagauge/adapt/claim_thread.h"
#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/log.h"
#include "zinniagauge/adapt/metrics.h"
#include "zinniagauge/adapt/rpc_thread.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/adapt/stop_signal.h"
#include "zinniagauge/adapt/worker.h"
#include "zinniagauge/decide/version_stats_sum.h"
#include "zinniagauge/time/timer_service.h"

#include <cstdio>
#include <random>
#include <thread>

using namespace zinniagauge;

namespace {

/// Interval at which schedulers run even if no message arrives, since grants
/// expire and tickets miss their deadlines.
constexpr Duration SchedulerPeriod = std::chrono::milliseconds(20);

/// How long a stopping entry reports not ready before it rejects requests. The
/// load balancer needs that time to notice.
constexpr Duration NotReadyPeriod = std::chrono::seconds(1);

/// The parts of the process, in the order in which they start. Members are
/// destroyed in reverse order: the HTTP server before the threads that it uses,
/// and the board after all of them.
struct Entry {
  EntrySettings Settings;
  Board SharedBoard;
  ShareGates Shares;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> RejectsRequests{false};
  std::uint64_t Incarnation = 0;
  std::uint64_t RequestIdHigh = 0;
  std::vector<WorkerThread> Workers;
  std::optional<ClaimThread> Claims;
  std::optional<RpcThread> Rpc;
  std::optional<HttpServer> Http;
  TimerService Timers;
  std::optional<MetricsServer> Metrics;
};

std::uint64_t randomUint64() {
  std::random_device dev;
  return (std::uint64_t{dev()} << 32U) | dev();
}

std::uint64_t countInProgress(const Entry &e) {
  std::uint64_t sum = 0;
  for (const WorkerThread &w : e.Workers)
    sum += w.requestsInProgress();
  return sum;
}

VersionStatsList collectVersionStats(const Entry &e) {
  VersionStatsList sum;
  for (const WorkerThread &w : e.Workers)
    addVersionStats(sum, w.versionStats().Rows);
  return sum;
}

WorkerThread &workerOf(Entry &e, RequestId id) {
  return e.Workers[id.Low % e.Workers.size()];
}

WorkerOptions workerOptions(Entry &e) {
  WorkerOptions opt;
  opt.SharedBoard = &e.SharedBoard;
  opt.Shares = &e.Shares;
  opt.Self = VmId::of(e.Settings.VmName);
  opt.Zone = ZoneId::of(e.Settings.ZoneName);
  opt.Limits.FirstByteTimeout = e.Settings.FirstByteTimeout;
  opt.Limits.IdleTimeout = e.Settings.IdleTimeout;
  opt.ConnectTimeout = e.Settings.ConnectTimeout;
  opt.StopTimeout = e.Settings.StopTimeout;
  opt.RandomSeed = randomUint64();
  opt.PostToRpc = [&e](RpcMessage msg) { e.Rpc->post(std::move(msg)); };
  opt.PostToClaims = [&e](ClaimMessage msg) { e.Claims->post(std::move(msg)); };
  return opt;
}

ClaimOptions claimOptions(Entry &e) {
  const EntrySettings &set = e.Settings;
  ClaimOptions opt;
  opt.VmName = set.VmName;
  opt.ZoneName = set.ZoneName;
  opt.Incarnation = e.Incarnation;
  opt.Limits.Timeout = set.PlatformTimeout;
  // Number of calls that fit in a claim's timeout, so that one call may be lost
  // and its row still be read back.
  constexpr int CallsPerTimeout = 4;
  if (!set.PlatformUrl.empty())
    opt.Table = makeHttpPlatform(set.PlatformUrl,
                                 set.PlatformTimeout / CallsPerTimeout);
  opt.SendToWorker = [&e](RequestId id, WorkerMessage msg) {
    workerOf(e, id).post(std::move(msg));
  };
  return opt;
}

RpcOptions rpcOptions(Entry &e) {
  RpcOptions opt;
  opt.SharedBoard = &e.SharedBoard;
  opt.Shares = &e.Shares;
  opt.VmName = e.Settings.VmName;
  opt.ZoneName = e.Settings.ZoneName;
  opt.Address = e.Settings.RpcAddress;
  opt.Incarnation = e.Incarnation;
  opt.PostToWorker = [&e](RequestId id, WorkerMessage msg) {
    workerOf(e, id).post(std::move(msg));
  };
  opt.CollectVersionStats = [&e] { return collectVersionStats(e); };
  opt.CountInProgress = [&e] { return countInProgress(e); };
  opt.IsStopping = [&e] { return e.Stopping.load(); };
  return opt;
}

CallerServerOptions callerServerOptions(Entry &e) {
  const IpPort at = splitAddress(e.Settings.HttpAddress);
  CallerServerOptions opt;
  opt.SharedBoard = &e.SharedBoard;
  opt.Http.Host = at.Host;
  opt.Http.Port = at.Port;
  opt.Http.Threads = static_cast<int>(e.Settings.IoThreads);
  opt.Http.MaxBodyBytes = e.Settings.MaxBodyBytes;
  opt.Http.HeaderTimeout = e.Settings.HeaderTimeout;
  opt.Http.BodyTimeout = e.Settings.BodyTimeout;
  opt.Http.KeepAliveTimeout = e.Settings.KeepAliveTimeout;
  opt.RequestIdHigh = e.RequestIdHigh;
  opt.SendToWorker = [&e](AdmittedRequest msg) {
    WorkerThread &to = workerOf(e, msg.Id);
    to.post(std::move(msg));
  };
  opt.SendToClaims = [&e](ClaimMessage msg) { e.Claims->post(std::move(msg)); };
  opt.OnDisconnect = [&e](std::uint64_t conn) {
    for (WorkerThread &w : e.Workers)
      w.post(CallerDisconnected{conn});
  };
  opt.IsStopping = [&e] { return e.RejectsRequests.load(); };
  return opt;
}

MetricsOptions metricsOptions(Entry &e) {
  MetricsOptions opt;
  opt.Address = e.Settings.MetricsAddress;
  opt.VmName = e.Settings.VmName;
  opt.ZoneName = e.Settings.ZoneName;
  opt.Program = "entry";
  opt.SharedBoard = &e.SharedBoard;
  opt.Timers = &e.Timers;
  opt.IsStopping = [&e] { return e.Stopping.load(); };
  return opt;
}

Result<void> startParts(Entry &e) {
  e.Claims.emplace(ClaimThread::start(claimOptions(e)));
  for (std::uint32_t n = 0; n < e.Settings.WorkerThreads; ++n)
    e.Workers.push_back(WorkerThread::start(workerOptions(e)));
  BOOST_LEAF_AUTO(rpc, RpcThread::start(rpcOptions(e)));
  e.Rpc.emplace(std::move(rpc));
  e.Timers.every(SchedulerPeriod, [&e](Time) { e.Rpc->tick(); });
  BOOST_LEAF_AUTO(http, startCallerServer(callerServerOptions(e)));
  e.Http.emplace(std::move(http));
  BOOST_LEAF_AUTO(metrics, serveMetrics(metricsOptions(e)));
  e.Metrics.emplace(std::move(metrics));
  return {};
}

/// Stops in order: reports not ready, then rejects new requests, then waits for
/// the requests in progress.
void stopParts(Entry &e) {
  e.Stopping = true;
  std::this_thread::sleep_for(NotReadyPeriod);
  e.RejectsRequests = true;
  for (WorkerThread &w : e.Workers)
    w.finish();
}

ExitCode serve(EntrySettings settings) {
  blockStopSignals();
  Entry e;
  e.Settings = std::move(settings);
  e.Incarnation =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  e.RequestIdHigh = randomUint64();
  return handleResult(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(
            startLog(e.Settings.Log, e.Settings.VmName, e.Settings.ZoneName));
        return startParts(e);
      },
      [&] {
        logChange({LogLevel::Info, Step::Settings, {}, "serving"});
        waitForStopSignal();
        logChange({LogLevel::Info, Step::Settings, {}, "stopping"});
        stopParts(e);
        logChange({LogLevel::Info, Step::Settings, {}, "stopped"});
        stopLog();
        return ExitCode::Ok;
      },
      [](const Error &err) {
        std::fprintf(stderr, "zinnia-entry: %s\n", describe(err).c_str());
        return ExitCode::Failed;
      });
}

CommandLine commandLine(bool &checkonly) {
  CommandLine line;
  line.Program = "zinnia-entry";
  line.Arguments = "SETTINGS.json";
  line.Summary = "Takes callers' requests, asks schedulers for grants, and\n"
                 "dispatches to endpoints.";
  line.Options = {{"check-settings", "", "Check the settings and end",
                   OptionTarget(&checkonly)}};
  line.ExitCodes = {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage};
  return line;
}

} // namespace

int main(int argc, char **argv) {
  bool checkonly = false;
  const CommandLine line = commandLine(checkonly);
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  if (cmd.Arguments.size() != 1) {
    std::fputs(helpText(line).c_str(), stderr);
    return toInt(ExitCode::Usage);
  }
  initHttpClient();
  const std::string &file = cmd.Arguments[0];
  std::vector<SettingsFault> faults;
  const ExitCode end =
      handleResult([&] { return loadEntrySettings(file, faults); },
                   [&](EntrySettings s) {
                     return checkonly ? ExitCode::Ok : serve(std::move(s));
                   },
                   [&](const Error &) {
                     std::fputs(describe(file, faults).c_str(), stderr);
                     return ExitCode::Usage;
                   });
  return toInt(end);
}
