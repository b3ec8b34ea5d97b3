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

/// Pauses between faults, at most; several run at a time.
constexpr int MostGapMs = 600;

/// A front ends within this after SIGTERM, as its settings say.
constexpr Duration StopTime = std::chrono::seconds(8);

/// Within this of a start a process may not have come to its own code.
constexpr Duration EarlyTime = milliseconds(100);

/// How long an engine stays listed once it says that it leaves, and for how
/// long it is then away.
constexpr Duration DrainTime = milliseconds(4200);
constexpr Duration AwayTime = milliseconds(1500);

/// Until the first fault; calls begin meanwhile.
constexpr Duration WarmUp = std::chrono::seconds(2);

/// All keys that callers use; the first is never withdrawn.
constexpr std::array<const char *, 3> AllKeys = {"k1", "k2", "k3"};

int upTo(SoakWorld &w, int n) {
  return static_cast<int>(
      randomBelow(w.Random, static_cast<std::size_t>(std::max(n, 1))));
}

Time now(const SoakWorld &w) { return w.Platform.Lp.Now; }

void later(SoakWorld &w, Duration after, std::function<void()> fn) {
  w.Due.emplace(now(w) + after, std::move(fn));
}

void begin(SoakWorld &w, std::vector<Span> &spans) {
  if (spans.empty() || spans.back().To != Time::max())
    spans.push_back({now(w), Time::max()});
}

void end(SoakWorld &w, std::vector<Span> &spans) {
  if (!spans.empty() && spans.back().To == Time::max())
    spans.back().To = now(w);
}

/// The front is disturbed until it has been left alone for \p after.
void disturbFor(SoakWorld &w, SoakFront &f, Duration after) {
  begin(w, f.Disturbed);
  const int turn = ++f.Turn;
  later(w, after, [&w, &f, turn] {
    if (f.Turn == turn && f.Proc && !f.Paused)
      end(w, f.Disturbed);
  });
}

void startFront(SoakWorld &w, SoakFront &f) {
  f.Proc.emplace(
      std::vector<std::string>{ZINNIA_BINARY_DIR "/zinnia-front", f.Settings});
  f.Paused = false;
  f.StopAsked = Time();
  f.Started = now(w);
  // Until it is ready it may serve nobody; that it gets there is checked by
  // what callers see once the faults are over.
  disturbFor(w, f, milliseconds(1000));
}

void ended(SoakWorld &w, SoakFront &f) {
  ++f.Turn;
  begin(w, f.Disturbed);
  f.Output += f.Proc->output();
  f.Proc.reset();
  later(w, milliseconds(100 + upTo(w, 1400)), [&w, &f] { startFront(w, f); });
}

void killFront(SoakWorld &w, SoakFront &f) {
  if (!f.Proc)
    return;
  f.Proc->kill();
  ended(w, f);
}

void stopFront(SoakWorld &w, SoakFront &f) {
  if (!f.Proc || f.StopAsked != Time())
    return;
  f.Proc->signal(SIGTERM);
  f.Signalled = f.StopAsked = now(w);
}

void pauseFront(SoakWorld &w, SoakFront &f) {
  if (!f.Proc || f.Paused)
    return;
  f.Proc->signal(SIGSTOP);
  f.Paused = true;
  ++f.Turn;
  begin(w, f.Disturbed);
  const pid_t id = f.Proc->id();
  later(w, milliseconds(100 + upTo(w, 4000)), [&w, &f, id] {
    if (!f.Proc || f.Proc->id() != id)
      return;
    f.Proc->signal(SIGCONT);
    f.Paused = false;
    // What waited at its door meanwhile is answered after that.
    disturbFor(w, f, milliseconds(500));
  });
}

/// Looks whether fronts have ended, and whether they kept their time.
void lookAtFronts(SoakWorld &w) {
  for (const auto &f : w.Fronts) {
    if (!f->Proc)
      continue;
    const std::optional<int> rc = f->Proc->wait(Duration::zero());
    if (!rc) {
      const bool late = f->StopAsked != Time() && !f->Paused &&
                        now(w) - f->StopAsked > StopTime + milliseconds(500) &&
                        !overlaps(f->Disturbed, f->StopAsked, now(w));
      if (late) {
        w.Broken.push_back(f->Name + " still runs 8.5 s after SIGTERM");
        killFront(w, *f);
      }
      continue;
    }
    // A signal that comes before it can listen for it ends it.
    const bool early = (*rc == -SIGTERM || *rc == -SIGHUP) &&
                       f->Signalled - f->Started < EarlyTime;
    if ((f->StopAsked == Time() || *rc != 0) && !early)
      w.Broken.push_back(f->Name + " ended by itself: " + std::to_string(*rc));
    ended(w, *f);
  }
}

