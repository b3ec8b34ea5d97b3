#include "zinniagauge/zinniagauge.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const PoolId Pool = PoolId::of("dossier");
const VersionId Old = VersionId::of("dossier-6");
const VersionId New = VersionId::of("dossier-7");

/// A scheduler with its board, and a clock that the test moves.
struct Fixture {
  Bundle Config;
  EndpointList Endpoints;
  MoveList Moves;
  Scheduler Sched;
  Time Now{seconds(100)};
  std::uint64_t Next = 1;

  explicit Fixture(const std::vector<const char *> &names,
                   std::uint32_t slots = 4) {
    for (const char *name : names) {
      EndpointSpec ep;
      ep.Id = EndpointId::of(name);
      ep.Pool = Pool;
      ep.Version = Old;
      ep.Slots = slots;
      ep.TokensPerSecond = 40 * slots;
      Config.Endpoints.push_back(ep);
      Endpoints.Endpoints.push_back({ep.Id, false, false, 0, {}, {}});
    }
    std::sort(Endpoints.Endpoints.begin(), Endpoints.Endpoints.end(),
              [](const auto &a, const auto &b) { return a.Id < b.Id; });
    for (std::uint64_t n = 1; n <= 3; ++n)
      Config.Workspaces.push_back(
          {"", WorkspaceId{n}, {}, static_cast<std::uint32_t>(n), {}});
    MoveSpec mv;
    mv.Id = MoveId::of("to-7");
    mv.Pool = Pool;
    mv.OldVersion = Old;
    mv.NewVersion = New;
    Config.Moves.push_back(mv);
    Config.Version = 1;
    indexBundle(Config);
    Moves.Moves.push_back({mv.Id, 0, 500, MoveStage::Moving, false, {}});
    Sched.Pool = Pool;
    Sched.Self = VmId::of("vm");
    Sched.Incarnation = 1;
  }

  EndpointState &state(const char *name) {
    const auto it = std::find_if(
        Endpoints.Endpoints.begin(), Endpoints.Endpoints.end(),
        [&](const auto &st) { return st.Id == EndpointId::of(name); });
    return *it;
  }

  Ticket ticket(std::uint8_t rank = 0, std::uint32_t output = 100) {
    Ticket t;
    t.Attempt = {{1, Next++}, 1};
    t.Pool = Pool;
    t.Workspace = WorkspaceId{1};
    t.Rank.Rank = rank;
    t.PromptTokens = 20;
    t.OutputTokens = output;
    t.TimeLeft = seconds(60);
    return t;
  }

  AttemptId ask(const Ticket &t) {
    enqueue(Sched, t, Now);
    return t.Attempt;
  }

  ScheduleActions run() {
    ScheduleActions out;
    step(Sched, {Config, Endpoints, Moves}, Now, out);
    return out;
  }

  void finish(const Grant &g, Duration total, std::uint32_t output = 100) {
    GrantReturn ret;
    ret.Id = g.Id;
    ret.Attempt = g.Attempt;
    ret.Endpoint = g.Endpoint;
    ret.PromptTokens = 20;
    ret.OutputTokens = output;
    ret.FirstTokenTime = milliseconds(10);
    ret.TotalTime = total;
    ret.Dispatched = true;
    returnGrant(Sched, ret, Now);
  }
};

} // namespace

TEST_CASE("the higher tier is served first", "[schedule]") {
  Fixture f({"a"}, 1);
  f.ask(f.ticket(2));
  f.ask(f.ticket(1));
  const AttemptId urgent = f.ask(f.ticket(0));
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Attempt == urgent);
}

