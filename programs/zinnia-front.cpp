// zinnia-front: a front process, which sends callers' requests to back ends. A
// request loop serves the calls; controllers on a second thread follow the
// table service.

#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/front/request_loop.h"
#include "zinniagauge/front/status_server.h"
#include "zinniagauge/store/controllers.h"

#include "../platform/platform.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <thread>

using namespace zinniagauge;

namespace {

/// The components of the process, in the order of construction.
struct Front {
  explicit Front(const FrontSettings &set)
      : Log(set.Node, set.LogLevel),
        Requests(Board, platform::headerNames(), set, Log, Metrics),
        Control(Board, platform::storeProtocol(), set, Log, Metrics) {}

  EventLog Log;
  FrontMetrics Metrics;
  FrontBoard Board;
  RequestLoop Requests;
  Controllers Control;
  StatusServer ReadinessServer;
  StatusServer MetricsServer;
};

/// Set by the signal handler, which then wakes the loop.
volatile std::sig_atomic_t ShutdownRequested = 0;
volatile std::sig_atomic_t ReloadRequested = 0;
Loop *SignalLoop = nullptr;

void onSignal(int sig) {
  if (sig == SIGHUP)
    ReloadRequested = 1;
  else
    ShutdownRequested = 1;
  if (SignalLoop)
    wakeLoop(*SignalLoop);
}

/// Installs the signal handlers. Called first in main, so that a handled signal
/// can't terminate the process by its default action during startup.
void catchSignals() {
  struct sigaction act {};
  act.sa_handler = onSignal;
  ::sigaction(SIGTERM, &act, nullptr);
  ::sigaction(SIGINT, &act, nullptr);
  ::sigaction(SIGHUP, &act, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

/// Descriptors beside those of callers and back ends: of the loops, the table
/// service, readiness, metrics and gossip.
constexpr rlim_t OwnDescriptors = 64;

/// Raises the limit of descriptors to what \p set needs, as far as the system
/// allows it, and lowers the setting to what there is.
void raiseDescriptorLimit(Front &f, FrontSettings &set) {
  rlimit lim{};
  if (::getrlimit(RLIMIT_NOFILE, &lim) != 0)
    return;
  const rlim_t needed = set.MaxDescriptors + OwnDescriptors;
  if (lim.rlim_cur >= needed)
    return;
  lim.rlim_cur = std::min(needed, lim.rlim_max);
  if (::setrlimit(RLIMIT_NOFILE, &lim) == 0 && lim.rlim_cur >= needed)
    return;
  ::getrlimit(RLIMIT_NOFILE, &lim);
  EventLine line = eventLine("descriptors_limited");
  add(line, "needed", static_cast<std::int64_t>(needed));
  add(line, "limit", static_cast<std::int64_t>(lim.rlim_cur));
  f.Log.write(line);
  if (lim.rlim_cur > 2 * OwnDescriptors)
    set.MaxDescriptors = std::min<std::size_t>(set.MaxDescriptors,
                                               lim.rlim_cur - OwnDescriptors);
}

/// Opens what is closed of standard input, output and error, so that no
/// connection gets the descriptor to which the log is written.
void openStandardDescriptors() {
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; ++fd)
    if (::fcntl(fd, F_GETFD) < 0)
      static_cast<void>(::open("/dev/null", O_RDWR)); // Gets the lowest, fd.
}

/// Logs the settings that this build doesn't know.
void logUnknownSettings(Front &f, const FrontSettings &set) {
  for (const std::string &key : set.UnknownKeys) {
    EventLine line = eventLine("setting_unknown");
    add(line, "key", key);
    f.Log.write(line);
  }
}

/// Applies the settings that may change while the process runs. Keeps the
/// current ones if the file can't be read or is invalid.
void reload(Front &f, const std::string &path) {
  handleResult([&] { return loadFrontSettings(path); },
               [&](const FrontSettings &set) {
                 FrontSettings &current = f.Requests.Settings;
                 current.FreshnessBounds = set.FreshnessBounds;
                 current.Retries = set.Retries;
                 current.Margin = set.Margin;
                 current.StopTimeout = set.StopTimeout;
                 current.LogLevel = set.LogLevel;
                 f.Log.setLevel(set.LogLevel);
                 f.Log.write(eventLine("settings_reloaded"));
                 logUnknownSettings(f, set);
                 return 0;
               },
               [&](const Error &err) {
                 EventLine line = eventLine("settings_kept");
                 add(line, err);
                 f.Log.write(line);
                 return 0;
               });
}

/// A random number other than zero.
std::uint64_t randomToken() {
  std::random_device rd;
  constexpr unsigned HalfBits = 32;
  return (std::uint64_t{rd()} << HalfBits) | rd() | 1U;
}

/// Starts the components. Fails with the error of the first that can't start.
Result<void> start(Front &f, const std::string &path) {
  raiseDescriptorLimit(f, f.Requests.Settings);
  f.Board.RelayToken = randomToken();
  const FrontSettings &set = f.Requests.Settings;
  BOOST_LEAF_CHECK(startRequestLoop(f.Requests));
  const auto onboardchange = f.Requests.EventLoop.OnWake;
  f.Requests.EventLoop.OnWake = [&f, path, onboardchange] {
    if (ShutdownRequested != 0)
      beginShutdown(f.Requests);
    if (ReloadRequested != 0) {
      ReloadRequested = 0;
      reload(f, path);
    }
    onboardchange();
  };
  SignalLoop = &f.Requests.EventLoop;
  wakeLoop(f.Requests.EventLoop); // For a signal before SignalLoop was set.
  f.Control.OnChange = [&f] { wakeLoop(f.Requests.EventLoop); };
  f.Requests.OnLoadsChanged = [&f] { wakeLoop(f.Control.EventLoop); };
  const auto ready = [&f](std::string_view target) -> StatusResponse {
    if (target != f.Requests.Names.ReadyPath)
      return {404, {}};
    return {isReady(f.Requests) ? 200 : 503, {}};
  };
  const auto metrics = [&f](std::string_view target) -> StatusResponse {
    if (target != "/metrics")
      return {404, {}};
    return {200, metricsText(f.Metrics)};
  };
  BOOST_LEAF_CHECK(startStatusServer(f.ReadinessServer, f.Requests.EventLoop,
                                     set.Status, ready));
  BOOST_LEAF_CHECK(startStatusServer(f.MetricsServer, f.Requests.EventLoop,
                                     set.Metrics, metrics));
  return startControllers(f.Control);
}

void logStart(Front &f) {
  EventLine line = eventLine("started");
  add(line, "callers", toString(f.Requests.Settings.Callers));
  add(line, "table", toString(f.Requests.Settings.TableServiceAddress));
  f.Log.write(line);
  logUnknownSettings(f, f.Requests.Settings);
}

/// Prints the settings that this build doesn't know. A front starts with them,
/// but a check finds mistyped ones.
ExitCode checkUnknownSettings(const FrontSettings &set) {
  for (const std::string &key : set.UnknownKeys)
    std::fprintf(stderr, "zinnia-front: unknown setting %s\n", key.c_str());
  return set.UnknownKeys.empty() ? ExitCode::Ok : ExitCode::Usage;
}

/// Runs the process until it is stopped by a signal.
ExitCode serve(const FrontSettings &settings, const std::string &path) {
  Front f(settings);
  return handleResult([&] { return start(f, path); },
                      [&] {
                        logStart(f);
                        std::thread control([&f] { run(f.Control.EventLoop); });
                        run(f.Requests.EventLoop);
                        f.Control.EventLoop.StopRequested = true;
                        wakeLoop(f.Control.EventLoop);
                        control.join();
                        f.Log.write(eventLine("stopped"));
                        return ExitCode::Ok;
                      },
                      [](const Error &err) {
                        std::fprintf(stderr, "zinnia-front: %s\n",
                                     describe(err).c_str());
                        return ExitCode::Failed;
                      });
}

CommandLine commandLine(bool &checkonly, std::string &settings) {
  CommandLine line;
  line.Program = "zinnia-front";
  line.Arguments = "[SETTINGS.json]";
  line.Summary = "Serves callers on one machine and sends their calls to back\n"
                 "ends. Without a file named, ZINNIAGAUGE_CONFIG names it.";
  line.Options = {{"check-settings", "", "Check the settings and end",
                   OptionTarget(&checkonly)}};
  line.ExitCodes = {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage};
  if (const char *env = std::getenv("ZINNIAGAUGE_CONFIG"))
    settings = env;
  return line;
}

} // namespace

int main(int argc, char **argv) {
  catchSignals();
  openStandardDescriptors();
  bool checkonly = false;
  std::string path;
  const CommandLine line = commandLine(checkonly, path);
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  if (!cmd.Arguments.empty())
    path = cmd.Arguments[0];
  if (path.empty() || cmd.Arguments.size() > 1) {
    std::fputs(helpText(line).c_str(), stderr);
    return toInt(ExitCode::Usage);
  }
  const ExitCode end = handleResult(
      [&] { return loadFrontSettings(path); },
      [&](const FrontSettings &set) {
        return checkonly ? checkUnknownSettings(set) : serve(set, path);
      },
      [&](const Error &err) {
        std::fprintf(stderr, "zinnia-front: %s\n", describe(err).c_str());
        return ExitCode::Usage;
      });
  return toInt(end);
}