void disturb(SoakWorld &w, Relay &r, std::vector<Span> *spans) {
  const auto mode =
      static_cast<RelayMode>(1 + randomBelow(w.Random, RelayModeCount - 1));
  setMode(r, mode, milliseconds(20 + upTo(w, 400)));
  if (spans)
    begin(w, *spans);
  later(w, milliseconds(200 + upTo(w, 4000)), [&w, &r, spans] {
    setMode(r, RelayMode::Pass, Duration::zero());
    if (spans)
      end(w, *spans);
  });
}

void setPort(SoakWorld &w, std::size_t port, const char *mode,
             std::vector<Span> *spans) {
  ConsortiumPort &p = *w.Platform.Ports[port];
  p.Mode = mode;
  if (spans)
    begin(w, *spans);
  later(w, milliseconds(200 + upTo(w, 4000)), [&w, &p, spans] {
    p.Mode = "ok";
    if (spans)
      end(w, *spans);
  });
}

void writeConfig(SoakWorld &w) {
  nlohmann::json keys = nlohmann::json::array();
  for (const std::string &k : w.Keys)
    keys.push_back(k);
  putRow(w.Platform, tableRow("op", "config", configOf(++w.Version, keys)));
}

/// Withdraws a key, or grants it again.
void turnKey(SoakWorld &w) {
  const std::string key =
      AllKeys[1 + randomBelow(w.Random, AllKeys.size() - 1)];
  if (w.Keys.erase(key) == 1) {
    begin(w, w.Withdrawn[key]);
  } else {
    w.Keys.insert(key);
    end(w, w.Withdrawn[key]);
  }
  writeConfig(w);
}

void listEngine(SoakWorld &w, std::size_t n, const char *state) {
  const SoakEngine &e = *w.Engines[n];
  putRow(w.Platform, tableRow("servers", "i-" + std::to_string(n),
                              engineEntry(e.Port, state, e.Born)));
}

void drainEngine(SoakWorld &w, std::size_t n) {
  SoakEngine &e = *w.Engines[n];
  if (!e.Leaving.empty() && e.Leaving.back().To == Time::max())
    return;
  listEngine(w, n, "draining");
  begin(w, e.Leaving);
  later(w, DrainTime, [&w, &e, n] {
    w.Platform.Rows.erase({"servers", "i-" + std::to_string(n)});
    later(w, AwayTime, [&w, &e, n] {
      ++e.Born;
      end(w, e.Leaving);
      listEngine(w, n, "ready");
    });
  });
}

/// One fault of a kind that chance picks.
void disturbOnce(SoakWorld &w) {
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
               later(w, milliseconds(700 * n),
                     [&w, n] { stopFront(w, *w.Fronts[n]); });
           }},
      Kind{"pause", [&] { pauseFront(w, f); }},
      Kind{"reload",
           [&] {
             if (!f.Proc)
               return;
             f.Proc->signal(SIGHUP);
             f.Signalled = now(w);
           }},
      Kind{"store path", [&] { disturb(w, f.Store, &f.CutOff); }},
      Kind{"store",
           [&] {
             setPort(w, 0, StoreModes[randomBelow(w.Random, StoreModes.size())],
                     &w.StoreOut);
           }},
      Kind{"engine path", [&] { disturb(w, w.Engines[e]->Path, nullptr); }},
      Kind{"engine",
           [&] {
             setPort(w, e + 1,
                     EngineModes[randomBelow(w.Random, EngineModes.size())],
                     nullptr);
           }},
      Kind{"key or engine leaves", [&] {
             if (upTo(w, 2) == 0)
               turnKey(w);
             else
               drainEngine(w, e);
           }}};
  const Kind &k = kinds[randomBelow(w.Random, kinds.size())];
  ++w.Faults[k.Name];
  k.Do();
  later(w, milliseconds(upTo(w, MostGapMs)), [&w] {
    if (now(w) < w.FaultsEnd)
      disturbOnce(w);
  });
}

