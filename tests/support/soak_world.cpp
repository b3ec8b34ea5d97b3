// Implements the deployment and the fault injection of a fault soak.
#include "support/soak_world.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>

namespace zinniagauge::testing {

namespace {

using std::chrono::milliseconds;

constexpr Duration TickPeriod = milliseconds(20);

/// Bound of the random time between two faults. Faults last longer than that,
/// so several are active at a time.
constexpr int MaxFaultIntervalMs = 600;

/// A front must end within this time after SIGTERM, as its settings say.
constexpr Duration StopTimeout = std::chrono::seconds(8);

/// Within this time after its start, a process may not have set up its signal
/// handling yet.
constexpr Duration SignalSetupTime = milliseconds(100);

/// How long an engine stays in the server list as draining, and how long it is
/// then absent before it starts again.
constexpr Duration DrainPeriod = milliseconds(4200);
constexpr Duration RestartDelay = milliseconds(1500);

/// Copies of the store that are kept for a restore: those of the last 8 s.
constexpr Duration CopyPeriod = milliseconds(500);
constexpr std::size_t MaxCopies = 16;

/// The time before the first fault; calls begin within it.
constexpr Duration WarmUpPeriod = std::chrono::seconds(2);

/// All keys that callers use; the first is never withdrawn.
constexpr std::array<const char *, 3> AllKeys = {"k1", "k2", "k3"};

/// A random number from 0 to \p n - 1.
int randomUpTo(SoakWorld &w, int n) {
  return static_cast<int>(
      randomBelow(w.Random, static_cast<std::size_t>(std::max(n, 1))));
}

Time now(const SoakWorld &w) { return w.Platform.Lp.Now; }

void runAfter(SoakWorld &w, Duration after, std::function<void()> fn) {
  w.PendingEvents.emplace(now(w) + after, std::move(fn));
}

void beginRange(SoakWorld &w, std::vector<TimeRange> &ranges) {
  if (ranges.empty() || ranges.back().End != Time::max())
    ranges.push_back({now(w), Time::max()});
}

bool isOpen(const std::vector<TimeRange> &ranges) {
  return !ranges.empty() && ranges.back().End == Time::max();
}

void endRange(SoakWorld &w, std::vector<TimeRange> &ranges) {
  if (!ranges.empty() && ranges.back().End == Time::max())
    ranges.back().End = now(w);
}

/// Marks the front as disturbed until \p after has passed without another
/// disturbance.
void disturbFor(SoakWorld &w, SoakFront &f, Duration after) {
  beginRange(w, f.Disturbed);
  const int number = ++f.Disturbances;
  runAfter(w, after, [&w, &f, number] {
    if (f.Disturbances == number && f.Proc && !f.Paused)
      endRange(w, f.Disturbed);
  });
}

void startFront(SoakWorld &w, SoakFront &f) {
  const bool other =
      !w.Options.OtherFront.empty() && randomBelow(w.BuildRandom, 2) == 0;
  endRange(w, f.OtherBuild);
  if (other)
    beginRange(w, f.OtherBuild);
  f.Proc.emplace(
      other ? std::vector<std::string>{w.Options.OtherFront, f.CommonSettings}
            : std::vector<std::string>{ZINNIA_BINARY_DIR "/zinnia-front",
                                       f.Settings});
  f.Paused = false;
  f.StopSentAt = Time();
  f.StartedAt = now(w);
  // A front may serve no calls until it is ready. The calls after the last
  // fault show whether it became ready.
  disturbFor(w, f, milliseconds(1000));
}

/// Records that the process of a front has ended, and starts it again after a
/// random delay.
void handleExit(SoakWorld &w, SoakFront &f) {
  ++f.Disturbances;
  beginRange(w, f.Disturbed);
  f.Output += f.Proc->output();
  f.Proc.reset();
  runAfter(w, milliseconds(100 + randomUpTo(w, 1400)),
           [&w, &f] { startFront(w, f); });
}

void killFront(SoakWorld &w, SoakFront &f) {
  if (!f.Proc)
    return;
  f.Proc->kill();
  handleExit(w, f);
}

void stopFront(SoakWorld &w, SoakFront &f) {
  if (!f.Proc || f.StopSentAt != Time())
    return;
  f.Proc->signal(SIGTERM);
  f.SignalledAt = f.StopSentAt = now(w);
}

void pauseFront(SoakWorld &w, SoakFront &f) {
  if (!f.Proc || f.Paused)
    return;
  f.Proc->signal(SIGSTOP);
  f.Paused = true;
  ++f.Disturbances;
  beginRange(w, f.Disturbed);
  const pid_t id = f.Proc->id();
  runAfter(w, milliseconds(100 + randomUpTo(w, 4000)), [&w, &f, id] {
    if (!f.Proc || f.Proc->id() != id)
      return;
    f.Proc->signal(SIGCONT);
    f.Paused = false;
    // Connections and requests that queued up meanwhile are served first.
    disturbFor(w, f, milliseconds(500));
  });
}

/// Checks whether fronts have ended, and whether they ended in time after
/// SIGTERM.
void checkFronts(SoakWorld &w) {
  for (const auto &f : w.Fronts) {
    if (!f->Proc)
      continue;
    const std::optional<int> rc = f->Proc->wait(Duration::zero());
    if (!rc) {
      const bool late =
          f->StopSentAt != Time() && !f->Paused &&
          now(w) - f->StopSentAt > StopTimeout + milliseconds(500) &&
          !overlaps(f->Disturbed, f->StopSentAt, now(w));
      if (late) {
        w.Violations.push_back(f->Name + " still runs 8.5 s after SIGTERM");
        killFront(w, *f);
      }
      continue;
    }
    // A signal that arrives before the process can handle it ends the process.
    const bool early = (*rc == -SIGTERM || *rc == -SIGHUP) &&
                       f->SignalledAt - f->StartedAt < SignalSetupTime;
    if ((f->StopSentAt == Time() || *rc != 0) && !early)
      w.Violations.push_back(f->Name + " ended unexpectedly with exit code " +
                             std::to_string(*rc));
    handleExit(w, *f);
  }
}

/// Sets a random fault mode of \p r for a random time. The time is recorded in
/// \p ranges unless that is null.
void disturbRelay(SoakWorld &w, Relay &r, std::vector<TimeRange> *ranges) {
  const auto mode =
      static_cast<RelayMode>(1 + randomBelow(w.Random, RelayModeCount - 1));
  setMode(r, mode, milliseconds(20 + randomUpTo(w, 400)));
  if (ranges)
    beginRange(w, *ranges);
  runAfter(w, milliseconds(200 + randomUpTo(w, 4000)), [&w, &r, ranges] {
    setMode(r, RelayMode::Pass, Duration::zero());
    if (ranges)
      endRange(w, *ranges);
  });
}

/// Sets \p mode at a port of the platform for a random time. The time is
/// recorded in \p ranges unless that is null.
void disturbPort(SoakWorld &w, std::size_t port, const char *mode,
                 std::vector<TimeRange> *ranges) {
  ConsortiumPort &p = *w.Platform.Ports[port];
  p.Mode = mode;
  if (ranges)
    beginRange(w, *ranges);
  runAfter(w, milliseconds(200 + randomUpTo(w, 4000)), [&w, &p, ranges] {
    p.Mode = "ok";
    if (ranges)
      endRange(w, *ranges);
  });
}

void writeRow(SoakWorld &w, const nlohmann::json &row) {
  w.Written[{row.at("table"), row.at("key")}] = row;
  putRow(w.Platform, row);
}

void writeConfig(SoakWorld &w) {
  nlohmann::json keys = nlohmann::json::array();
  for (const std::string &k : w.ActiveKeys)
    keys.push_back(k);
  nlohmann::json config = bigConfigOf(++w.Version, keys, w.MoreRoutes);
  nlohmann::json &routes = config.at("routes");
  for (const int version : {w.Version - 1, w.Version}) {
    nlohmann::json route = routes.front();
    route["name"] = route["prefix"] = probePath(version);
    routes.push_back(std::move(route));
  }
  writeRow(w, tableRow("op", "config", config));
  w.WrittenAt[w.Version] = now(w);
}

/// Writes a new version of the configuration, and schedules the next one.
void changeConfig(SoakWorld &w) {
  ++w.Faults["configuration changed"];
  constexpr std::uint64_t ResizeOdds = 3; // One in so many changes its size.
  if (randomBelow(w.SizeRandom, ResizeOdds) == 0) {
    ++w.Faults["configuration resized"];
    w.MoreRoutes = w.MoreRoutes > 0 ? 0 : MaxMoreRoutes;
  }
  writeConfig(w);
  runAfter(w, milliseconds(300 + randomBelow(w.PlanRandom, 3500)), [&w] {
    if (now(w) < w.FaultsEnd)
      changeConfig(w);
  });
}

/// The path of a route that was added, is about to go, or went recently.
std::string nextProbe(SoakWorld &w) {
  constexpr int Versions = 4;
  const auto back = static_cast<int>(randomBelow(w.Probes.Random, Versions));
  return probePath(std::max(w.Version - back, 1)) + "s";
}

/// Withdraws a random key other than the first, or makes it valid again.
void toggleKey(SoakWorld &w, std::uint64_t &random) {
  const std::string key = AllKeys[1 + randomBelow(random, AllKeys.size() - 1)];
  if (w.ActiveKeys.erase(key) == 1) {
    beginRange(w, w.WithdrawnKeys[key]);
  } else {
    w.ActiveKeys.insert(key);
    endRange(w, w.WithdrawnKeys[key]);
  }
  writeConfig(w);
}

/// Writes the server list entry of engine \p n.
void listEngine(SoakWorld &w, std::size_t n, const char *state) {
  const SoakEngine &e = *w.Engines[n];
  nlohmann::json entry = engineEntry(e.Port, state, e.Incarnation);
  entry["zone"] = zoneOfEngine(n);
  writeRow(w, tableRow("servers", "i-" + std::to_string(n), entry));
}

/// Removes the entry of engine \p n from the server list.
void unlistEngine(SoakWorld &w, std::size_t n) {
  const std::pair<std::string, std::string> key = {"servers",
                                                   "i-" + std::to_string(n)};
  w.Written.erase(key);
  w.Platform.Rows.erase(key);
}

/// Sets engine \p n to draining, removes it from the list after DrainPeriod,
/// and lists it again with a new incarnation after RestartDelay.
void drainEngine(SoakWorld &w, std::size_t n) {
  SoakEngine &e = *w.Engines[n];
  if (isOpen(e.Draining) || isOpen(e.Asking))
    return;
  listEngine(w, n, "draining");
  beginRange(w, e.Draining);
  runAfter(w, DrainPeriod, [&w, &e, n] {
    unlistEngine(w, n);
    runAfter(w, RestartDelay, [&w, &e, n] {
      ++e.Incarnation;
      endRange(w, e.Draining);
      listEngine(w, n, "ready");
    });
  });
}

/// Lets engine \p n say only in its responses that it leaves, and removes it
/// from the list after DrainPeriod without another word.
void leaveUnannounced(SoakWorld &w, std::size_t n) {
  SoakEngine &e = *w.Engines[n];
  w.Platform.Ports[n + 1]->Asked = LeavingLine;
  runAfter(w, DrainPeriod, [&w, &e, n] {
    unlistEngine(w, n);
    beginRange(w, e.Draining);
    runAfter(w, RestartDelay, [&w, &e, n] {
      ++e.Incarnation;
      w.Platform.Ports[n + 1]->Asked.clear();
      endRange(w, e.Draining);
      endRange(w, e.Asking);
      listEngine(w, n, "ready");
    });
  });
}

/// Lets a random engine ask for fewer calls in its responses, and schedules the
/// next one.
void askForLess(SoakWorld &w) {
  const std::size_t n = randomBelow(w.AskRandom, w.Engines.size());
  const std::size_t kind = randomBelow(w.AskRandom, 3);
  const auto pause = milliseconds(500 + randomBelow(w.AskRandom, 2000));
  SoakEngine &e = *w.Engines[n];
  ConsortiumPort &port = *w.Platform.Ports[n + 1];
  if (!isOpen(e.Draining) && !isOpen(e.Asking)) {
    constexpr std::array<const char *, 3> Names = {
        "engine names a limit", "engine says it leaves", "engine is full"};
    ++w.Faults[Names.at(kind)];
    beginRange(w, e.Asking);
    if (kind == 1) {
      leaveUnannounced(w, n);
    } else {
      constexpr Duration LimitPeriod = std::chrono::seconds(9);
      port.Asked = kind == 0 ? LimitLine : RetryAfterLine;
      if (kind == 2)
        port.Mode = "not_run";
      const Duration span =
          kind == 0 ? LimitPeriod : AskedRetryAfter + milliseconds(500);
      runAfter(w, std::min(span, std::max(w.FaultsEnd - now(w), TickPeriod)),
               [&w, &e, &port, kind] {
                 port.Asked.clear();
                 if (kind == 2)
                   port.Mode = "ok";
                 endRange(w, e.Asking);
               });
    }
  }
  runAfter(w, pause, [&w] {
    if (now(w) < w.FaultsEnd)
      askForLess(w);
  });
}

/// Writes again, or removes, the rows of \p table that differ from what was
/// written last.
void writeAgain(SoakWorld &w, const std::string &table) {
  std::erase_if(w.Platform.Rows, [&](const auto &row) {
    return row.first.first == table && !w.Written.contains(row.first);
  });
  for (const auto &[key, row] : w.Written) {
    const auto it = w.Platform.Rows.find(key);
    if (key.first == table &&
        (it == w.Platform.Rows.end() ||
         it->second.value("value", "") != row.at("value")))
      putRow(w.Platform, row);
  }
}

/// Takes the store away for a while and brings it back from a copy some seconds
/// old, and schedules the next restore. Operators and engines write again what
/// the copy lacks, within the times that they are given.
void restoreFromCopy(SoakWorld &w) {
  constexpr int OperatorsMs = 600;
  constexpr int EnginesMs = 1500;
  const auto random = [&w](int n) {
    return static_cast<int>(
        randomBelow(w.RestoreRandom, static_cast<std::size_t>(n)));
  };
  const auto away = milliseconds(100 + random(2500));
  const auto operators = milliseconds(random(OperatorsMs));
  const auto engines = milliseconds(random(EnginesMs));
  const auto next = milliseconds(EnginesMs + 3000 + random(4000));
  const std::size_t age = randomBelow(w.RestoreRandom, MaxCopies);
  ++w.Faults["store restored"];
  beginRange(w, w.StoreRestores);
  w.Platform.Ports[0]->Mode = "silent";
  runAfter(w, away, [&w, age, operators, engines] {
    w.Platform.Ports[0]->Mode = "ok";
    restoreStore(w.Platform, w.Copies[std::min(age, w.Copies.size() - 1)]);
    w.Copies.clear();
    w.Copies.push_back(copyStore(w.Platform));
    runAfter(w, operators, [&w] { writeAgain(w, "op"); });
    runAfter(w, engines, [&w] { writeAgain(w, "servers"); });
    runAfter(w, std::max(operators, engines),
             [&w] { endRange(w, w.StoreRestores); });
    runAfter(w, operators + CopyPeriod, [&w] {
      if (now(w) < w.FaultsEnd)
        toggleKey(w, w.RestoreRandom);
    });
  });
  runAfter(w, away + next, [&w] {
    if (now(w) < w.FaultsEnd)
      restoreFromCopy(w);
  });
}

/// Evacuates one of the two zones for a while, and schedules the next time.
void evacuateZone(SoakWorld &w) {
  const std::string zone = zoneOfEngine(randomBelow(w.EvacuationRandom, 2));
  const auto span =
      EvacuationTimeout + milliseconds(randomBelow(w.EvacuationRandom, 7000));
  const auto pause = milliseconds(randomBelow(w.EvacuationRandom, 3000));
  const std::string key = "evacuate/" + zone;
  ++w.Faults["zone evacuated"];
  beginRange(w, w.Evacuations[zone]);
  writeRow(w, tableRow("op", key, nlohmann::json::object()));
  const Duration left = std::max(w.FaultsEnd - now(w), TickPeriod);
  runAfter(w, std::min<Duration>(span, left), [&w, zone, key, pause] {
    w.Written.erase({"op", key});
    dropRow(w.Platform, {{"table", "op"}, {"key", key}});
    endRange(w, w.Evacuations[zone]);
    runAfter(w, pause, [&w] {
      if (now(w) < w.FaultsEnd)
        evacuateZone(w);
    });
  });
}

/// Keeps copies of the store for restoreFromCopy.
void keepCopies(SoakWorld &w) {
  w.Copies.push_back(copyStore(w.Platform));
  if (w.Copies.size() > MaxCopies)
    w.Copies.pop_front();
  runAfter(w, CopyPeriod, [&w] { keepCopies(w); });
}

/// Injects one fault of a random kind, and schedules the next one.
void injectFault(SoakWorld &w) {
  SoakFront &f = *w.Fronts[randomBelow(w.Random, w.Fronts.size())];
  const std::size_t e = randomBelow(w.Random, w.Engines.size());
  constexpr std::array<const char *, 4> StoreModes = {"silent", "busy", "lost",
                                                      "gone"};
  constexpr std::array<const char *, 5> EngineModes = {
      "silent", "reset", "fail", "not_run", "break"};
  struct Kind {
    const char *Name;
    std::function<void()> Do;
  };
  const std::array<Kind, 10> kinds = {
      Kind{"kill", [&] { killFront(w, f); }},
      Kind{"stop", [&] { stopFront(w, f); }},
      Kind{"stop in series",
           [&] {
             for (std::size_t n = 0; n < w.Fronts.size(); ++n)
               runAfter(w, milliseconds(700 * n),
                        [&w, n] { stopFront(w, *w.Fronts[n]); });
           }},
      Kind{"pause", [&] { pauseFront(w, f); }},
      Kind{"reload",
           [&] {
             if (!f.Proc)
               return;
             f.Proc->signal(SIGHUP);
             f.SignalledAt = now(w);
           }},
      Kind{"store path",
           [&] { disturbRelay(w, f.StoreRelay, &f.StoreFaults); }},
      Kind{"store",
           [&] {
             disturbPort(w, 0,
                         StoreModes[randomBelow(w.Random, StoreModes.size())],
                         &w.StoreOutages);
           }},
      Kind{"engine path",
           [&] {
             disturbRelay(w, w.Engines[e]->EngineRelay,
                          &w.Engines[e]->PathFaults);
           }},
      Kind{"engine",
           [&] {
             disturbPort(w, e + 1,
                         EngineModes[randomBelow(w.Random, EngineModes.size())],
                         nullptr);
           }},
      Kind{"key or engine leaves", [&] {
             if (randomUpTo(w, 2) == 0)
               toggleKey(w, w.Random);
             else
               drainEngine(w, e);
           }}};
  const Kind &k = kinds[randomBelow(w.Random, kinds.size())];
  ++w.Faults[k.Name];
  k.Do();
  runAfter(w, milliseconds(randomUpTo(w, MaxFaultIntervalMs)), [&w] {
    if (now(w) < w.FaultsEnd)
      injectFault(w);
  });
}

/// Makes all keys valid again.
void restoreKeys(SoakWorld &w) {
  for (const char *key : AllKeys) {
    w.ActiveKeys.insert(key);
    endRange(w, w.WithdrawnKeys[key]);
  }
  writeConfig(w);
}

void onTick(void *ctx, Time at) {
  SoakWorld &w = *static_cast<SoakWorld *>(ctx);
  while (!w.PendingEvents.empty() && w.PendingEvents.begin()->first <= at) {
    const auto fn = std::move(w.PendingEvents.begin()->second);
    w.PendingEvents.erase(w.PendingEvents.begin());
    fn();
  }
  checkFronts(w);
  if (at >= w.QuietEnd)
    w.Platform.Lp.StopRequested = true;
  arm(w.Platform.Lp, w.Tick, at + TickPeriod);
}

void recordCall(SoakWorld &w, const EngineCall &call) {
  const bool probe = call.Id.starts_with(w.Probes.IdPrefix);
  auto &calls = probe ? w.Probes.Calls : w.Callers.Calls;
  const auto it = calls.find(call.Id);
  if (it == calls.end() || call.Body != "call " + call.Id) {
    w.Violations.push_back("an engine received the call " + call.Id + " as \"" +
                           call.Body + "\"");
    return;
  }
  it->second.Arrivals.push_back(now(w));
  it->second.Engines.push_back(call.Engine);
  it->second.Asked.push_back(call.Asked);
  if (call.Ran)
    it->second.Runs.push_back(now(w));
}

} // namespace

bool overlaps(const std::vector<TimeRange> &ranges, Time from, Time to) {
  return std::any_of(ranges.begin(), ranges.end(), [&](const TimeRange &s) {
    return s.Begin <= to && s.End >= from;
  });
}

const char *zoneOfEngine(std::size_t n) noexcept {
  return n % 2 == 0 ? "z" : "y";
}

std::string probePath(int version) {
  return "/version-" + std::to_string(version) + "/";
}

SoakWorld::SoakWorld(const SoakOptions &opt)
    : Options(opt), Random(mix64(opt.Seed)), AskRandom(mix64(opt.Seed + 2)),
      RestoreRandom(mix64(opt.Seed + 3)), EvacuationRandom(mix64(opt.Seed + 4)),
      PlanRandom(mix64(opt.Seed + 5)), BuildRandom(mix64(opt.Seed + 6)),
      SizeRandom(mix64(opt.Seed + 7)),
      ActiveKeys(AllKeys.begin(), AllKeys.end()) {}

Result<void> startWorld(SoakWorld &w) {
  Loop &lp = w.Platform.Lp;
  BOOST_LEAF_CHECK(openLoop(lp));
  const std::size_t engines = w.Options.Engines;
  const std::size_t fronts = w.Options.Fronts;
  const auto ports = freePorts(1 + 2 * engines + 6 * fronts);
  const auto peer = [](std::uint16_t port) {
    return parseAddress(loopbackAddress(port)).value_or(PeerAddress{});
  };
  std::vector<std::string> addresses;
  for (std::size_t n = 0; n < engines; ++n)
    addresses.push_back(loopbackAddress(ports[1 + n]));
  w.Platform.EventInterval = milliseconds(30);
  w.Platform.OnCall = [&w](const EngineCall &c) { recordCall(w, c); };
  BOOST_LEAF_CHECK(
      startConsortium(w.Platform, loopbackAddress(ports[0]), addresses));
  for (std::size_t n = 0; n < engines; ++n) {
    w.Engines.push_back(std::make_unique<SoakEngine>());
    SoakEngine &e = *w.Engines.back();
    e.Port = ports[1 + engines + n];
    BOOST_LEAF_CHECK(
        startRelay(e.EngineRelay, lp, peer(e.Port), peer(ports[1 + n])));
    listEngine(w, n, "ready");
  }
  writeConfig(w);
  for (std::size_t n = 0; n < fronts; ++n) {
    w.Fronts.push_back(std::make_unique<SoakFront>());
    SoakFront &f = *w.Fronts.back();
    f.Name = "front-" + std::to_string(n);
    const std::uint16_t *p = &ports[1 + 2 * engines + 6 * n];
    f.Ports = {p[0], p[1], p[2], p[3], p[4], p[5]};
    BOOST_LEAF_CHECK(startRelay(f.StoreRelay, lp, peer(p[4]), peer(ports[0])));
    f.Settings =
        w.Folder.write(f.Name + ".json", frontSettings(f.Name, f.Ports).dump());
    FrontPorts common = f.Ports;
    common.Relay = 0;
    f.CommonSettings = w.Folder.write(f.Name + "-common.json",
                                      frontSettings(f.Name, common).dump());
    w.Callers.Fronts.push_back(peer(p[0]));
    beginRange(w, f.Disturbed);
    startFront(w, f);
  }
  w.Callers.Lp = &lp;
  w.Callers.Random = mix64(w.Options.Seed + 1);
  w.Callers.Keys.assign(AllKeys.begin(), AllKeys.end());
  w.Probes.Lp = &lp;
  w.Probes.Random = mix64(w.Options.Seed + 7);
  w.Probes.Keys = {AllKeys.front()};
  w.Probes.IdPrefix = "p-";
  w.Probes.MinIntervalMs = 50;
  w.Probes.MaxIntervalMs = 250;
  w.Probes.Fronts = w.Callers.Fronts;
  w.Probes.NextPath = [&w] { return nextProbe(w); };
  w.FaultsEnd = lp.Now + WarmUpPeriod + std::chrono::seconds(w.Options.Seconds);
  w.QuietEnd = w.FaultsEnd + RecoveryTimeout + HealthyPeriod;
  runAfter(w, milliseconds(1200),
           [&w] { startCallers(w.Callers, w.Options.Callers); });
  runAfter(w, milliseconds(1200),
           [&w] { startCallers(w.Probes, 2 * w.Options.Fronts); });
  runAfter(w, WarmUpPeriod, [&w] { injectFault(w); });
  runAfter(w, WarmUpPeriod, [&w] { askForLess(w); });
  runAfter(w, WarmUpPeriod, [&w] { changeConfig(w); });
  runAfter(w, WarmUpPeriod, [&w] { evacuateZone(w); });
  keepCopies(w);
  runAfter(w, WarmUpPeriod + std::chrono::seconds(2),
           [&w] { restoreFromCopy(w); });
  w.PendingEvents.emplace(w.FaultsEnd, [&w] { restoreKeys(w); });
  w.PendingEvents.emplace(w.QuietEnd - milliseconds(1000), [&w] {
    w.Callers.Stopped = w.Probes.Stopped = true;
  });
  w.Tick.Fn = onTick;
  w.Tick.Ctx = &w;
  arm(lp, w.Tick, lp.Now);
  return {};
}

std::string describeFaults(const SoakWorld &w) {
  int sum = 0;
  std::string list;
  for (const auto &[name, count] : w.Faults) {
    sum += count;
    list.append(list.empty() ? "" : ", ").append(name).append(" ");
    list.append(std::to_string(count));
  }
  return std::to_string(sum) + " faults: " + list;
}

void writeLogs(const SoakWorld &w) {
  if (w.Options.Logs.empty())
    return;
  for (const auto &f : w.Fronts) {
    std::ofstream out(w.Options.Logs + "/" + f->Name + ".log");
    out << f->Output;
    if (f->Proc)
      out << f->Proc->output();
  }
}

} // namespace zinniagauge::testing