TEST_CASE("workspaces share a tier by their weights", "[schedule]") {
  Fixture f({"a"}, 1);
  f.Sched.Policy.EarlyRefusal = false;
  std::map<AttemptId, std::uint64_t> owner;
  for (int n = 0; n < 200; ++n)
    for (std::uint64_t ws = 1; ws <= 3; ++ws) {
      Ticket t = f.ticket();
      t.Workspace = WorkspaceId{ws};
      owner[f.ask(t)] = ws;
    }
  std::map<std::uint64_t, int> served;
  for (int n = 0; n < 120; ++n) {
    const ScheduleActions out = f.run();
    REQUIRE(out.Grants.size() == 1);
    ++served[owner[out.Grants[0].Attempt]];
    f.finish(out.Grants[0], milliseconds(100));
  }
  CHECK(served[1] >= 18);
  CHECK(served[2] >= 38);
  CHECK(served[3] >= 58);
}

TEST_CASE("in a line the nearest deadline comes first", "[schedule]") {
  Fixture f({"a"}, 1);
  f.ask(f.ticket());
  Ticket soon = f.ticket();
  soon.TimeLeft = seconds(20);
  f.ask(soon);
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Attempt == soon.Attempt);
}

TEST_CASE("a label does not wait behind full acts of its tier", "[schedule]") {
  Fixture f({"a", "b"}, 8);
  f.ask(f.ticket(0, 10));
  REQUIRE(f.run().Grants.size() == 1); // Labels come to this pool.
  for (int n = 0; n < 100; ++n)
    f.ask(f.ticket(0, 1000));
  // Each endpoint keeps one of its slots; the first label has one of them.
  CHECK(f.run().Grants.size() == 14);
  const AttemptId label = f.ask(f.ticket(0, 10));
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Attempt == label);
}

TEST_CASE("large work leaves as much room as higher tiers' small work uses",
          "[schedule]") {
  Fixture f({"a"}, 10);
  f.Sched.Policy.EarlyRefusal = false; // The open ones look slow.
  for (int n = 0; n < 6; ++n)
    f.ask(f.ticket(0));
  const ScheduleActions small = f.run();
  REQUIRE(small.Grants.size() == 6);
  for (int n = 0; n < 60; ++n) {
    f.Now += seconds(1);
    for (const Grant &g : small.Grants)
      announce(f.Sched, g, VmId{}, f.Now);
    (void)f.run();
  }
  const AttemptId last = f.ask(f.ticket(0)); // Small ones still come.
  REQUIRE(f.run().Grants.size() == 1);
  cancel(f.Sched, last);
  for (int n = 0; n < 10; ++n)
    f.ask(f.ticket(1, 600));
  // Six in use and a deviation of 2.4 make a reserve of eight.
  CHECK(f.run().Grants.size() == 2);
}

TEST_CASE("small work of a lower tier leaves the room that a large ticket of a "
          "higher tier waits for",
          "[schedule]") {
  Fixture f({"a"}, 8);
  f.Config.Endpoints[0].TokenLimit = 2000;
  f.ask(f.ticket(0, 1400));
  REQUIRE(f.run().Grants.size() == 1);
  const AttemptId large = f.ask(f.ticket(0, 900));
  f.ask(f.ticket(1, 50));
  CHECK(f.run().Grants.empty());
  cancel(f.Sched, {{1, 1}, 1});
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 2);
  CHECK(out.Grants[0].Attempt == large);
}

TEST_CASE("a leaving or draining endpoint gets none, at once", "[schedule]") {
  Fixture f({"a", "b"});
  CHECK(f.run().Grants.empty());
  f.state("a").Leaving = true;
  f.ask(f.ticket());
  ScheduleActions out = f.run(); // At the time of the last reading.
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Endpoint == EndpointId::of("b"));
  f.state("b").Draining = true;
  f.ask(f.ticket());
  out = f.run();
  CHECK(out.Grants.empty());
  f.Now += milliseconds(10);
  CHECK(f.run().Refusals.size() + out.Refusals.size() == 1);
}

