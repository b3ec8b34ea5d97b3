// zinnia-agent: the control path of a VM. It reads the bundle from the
// platform, updates the board, sends it to the entry, and serves the operator
// API.

#include "zinniagauge/adapt/bundle_routes.h"
#include "zinniagauge/adapt/bundle_store.h"
#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/adapt/endpoint_routes.h"
#include "zinniagauge/adapt/entry_connection.h"
#include "zinniagauge/adapt/exchange_thread.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/log.h"
#include "zinniagauge/adapt/metrics.h"
#include "zinniagauge/adapt/move_control.h"
#include "zinniagauge/adapt/move_routes.h"
#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/adapt/status_route.h"
#include "zinniagauge/adapt/stop_signal.h"
#include "zinniagauge/adapt/work_queue.h"
#include "zinniagauge/decide/bundle_propagation.h"
#include "zinniagauge/time/timer_service.h"

#include <atomic>
#include <cstdio>
#include <optional>
#include <random>
#include <thread>

using namespace zinniagauge;

namespace {

/// How long a stopping agent keeps running so that its state "leaving" reaches
/// the other agents.
constexpr Duration LeaveNoticePeriod = std::chrono::seconds(1);

/// The result of the last reads of the table's head. Written by the platform
/// queue; other threads read it.
struct TableStatus {
  std::atomic<bool> Reachable{false}; // Whether the last read succeeded.
  std::atomic<bool> HasHead{false};   // Whether any read has succeeded.
  std::atomic<std::uint64_t> HeadVersion{0};
};

/// The parts of the process, in the order in which they start. Members are
/// destroyed in reverse order.
struct Agent {
  AgentSettings Settings;
  Platform PlatformService;
  Board SharedBoard;
  Cell<EntryReport> LastEntryReport;
  TableStatus Table;
  std::atomic<bool> Recovered{false};
  std::atomic<bool> Stopping{false};
  std::optional<MoveControl> Moves; // Destroyed after Exchanger, whose tasks
                                    // use it.
  std::optional<ExchangeThread> Exchanger;
  WorkQueue PlatformCalls; // Runs the blocking calls to the platform.
  std::optional<EntryConnection> ConnectionToEntry;
  std::optional<OperatorApi> Api;
  TimerService Timers;
  std::optional<MetricsServer> Metrics;
};

std::uint64_t activeVersion(const Board &b) noexcept {
  const ReadGuard guard;
  return b.ActiveBundle.read(guard).Version;
}

Result<void> readTable(Agent &a) {
  BOOST_LEAF_AUTO(head, readHead(a.PlatformService));
  a.Table.HeadVersion = head.Head.Version;
  a.Table.HasHead = true;
  if (head.Head.Version <= activeVersion(a.SharedBoard))
    return {};
  BOOST_LEAF_AUTO(next, fetchBundle(a.PlatformService, head.Head));
  a.Exchanger->offerBundle(std::move(next));
  return {};
}

void pollTable(Agent &a) {
  const MemberList list = a.SharedBoard.Members.copy();
  if (a.Recovered &&
      !shouldReadTable(list.Members, VmId::of(a.Settings.VmName)))
    return;
  const bool reached =
      handleResult([&] { return readTable(a); }, [] { return true; },
                   [](const Error &) { return false; });
  if (a.Table.Reachable.exchange(reached) != reached)
    logChange({reached ? LogLevel::Info : LogLevel::Warn, Step::Platform,
               a.Settings.PlatformUrl,
               reached ? "the platform is reachable"
                       : "the platform is unreachable"});
}

/// Reads the platform's VM list and applies it to the exchange's members.
Result<void> readVmList(Agent &a) {
  BOOST_LEAF_AUTO(list, a.PlatformService.ListVms());
  a.Exchanger->post([list](Exchange &ex) {
    std::vector<ListedVm> vms;
    vms.reserve(list.size());
    for (const VmEntry &it : list)
      vms.push_back({VmId::of(it.Name), it.Leaving});
    applyVmList(ex.Members, vms);
  });
  return {};
}

void pollVmList(Agent &a) {
  static_cast<void>(handleResult([&] { return readVmList(a); },
                                 [] { return true; },
                                 [](const Error &) { return false; }));
}

/// Records when this VM has recovered the bundle and may serve. Called on the
/// exchange's thread.
void updateRecovery(Agent &a, const Exchange &ex, Time now) {
  if (a.Recovered)
    return;
  const auto head = a.Table.HasHead ? std::optional(a.Table.HeadVersion.load())
                                    : std::nullopt;
  if (!isRecovered(recoveryView(ex, head, now)))
    return;
  a.Recovered = true;
  logChange({LogLevel::Info, Step::Bundle, {}, "recovered the bundle"});
}

std::vector<OperatorRoute> routes(Agent &a) {
  std::vector<OperatorRoute> all =
      bundleRoutes({&a.PlatformService, [&a](Bundle next) {
                      a.Exchanger->offerBundle(std::move(next));
                    }});
  all.push_back(statusRoute({&a.Settings, &a.SharedBoard, &a.LastEntryReport,
                             [&a] { return a.Table.Reachable.load(); }}));
  all.push_back(drainRoute(a.SharedBoard, *a.Exchanger));
  all.push_back(rollBackRoute(a.SharedBoard, *a.Exchanger));
  return all;
}

ExchangeOptions exchangeOptions(Agent &a) {
  ExchangeOptions opt;
  opt.SharedBoard = &a.SharedBoard;
  opt.Self.Name = a.Settings.VmName;
  opt.Self.Id = VmId::of(a.Settings.VmName);
  opt.Self.ZoneName = a.Settings.ZoneName;
  opt.Self.Zone = ZoneId::of(a.Settings.ZoneName);
  opt.Self.EntryAddress = a.Settings.EntryRpcAddress;
  opt.Self.MetricsAddress = a.Settings.EntryMetricsAddress;
  opt.Self.AgentAddress = a.Settings.RpcAddress;
  opt.Self.Incarnation =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  opt.Address = a.Settings.RpcAddress;
  opt.SeedAddresses = a.Settings.PeerAgents;
  std::random_device dev;
  opt.RandomSeed = dev();
  opt.OnStep = [&a](const Exchange &ex, Time now) {
    updateRecovery(a, ex, now);
  };
  return opt;
}

MetricsOptions metricsOptions(Agent &a) {
  MetricsOptions opt;
  opt.Address = a.Settings.MetricsAddress;
  opt.VmName = a.Settings.VmName;
  opt.ZoneName = a.Settings.ZoneName;
  opt.Program = "agent";
  opt.SharedBoard = &a.SharedBoard;
  opt.Timers = &a.Timers;
  opt.IsStopping = [&a] { return a.Stopping || !a.Recovered; };
  return opt;
}

void startPolls(Agent &a) {
  a.PlatformCalls.post([&a] { pollTable(a); });
  a.PlatformCalls.post([&a] { pollVmList(a); });
  a.Timers.every(a.Settings.PollPeriod, [&a](Time) {
    a.PlatformCalls.postIfIdle([&a] { pollTable(a); });
  });
  a.Timers.every(a.Settings.MovePeriod, [&a](Time) { a.Moves->step(); });
  a.Timers.every(a.Settings.EndpointPeriod,
                 [&a](Time) { a.Moves->pollEndpoints(); });
  a.Timers.every(a.Settings.VmListPeriod,
                 [&a](Time) { a.PlatformCalls.post([&a] { pollVmList(a); }); });
}

MoveControlOptions controlOptions(Agent &a) {
  MoveControlOptions opt;
  opt.Settings = &a.Settings;
  opt.Store = &a.PlatformService;
  opt.Endpoints = httpEndpointClient(a.Settings.EndpointTimeout);
  opt.SharedBoard = &a.SharedBoard;
  opt.Report = &a.LastEntryReport;
  opt.Incarnation =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  opt.ExchangeLoop = &*a.Exchanger;
  return opt;
}

Result<void> startParts(Agent &a) {
  a.PlatformService =
      makeHttpPlatform(a.Settings.PlatformUrl, a.Settings.PlatformTimeout);
  BOOST_LEAF_AUTO(exchanger, ExchangeThread::start(exchangeOptions(a)));
  a.Exchanger.emplace(std::move(exchanger));
  a.Moves.emplace(controlOptions(a));
  a.ConnectionToEntry.emplace(EntryConnectionOptions{
      &a.SharedBoard, &a.LastEntryReport, a.Settings.EntryRpcAddress,
      [&a] { return a.Recovered.load(); }});
  BOOST_LEAF_AUTO(api,
                  OperatorApi::start({a.Settings.OperatorAddress,
                                      a.Settings.OperatorKeys, routes(a)}));
  a.Api.emplace(std::move(api));
  BOOST_LEAF_AUTO(metrics, serveMetrics(metricsOptions(a)));
  a.Metrics.emplace(std::move(metrics));
  startPolls(a);
  return {};
}

/// Stops in order: the exchange sends the state "leaving" to the other VMs
/// before this VM stops.
void stopParts(Agent &a) {
  a.Stopping = true;
  a.Exchanger->post([](Exchange &ex) { recordLeaving(ex); });
  std::this_thread::sleep_for(LeaveNoticePeriod);
  a.Moves->stop();
}

ExitCode serve(AgentSettings settings) {
  blockStopSignals();
  Agent a;
  a.Settings = std::move(settings);
  return handleResult(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(
            startLog(a.Settings.Log, a.Settings.VmName, a.Settings.ZoneName));
        return startParts(a);
      },
      [&] {
        logChange({LogLevel::Info, Step::Settings, {}, "serving"});
        waitForStopSignal();
        logChange({LogLevel::Info, Step::Settings, {}, "stopping"});
        stopParts(a);
        logChange({LogLevel::Info, Step::Settings, {}, "stopped"});
        stopLog();
        return ExitCode::Ok;
      },
      [](const Error &err) {
        std::fprintf(stderr, "zinnia-agent: %s\n", describe(err).c_str());
        return ExitCode::Failed;
      });
}

ExitCode run(const std::string &path, bool check) {
  std::vector<SettingsFault> faults;
  return handleResult([&] { return loadAgentSettings(path, faults); },
                      [&](AgentSettings s) {
                        return check ? ExitCode::Ok : serve(std::move(s));
                      },
                      [&](const Error &) {
                        std::fputs(describe(path, faults).c_str(), stderr);
                        return ExitCode::Usage;
                      });
}

} // namespace

int main(int argc, char **argv) {
  bool check = false;
  const CommandLine line{
      "zinnia-agent",
      "SETTINGS.json",
      "Runs the control path of a VM: reads bundles from the platform, pushes\n"
      "them to the VM's entry and serves operators.",
      {{"check-settings", "", "Check the settings and end", &check}},
      {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage}};
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  if (cmd.Arguments.size() != 1) {
    std::fputs("zinnia-agent: give one settings file; see --help\n", stderr);
    return toInt(ExitCode::Usage);
  }
  initHttpClient();
  return toInt(run(cmd.Arguments.front(), check));
}