void grantAll(SoakWorld &w) {
  for (const char *key : AllKeys) {
    w.Keys.insert(key);
    end(w, w.Withdrawn[key]);
  }
  writeConfig(w);
}

void onTick(void *ctx, Time at) {
  SoakWorld &w = *static_cast<SoakWorld *>(ctx);
  while (!w.Due.empty() && w.Due.begin()->first <= at) {
    const auto fn = std::move(w.Due.begin()->second);
    w.Due.erase(w.Due.begin());
    fn();
  }
  lookAtFronts(w);
  if (at >= w.QuietEnd)
    w.Platform.Lp.StopRequested = true;
  arm(w.Platform.Lp, w.Tick, at + TickPeriod);
}

void noteCall(SoakWorld &w, const EngineCall &call) {
  const auto it = w.Callers.Calls.find(call.Id);
  if (it == w.Callers.Calls.end() || call.Body != "call " + call.Id) {
    w.Broken.push_back("an engine got the call " + call.Id + " as \"" +
                       call.Body + "\"");
    return;
  }
  it->second.Arrivals.push_back(now(w));
  it->second.Engines.push_back(call.Engine);
  if (call.Ran)
    it->second.Runs.push_back(now(w));
}

} // namespace

bool overlaps(const std::vector<Span> &spans, Time from, Time to) {
  return std::any_of(spans.begin(), spans.end(), [&](const Span &s) {
    return s.From <= to && s.To >= from;
  });
}

SoakWorld::SoakWorld(const SoakOptions &opt)
    : Options(opt), Random(mix64(opt.Seed)),
      Keys(AllKeys.begin(), AllKeys.end()) {}

Result<void> startWorld(SoakWorld &w) {
  Loop &lp = w.Platform.Lp;
  BOOST_LEAF_CHECK(openLoop(lp));
  const std::size_t engines = w.Options.Engines;
  const std::size_t fronts = w.Options.Fronts;
  const auto ports = freePorts(1 + 2 * engines + 5 * fronts);
  const auto here = [](std::uint16_t port) {
    return parseAddress(at(port)).value_or(PeerAddress{});
  };
  std::vector<std::string> served;
  for (std::size_t n = 0; n < engines; ++n)
    served.push_back(at(ports[1 + n]));
  w.Platform.Pace = milliseconds(30);
  w.Platform.OnCall = [&w](const EngineCall &c) { noteCall(w, c); };
  BOOST_LEAF_CHECK(startConsortium(w.Platform, at(ports[0]), served));
  for (std::size_t n = 0; n < engines; ++n) {
    w.Engines.push_back(std::make_unique<SoakEngine>());
    SoakEngine &e = *w.Engines.back();
    e.Port = ports[1 + engines + n];
    BOOST_LEAF_CHECK(startRelay(e.Path, lp, here(e.Port), here(ports[1 + n])));
    listEngine(w, n, "ready");
  }
  writeConfig(w);
  for (std::size_t n = 0; n < fronts; ++n) {
    w.Fronts.push_back(std::make_unique<SoakFront>());
    SoakFront &f = *w.Fronts.back();
    f.Name = "front-" + std::to_string(n);
    const std::uint16_t *p = &ports[1 + 2 * engines + 5 * n];
    f.Ports = {p[0], p[1], p[2], p[3], p[4]};
    BOOST_LEAF_CHECK(startRelay(f.Store, lp, here(p[4]), here(ports[0])));
    f.Settings =
        w.Folder.write(f.Name + ".json", frontSettings(f.Name, f.Ports).dump());
    w.Callers.Fronts.push_back(here(p[0]));
    begin(w, f.Disturbed);
    startFront(w, f);
  }
  w.Callers.Lp = &lp;
  w.Callers.Random = mix64(w.Options.Seed + 1);
  w.Callers.Keys.assign(AllKeys.begin(), AllKeys.end());
  w.FaultsEnd = lp.Now + WarmUp + std::chrono::seconds(w.Options.Seconds);
  w.QuietEnd = w.FaultsEnd + RecoveryTime + WellTime;
  later(w, milliseconds(1200),
        [&w] { startCallers(w.Callers, w.Options.Callers); });
  later(w, WarmUp, [&w] { disturbOnce(w); });
  w.Due.emplace(w.FaultsEnd, [&w] { grantAll(w); });
  w.Due.emplace(w.QuietEnd - milliseconds(1000),
                [&w] { w.Callers.Stopped = true; });
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

void keepLogs(const SoakWorld &w) {
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