TEST_CASE("a ticket goes to the versions that it asks for", "[schedule]") {
  Fixture f({"a", "b"}, 1);
  f.state("b").ReportedVersion = New;
  const auto granted = [&](VersionChoice choice) {
    Ticket t = f.ticket();
    t.Choice = choice;
    t.NewVersion = New;
    f.ask(t);
    const ScheduleActions out = f.run();
    cancel(f.Sched, t.Attempt);
    return out.Grants.empty() ? VersionId{} : out.Grants[0].Version;
  };
  CHECK(granted(VersionChoice::ExceptNew) == Old);
  CHECK(granted(VersionChoice::NewOnly) == New);
  CHECK(granted(VersionChoice::PreferNew) == New);
  Ticket taker = f.ticket();
  taker.Choice = VersionChoice::NewOnly;
  taker.NewVersion = New;
  f.ask(taker);
  REQUIRE(f.run().Grants.size() == 1);
  CHECK(granted(VersionChoice::PreferNew) == Old);
  CHECK(granted(VersionChoice::NewOnly) == VersionId{});
}

TEST_CASE("a bad version and one that was taken back get none", "[schedule]") {
  Fixture f({"a", "b"}, 1);
  f.state("b").ReportedVersion = New;
  f.ask(f.ticket());
  f.ask(f.ticket());
  SECTION("bad") { f.Moves.Moves[0].VersionIsBad = true; }
  SECTION("taken back") { f.Moves.Moves[0].Stage = MoveStage::RolledBack; }
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Version == Old);
}

TEST_CASE("a version that turns bad between two readings gets none",
          "[schedule]") {
  Fixture f({"b"});
  f.state("b").ReportedVersion = New;
  CHECK(f.run().Grants.empty());
  f.Moves.Moves[0].VersionIsBad = true;
  f.ask(f.ticket());
  CHECK(f.run().Grants.empty());
}

TEST_CASE("an unreported grant lapses, an announced one keeps its slot",
          "[schedule]") {
  Fixture f({"a"}, 2);
  f.ask(f.ticket());
  f.ask(f.ticket());
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 2);
  for (int n = 0; n < 10; ++n) {
    f.Now += seconds(1);
    announce(f.Sched, out.Grants[0], VmId::of("entry"), f.Now);
    (void)f.run();
  }
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 1);
  CHECK(f.Sched.Counts.Expired == 1);
  // Its return comes too late to free anything.
  f.finish(out.Grants[1], seconds(1));
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 1);
  f.finish(out.Grants[0], seconds(10));
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 0);
}

TEST_CASE("a restarted scheduler counts what entries announce", "[schedule]") {
  Fixture f({"a"}, 2);
  f.ask(f.ticket());
  f.ask(f.ticket());
  const ScheduleActions before = f.run();
  REQUIRE(before.Grants.size() == 2);
  f.Sched = {};
  f.Sched.Pool = Pool;
  f.Sched.Incarnation = 2;
  for (const Grant &g : before.Grants)
    announce(f.Sched, g, VmId::of("entry"), f.Now);
  f.ask(f.ticket());
  CHECK(f.run().Grants.empty());
  f.finish(before.Grants[0], seconds(1));
  CHECK(f.run().Grants.size() == 1);
}

TEST_CASE("repeated messages change nothing", "[schedule]") {
  Fixture f({"a"}, 4);
  const Ticket t = f.ticket();
  f.ask(t);
  f.ask(t);
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 1);
  f.ask(t);
  CHECK(f.run().Grants.empty());
  f.finish(out.Grants[0], seconds(1));
  f.finish(out.Grants[0], seconds(1));
  cancel(f.Sched, t.Attempt);
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 0);
}

TEST_CASE("what can't meet its deadline is refused on the way in",
          "[schedule]") {
  Fixture f({"a"}, 4); // Stated: 40 tokens a second for one request.
  Ticket t = f.ticket(0, 400);
  t.TimeLeft = seconds(5);
  f.ask(t);
  const ScheduleActions out = f.run();
  REQUIRE(out.Refusals.size() == 1);
  CHECK(out.Refusals[0].Reason == RefusalReason::TooLate);
}

