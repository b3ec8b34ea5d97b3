// zinnia-agent: the control path of a VM. Reads the bundle from the platform,
// keeps the board, pushes it to the entry, and serves operators.

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/bundle_routes.h"
#include "zinniagauge/adapt/bundle_store.h"
#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/adapt/control.h"
#include "zinniagauge/adapt/entry_link.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/adapt/status_route.h"
#include "zinniagauge/adapt/work_queue.h"
#include "zinniagauge/decide/bundle_spread.h"
#include "zinniagauge/time/timer_service.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <optional>
#include <random>
#include <thread>

using namespace zinniagauge;

namespace {

/// How long a stopping agent goes on, so that other VMs hear of it.
constexpr Duration LeaveNotice = std::chrono::seconds(1);

/// The parts of the process, in the order in which they start; they end in
/// reverse.
struct Agent {
  AgentSettings Settings;
  Platform Store;
  Board Shared;
  Cell<EntryReport> Report;
  std::atomic<bool> TableReached{false};
  WorkQueue Bundles; // The one writer of the board's bundle.
  WorkQueue Poll;    // Calls the platform.
  std::optional<EntryLink> Link;
  std::optional<Control> Peers; // Exchange, endpoints and version moves.
  std::optional<OperatorApi> Operators;
  TimerService Timers;
};

void offer(Agent &a, Bundle next) {
  a.Bundles.post([&a, next = std::move(next)] {
    static_cast<void>(putInForce(a.Shared.InForce, next));
  });
}

/// A peer told of a newer bundle; it is checked like one from the table.
void offerText(Agent &a, const BundleText &text) {
  a.Bundles.post([&a, text] {
    handle([&] { return parseBundle(text.Version, text.Text); },
           [&](Bundle next) {
             return next.Digest == text.Digest &&
                    putInForce(a.Shared.InForce, std::move(next)) ==
                        BundleOrder::Newer;
           },
           [](const Error &) { return false; });
  });
}

std::uint64_t versionInForce(const Agent &a) {
  const ReadGuard guard;
  return a.Shared.InForce.read(guard).Version;
}

Result<void> readTable(Agent &a) {
  BOOST_LEAF_AUTO(head, readHead(a.Store));
  if (head.Head.Version <= versionInForce(a))
    return {};
  BOOST_LEAF_AUTO(next, fetchBundle(a.Store, head.Head));
  offer(a, std::move(next));
  return {};
}

void pollTable(Agent &a) {
  a.TableReached = handle([&] { return readTable(a); }, [] { return true; },
                          [](const Error &) { return false; });
}

std::vector<OperatorRoute> routes(Agent &a) {
  std::vector<OperatorRoute> all = bundleRoutes(
      {&a.Store, [&a](Bundle next) { offer(a, std::move(next)); }});
  all.push_back(statusRoute({&a.Settings, &a.Shared, &a.Report,
                             [&a] { return a.TableReached.load(); }}));
  return all;
}

std::uint64_t randomWord() {
  std::random_device dev;
  return (std::uint64_t{dev()} << 32U) | dev();
}

ControlOptions controlOptions(Agent &a) {
  ControlOptions opt;
  opt.Settings = &a.Settings;
  opt.Store = &a.Store;
  opt.Endpoints = httpEndpointClient(a.Settings.EndpointTimeout);
  opt.Shared = &a.Shared;
  opt.Report = &a.Report;
  opt.Incarnation =
      static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
  opt.Random = randomWord();
  opt.OnBundle = [&a](const BundleText &text) { offerText(a, text); };
  return opt;
}

Result<void> startParts(Agent &a) {
  a.Store = httpPlatform(a.Settings.PlatformUrl, a.Settings.PlatformTimeout);
  a.Link.emplace(
      EntryLinkOptions{&a.Shared, &a.Report, a.Settings.EntryRpcAddress});
  BOOST_LEAF_AUTO(api,
                  OperatorApi::start({a.Settings.OperatorAddress,
                                      a.Settings.OperatorKeys, routes(a)}));
  a.Operators.emplace(std::move(api));
  BOOST_LEAF_AUTO(peers, Control::start(controlOptions(a)));
  a.Peers.emplace(std::move(peers));
  a.Poll.post([&a] { pollTable(a); });
  a.Timers.every(a.Settings.PollPeriod,
                 [&a](Time) { a.Poll.postIfIdle([&a] { pollTable(a); }); });
  a.Timers.every(a.Settings.EndpointPeriod,
                 [&a](Time) { a.Peers->pollEndpoints(); });
  a.Timers.every(a.Settings.VmListPeriod,
                 [&a](Time) { a.Peers->pollVmList(); });
  return {};
}

sigset_t stopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

ExitCode serve(AgentSettings settings) {
  const sigset_t stop = stopSignals();
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Agent a;
  a.Settings = std::move(settings);
  return handle([&] { return startParts(a); },
                [&] {
                  int sig = 0;
                  sigwait(&stop, &sig);
                  a.Peers->leave();
                  std::this_thread::sleep_for(LeaveNotice);
                  return ExitCode::Ok;
                },
                [](const Error &err) {
                  std::fprintf(stderr, "zinnia-agent: %s\n",
                               describe(err).c_str());
                  return ExitCode::Unreachable;
                });
}

ExitCode run(const std::string &path, bool check) {
  std::vector<SettingsFault> faults;
  return handle([&] { return loadAgentSettings(path, faults); },
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
      {ExitCode::Ok, ExitCode::Usage, ExitCode::Unreachable}};
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