TEST_CASE("a queued ticket is refused once it can't be done in time",
          "[schedule]") {
  Fixture f({"a"}, 1);
  f.ask(f.ticket());
  REQUIRE(f.run().Grants.size() == 1);
  Ticket t = f.ticket(0, 400);
  t.TimeLeft = seconds(15);
  f.ask(t);
  CHECK(f.run().Refusals.empty());
  f.Now += seconds(6);
  const ScheduleActions out = f.run();
  REQUIRE(out.Refusals.size() == 1);
  CHECK(out.Refusals[0].Reason == RefusalReason::TooLate);
}

TEST_CASE("a full queue sheds its lowest tier, of the workspace with most",
          "[schedule]") {
  Fixture f({"a"}, 1);
  f.Sched.Policy.MaxQueued = 5;
  f.ask(f.ticket());
  REQUIRE(f.run().Grants.size() == 1);
  Ticket few = f.ticket(2);
  few.Workspace = WorkspaceId{2};
  f.ask(few);
  for (int n = 0; n < 4; ++n)
    f.ask(f.ticket(2));
  CHECK(f.run().Refusals.empty());
  f.ask(f.ticket(0));
  f.ask(f.ticket(1));
  const ScheduleActions out = f.run();
  REQUIRE(out.Refusals.size() == 2);
  for (const Refusal &r : out.Refusals) {
    CHECK(r.Reason == RefusalReason::Shed);
    CHECK(r.Attempt != few.Attempt);
  }
  CHECK(f.Sched.Queue.Tiers[0].Count == 1);
  CHECK(f.Sched.Queue.Tiers[1].Count == 1);
}

TEST_CASE("a slowed endpoint gets less, is probed, and comes back",
          "[schedule]") {
  Fixture f({"a", "b"}, 4);
  const EndpointId slow = EndpointId::of("a");
  const auto round = [&](Duration slowtime) {
    f.Now += seconds(1);
    int toslow = 0;
    for (int n = 0; n < 4; ++n) {
      f.ask(f.ticket(1));
      const ScheduleActions out = f.run();
      REQUIRE(out.Grants.size() == 1);
      const bool there = out.Grants[0].Endpoint == slow;
      toslow += there ? 1 : 0;
      f.finish(out.Grants[0], there ? slowtime : milliseconds(2500));
    }
    return toslow;
  };
  for (int n = 0; n < 20; ++n)
    (void)round(seconds(25));
  int probes = 0;
  for (int n = 0; n < 20; ++n)
    probes += round(seconds(25));
  CHECK(probes >= 5); // One in about two seconds, of 80 tickets.
  CHECK(probes <= 10);
  const auto burst = [&] {
    f.Now += milliseconds(100);
    for (int n = 0; n < 8; ++n) {
      Ticket t = f.ticket();
      t.TimeLeft = seconds(6);
      f.ask(t);
    }
    const ScheduleActions out = f.run();
    for (const Grant &g : out.Grants)
      f.finish(g, milliseconds(2500));
    f.Now += seconds(10);
    (void)f.run();
    return out.Grants.size();
  };
  CHECK(burst() == 4); // It could not meet these deadlines.
  for (int n = 0; n < 20; ++n)
    (void)round(milliseconds(2400));
  CHECK(burst() == 8);
}

TEST_CASE("a grant that takes too long teaches before it ends", "[schedule]") {
  Fixture f({"a", "b"}, 4);
  f.ask(f.ticket());
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 1);
  const EndpointId slow = out.Grants[0].Endpoint;
  for (int n = 0; n < 20; ++n) {
    f.Now += seconds(1);
    announce(f.Sched, out.Grants[0], VmId{}, f.Now);
    (void)f.run();
  }
  f.ask(f.ticket());
  const ScheduleActions next = f.run();
  REQUIRE(next.Grants.size() == 1);
  CHECK(next.Grants[0].Endpoint != slow);
}

TEST_CASE("a failing endpoint gets nothing for a while, then one at a time",
          "[schedule]") {
  Fixture f({"a"}, 4);
  f.ask(f.ticket());
  const ScheduleActions out = f.run();
  GrantReturn ret;
  ret.Id = out.Grants.at(0).Id;
  ret.Attempt = out.Grants[0].Attempt;
  ret.Endpoint = out.Grants[0].Endpoint;
  ret.Dispatched = true;
  ret.EndpointFailed = true;
  returnGrant(f.Sched, ret, f.Now);
  f.ask(f.ticket());
  f.ask(f.ticket());
  CHECK(f.run().Grants.empty());
  f.Now += milliseconds(250);
  const ScheduleActions again = f.run();
  REQUIRE(again.Grants.size() == 1);
  f.finish(again.Grants[0], seconds(1));
  CHECK(f.run().Grants.size() == 1);
}

TEST_CASE("a load report counts by its age, and an old one not at all",
          "[schedule]") {
  Fixture f({"a"}, 10);
  f.state("a").Load = LoadReport{f.Now, 8, 0, 0};
  for (int n = 0; n < 20; ++n)
    f.ask(f.ticket());
  CHECK(f.run().Grants.size() == 2);
  f.Now += milliseconds(1000);
  CHECK(f.run().Grants.size() == 4); // Half of the eight is still believed.
  f.Now += milliseconds(1000);
  CHECK(f.run().Grants.size() == 4);
}

TEST_CASE("a report of what this scheduler itself has there adds nothing",
          "[schedule]") {
  Fixture f({"a"}, 10);
  for (int n = 0; n < 6; ++n)
    f.ask(f.ticket());
  CHECK(f.run().Grants.size() == 6);
  f.Now += milliseconds(200);
  (void)f.run();
  f.state("a").Load = LoadReport{f.Now, 6, 0, 0};
  f.Now += milliseconds(100);
  for (int n = 0; n < 6; ++n)
    f.ask(f.ticket());
  CHECK(f.run().Grants.size() == 4);
}

TEST_CASE("a prefix goes where it was, if that costs less than it saves",
          "[schedule]") {
  Fixture f({"a", "b", "c"}, 4);
  Ticket t = f.ticket();
  t.PromptTokens = 2000;
  t.PrefixHash = 77;
  f.ask(t);
  const ScheduleActions first = f.run();
  REQUIRE(first.Grants.size() == 1);
  int same = 0;
  for (int n = 0; n < 3; ++n) {
    Ticket more = f.ticket();
    more.PromptTokens = 2000;
    more.PrefixHash = 77;
    f.ask(more);
    const ScheduleActions out = f.run();
    REQUIRE(out.Grants.size() == 1);
    same += out.Grants[0].Endpoint == first.Grants[0].Endpoint ? 1 : 0;
  }
  CHECK(same == 3);
  // The holder is full: the next one holds out for a moment, then goes on.
  Ticket last = f.ticket();
  last.PromptTokens = 2000;
  last.PrefixHash = 77;
  f.ask(last);
  CHECK(f.run().Grants.empty());
  f.Now += seconds(3);
  CHECK(f.run().Grants.size() == 1);
}

TEST_CASE("without any endpoint to serve it a ticket is refused at once",
          "[schedule]") {
  Fixture f({"a"});
  Ticket t = f.ticket();
  t.Choice = VersionChoice::NewOnly;
  t.NewVersion = New;
  f.ask(t);
  const ScheduleActions out = f.run();
  REQUIRE(out.Refusals.size() == 1);
  CHECK(out.Refusals[0].Reason == RefusalReason::NoEndpoint);
}

TEST_CASE("a zone's scheduler uses its zone's endpoints", "[schedule]") {
  Fixture f({"a", "b"});
  f.Config.Endpoints[0].Zone = ZoneId::of("hvar");
  f.Config.Endpoints[1].Zone = ZoneId::of("split");
  f.Sched.Zone = ZoneId::of("split");
  for (int n = 0; n < 8; ++n)
    f.ask(f.ticket());
  const ScheduleActions out = f.run();
  REQUIRE(out.Grants.size() == 4);
  for (const Grant &g : out.Grants)
    CHECK(g.Endpoint == EndpointId::of("b"));
}
