// Tests of one scheduler with a board and a clock that the test controls.
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

/// A scheduler with its board, and a clock that the test advances.
struct Fixture {
  Bundle Config;
  EndpointList Endpoints;
  MoveList Moves;
  Scheduler Sched;
  Time Now{seconds(100)};
  std::uint64_t NextRequest = 1;

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
    t.Attempt = {{1, NextRequest++}, 1};
    t.Pool = Pool;
    t.Workspace = WorkspaceId{1};
    t.Rank.Rank = rank;
    t.PromptTokens = 20;
    t.OutputTokens = output;
    t.TimeLeft = seconds(60);
    return t;
  }

  AttemptId submit(const Ticket &t) {
    enqueue(Sched, t, Now);
    return t.Attempt;
  }

  ScheduleActions runStep() {
    ScheduleActions out;
    step(Sched, {Config, Endpoints, Moves}, Now, out);
    return out;
  }

  void complete(const Grant &g, Duration total, std::uint32_t output = 100) {
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
  f.submit(f.ticket(2));
  f.submit(f.ticket(1));
  const AttemptId urgent = f.submit(f.ticket(0));
  const ScheduleActions out = f.runStep();
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
      owner[f.submit(t)] = ws;
    }
  std::map<std::uint64_t, int> served;
  for (int n = 0; n < 120; ++n) {
    const ScheduleActions out = f.runStep();
    REQUIRE(out.Grants.size() == 1);
    ++served[owner[out.Grants[0].Attempt]];
    f.complete(out.Grants[0], milliseconds(100));
  }
  CHECK(served[1] >= 18);
  CHECK(served[2] >= 38);
  CHECK(served[3] >= 58);
}

TEST_CASE("within a workspace the earliest deadline is served first",
          "[schedule]") {
  Fixture f({"a"}, 1);
  f.submit(f.ticket());
  Ticket soon = f.ticket();
  soon.TimeLeft = seconds(20);
  f.submit(soon);
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Attempt == soon.Attempt);
}

TEST_CASE("a small ticket does not wait behind large ones of its tier",
          "[schedule]") {
  Fixture f({"a", "b"}, 8);
  f.submit(f.ticket(0, 10));
  REQUIRE(f.runStep().Grants.size() == 1); // Shows that small tickets arrive.
  for (int n = 0; n < 100; ++n)
    f.submit(f.ticket(0, 1000));
  // Each endpoint reserves one of its slots; the first small ticket uses one of
  // them.
  CHECK(f.runStep().Grants.size() == 14);
  const AttemptId label = f.submit(f.ticket(0, 10));
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Attempt == label);
}

TEST_CASE(
    "large tickets leave as much capacity as small tickets of higher tiers use",
    "[schedule]") {
  Fixture f({"a"}, 10);
  // The open grants would make the endpoint look slow.
  f.Sched.Policy.EarlyRefusal = false;
  for (int n = 0; n < 6; ++n)
    f.submit(f.ticket(0));
  const ScheduleActions small = f.runStep();
  REQUIRE(small.Grants.size() == 6);
  for (int n = 0; n < 60; ++n) {
    f.Now += seconds(1);
    for (const Grant &g : small.Grants)
      announce(f.Sched, g, VmId{}, f.Now);
    (void)f.runStep();
  }
  const AttemptId last = f.submit(f.ticket(0)); // Small tickets still arrive.
  REQUIRE(f.runStep().Grants.size() == 1);
  cancel(f.Sched, last);
  for (int n = 0; n < 10; ++n)
    f.submit(f.ticket(1, 600));
  // Six in use plus one standard deviation of 2.4 make a reserve of eight.
  CHECK(f.runStep().Grants.size() == 2);
}

TEST_CASE("small tickets of a lower tier leave the capacity that a large "
          "ticket of a higher tier waits for",
          "[schedule]") {
  Fixture f({"a"}, 8);
  f.Config.Endpoints[0].TokenLimit = 2000;
  f.submit(f.ticket(0, 1400));
  REQUIRE(f.runStep().Grants.size() == 1);
  const AttemptId large = f.submit(f.ticket(0, 900));
  f.submit(f.ticket(1, 50));
  CHECK(f.runStep().Grants.empty());
  cancel(f.Sched, {{1, 1}, 1});
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 2);
  CHECK(out.Grants[0].Attempt == large);
}

TEST_CASE(
    "a leaving or draining endpoint gets no grants, effective immediately",
    "[schedule]") {
  Fixture f({"a", "b"});
  CHECK(f.runStep().Grants.empty());
  f.state("a").Leaving = true;
  f.submit(f.ticket());
  // No time has passed since the board was last read.
  ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Endpoint == EndpointId::of("b"));
  f.state("b").Draining = true;
  f.submit(f.ticket());
  out = f.runStep();
  CHECK(out.Grants.empty());
  f.Now += milliseconds(10);
  CHECK(f.runStep().Refusals.size() + out.Refusals.size() == 1);
}

TEST_CASE("a ticket is granted only for the versions that it allows",
          "[schedule]") {
  Fixture f({"a", "b"}, 1);
  f.state("b").ReportedVersion = New;
  const auto granted = [&](VersionChoice choice) {
    Ticket t = f.ticket();
    t.Choice = choice;
    t.NewVersion = New;
    f.submit(t);
    const ScheduleActions out = f.runStep();
    cancel(f.Sched, t.Attempt);
    return out.Grants.empty() ? VersionId{} : out.Grants[0].Version;
  };
  CHECK(granted(VersionChoice::ExceptNew) == Old);
  CHECK(granted(VersionChoice::NewOnly) == New);
  CHECK(granted(VersionChoice::PreferNew) == New);
  Ticket occupying = f.ticket();
  occupying.Choice = VersionChoice::NewOnly;
  occupying.NewVersion = New;
  f.submit(occupying);
  REQUIRE(f.runStep().Grants.size() == 1);
  CHECK(granted(VersionChoice::PreferNew) == Old);
  CHECK(granted(VersionChoice::NewOnly) == VersionId{});
}

TEST_CASE("a bad version and one that was rolled back get no grants",
          "[schedule]") {
  Fixture f({"a", "b"}, 1);
  f.state("b").ReportedVersion = New;
  f.submit(f.ticket());
  f.submit(f.ticket());
  SECTION("bad") { f.Moves.Moves[0].VersionIsBad = true; }
  SECTION("rolled back") { f.Moves.Moves[0].Stage = MoveStage::RolledBack; }
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 1);
  CHECK(out.Grants[0].Version == Old);
}

TEST_CASE(
    "a version that turns bad between two reads of the board gets no grants",
    "[schedule]") {
  Fixture f({"b"});
  f.state("b").ReportedVersion = New;
  CHECK(f.runStep().Grants.empty());
  f.Moves.Moves[0].VersionIsBad = true;
  f.submit(f.ticket());
  CHECK(f.runStep().Grants.empty());
}

TEST_CASE("an unreported grant expires, an announced one keeps its slot",
          "[schedule]") {
  Fixture f({"a"}, 2);
  f.submit(f.ticket());
  f.submit(f.ticket());
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 2);
  for (int n = 0; n < 10; ++n) {
    f.Now += seconds(1);
    announce(f.Sched, out.Grants[0], VmId::of("entry"), f.Now);
    (void)f.runStep();
  }
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 1);
  CHECK(f.Sched.Counts.Expired == 1);
  // Its return comes after it has expired, so it frees nothing.
  f.complete(out.Grants[1], seconds(1));
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 1);
  f.complete(out.Grants[0], seconds(10));
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 0);
}

TEST_CASE("a restarted scheduler counts what entries announce", "[schedule]") {
  Fixture f({"a"}, 2);
  f.submit(f.ticket());
  f.submit(f.ticket());
  const ScheduleActions previous = f.runStep();
  REQUIRE(previous.Grants.size() == 2);
  f.Sched = {};
  f.Sched.Pool = Pool;
  f.Sched.Incarnation = 2;
  for (const Grant &g : previous.Grants)
    announce(f.Sched, g, VmId::of("entry"), f.Now);
  f.submit(f.ticket());
  CHECK(f.runStep().Grants.empty());
  f.complete(previous.Grants[0], seconds(1));
  CHECK(f.runStep().Grants.size() == 1);
}

TEST_CASE("duplicated messages have no effect", "[schedule]") {
  Fixture f({"a"}, 4);
  const Ticket t = f.ticket();
  f.submit(t);
  f.submit(t);
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 1);
  f.submit(t);
  CHECK(f.runStep().Grants.empty());
  f.complete(out.Grants[0], seconds(1));
  f.complete(out.Grants[0], seconds(1));
  cancel(f.Sched, t.Attempt);
  CHECK(inFlight(f.Sched, EndpointId::of("a")) == 0);
}

TEST_CASE("a ticket that can't meet its deadline is refused on arrival",
          "[schedule]") {
  Fixture f({"a"}, 4); // Configured: 40 tokens per second for one request.
  Ticket t = f.ticket(0, 400);
  t.TimeLeft = seconds(5);
  f.submit(t);
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Refusals.size() == 1);
  CHECK(out.Refusals[0].Reason == RefusalReason::TooLate);
}

TEST_CASE("a queued ticket is refused once it can't meet its deadline",
          "[schedule]") {
  Fixture f({"a"}, 1);
  f.submit(f.ticket());
  REQUIRE(f.runStep().Grants.size() == 1);
  Ticket t = f.ticket(0, 400);
  t.TimeLeft = seconds(15);
  f.submit(t);
  CHECK(f.runStep().Refusals.empty());
  f.Now += seconds(6);
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Refusals.size() == 1);
  CHECK(out.Refusals[0].Reason == RefusalReason::TooLate);
}

TEST_CASE(
    "a full queue sheds from its lowest tier and the largest workspace backlog",
    "[schedule]") {
  Fixture f({"a"}, 1);
  f.Sched.Policy.MaxQueued = 5;
  f.submit(f.ticket());
  REQUIRE(f.runStep().Grants.size() == 1);
  Ticket few = f.ticket(2);
  few.Workspace = WorkspaceId{2};
  f.submit(few);
  for (int n = 0; n < 4; ++n)
    f.submit(f.ticket(2));
  CHECK(f.runStep().Refusals.empty());
  f.submit(f.ticket(0));
  f.submit(f.ticket(1));
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Refusals.size() == 2);
  for (const Refusal &r : out.Refusals) {
    CHECK(r.Reason == RefusalReason::Shed);
    CHECK(r.Attempt != few.Attempt);
  }
  CHECK(f.Sched.Queue.Tiers[0].Count == 1);
  CHECK(f.Sched.Queue.Tiers[1].Count == 1);
}

TEST_CASE("a slow endpoint gets fewer grants, is probed, and recovers",
          "[schedule]") {
  Fixture f({"a", "b"}, 4);
  const EndpointId slow = EndpointId::of("a");
  const auto round = [&](Duration slowtime) {
    f.Now += seconds(1);
    int slowcount = 0;
    for (int n = 0; n < 4; ++n) {
      f.submit(f.ticket(1));
      const ScheduleActions out = f.runStep();
      REQUIRE(out.Grants.size() == 1);
      const bool atslow = out.Grants[0].Endpoint == slow;
      slowcount += atslow ? 1 : 0;
      f.complete(out.Grants[0], atslow ? slowtime : milliseconds(2500));
    }
    return slowcount;
  };
  for (int n = 0; n < 20; ++n)
    (void)round(seconds(25));
  int probes = 0;
  for (int n = 0; n < 20; ++n)
    probes += round(seconds(25));
  CHECK(probes >= 5); // One probe about every two seconds, out of 80 tickets.
  CHECK(probes <= 10);
  const auto burst = [&] {
    f.Now += milliseconds(100);
    for (int n = 0; n < 8; ++n) {
      Ticket t = f.ticket();
      t.TimeLeft = seconds(6);
      f.submit(t);
    }
    const ScheduleActions out = f.runStep();
    for (const Grant &g : out.Grants)
      f.complete(g, milliseconds(2500));
    f.Now += seconds(10);
    (void)f.runStep();
    return out.Grants.size();
  };
  CHECK(burst() == 4); // The slow endpoint could not meet these deadlines.
  for (int n = 0; n < 20; ++n)
    (void)round(milliseconds(2400));
  CHECK(burst() == 8);
}

TEST_CASE("an overdue grant lowers the speed estimate before it ends",
          "[schedule]") {
  Fixture f({"a", "b"}, 4);
  f.submit(f.ticket());
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 1);
  const EndpointId slow = out.Grants[0].Endpoint;
  for (int n = 0; n < 20; ++n) {
    f.Now += seconds(1);
    announce(f.Sched, out.Grants[0], VmId{}, f.Now);
    (void)f.runStep();
  }
  f.submit(f.ticket());
  const ScheduleActions next = f.runStep();
  REQUIRE(next.Grants.size() == 1);
  CHECK(next.Grants[0].Endpoint != slow);
}

TEST_CASE("a failing endpoint backs off, then gets one grant at a time",
          "[schedule]") {
  Fixture f({"a"}, 4);
  f.submit(f.ticket());
  const ScheduleActions out = f.runStep();
  GrantReturn ret;
  ret.Id = out.Grants.at(0).Id;
  ret.Attempt = out.Grants[0].Attempt;
  ret.Endpoint = out.Grants[0].Endpoint;
  ret.Dispatched = true;
  ret.EndpointFailed = true;
  returnGrant(f.Sched, ret, f.Now);
  f.submit(f.ticket());
  f.submit(f.ticket());
  CHECK(f.runStep().Grants.empty());
  f.Now += milliseconds(250);
  const ScheduleActions again = f.runStep();
  REQUIRE(again.Grants.size() == 1);
  f.complete(again.Grants[0], seconds(1));
  CHECK(f.runStep().Grants.size() == 1);
}

TEST_CASE("a load report is weighted by its age, and an old one is ignored",
          "[schedule]") {
  Fixture f({"a"}, 10);
  f.state("a").Load = LoadReport{f.Now, 8, 0, 0};
  for (int n = 0; n < 20; ++n)
    f.submit(f.ticket());
  CHECK(f.runStep().Grants.size() == 2);
  f.Now += milliseconds(1000);
  // Half of the eight reported requests still count.
  CHECK(f.runStep().Grants.size() == 4);
  f.Now += milliseconds(1000);
  CHECK(f.runStep().Grants.size() == 4);
}

TEST_CASE("reported load that is this scheduler's own is not counted twice",
          "[schedule]") {
  Fixture f({"a"}, 10);
  for (int n = 0; n < 6; ++n)
    f.submit(f.ticket());
  CHECK(f.runStep().Grants.size() == 6);
  f.Now += milliseconds(200);
  (void)f.runStep();
  f.state("a").Load = LoadReport{f.Now, 6, 0, 0};
  f.Now += milliseconds(100);
  for (int n = 0; n < 6; ++n)
    f.submit(f.ticket());
  CHECK(f.runStep().Grants.size() == 4);
}

TEST_CASE("a prefix returns to its holder if the wait costs less than it saves",
          "[schedule]") {
  Fixture f({"a", "b", "c"}, 4);
  Ticket t = f.ticket();
  t.PromptTokens = 2000;
  t.PrefixHash = 77;
  f.submit(t);
  const ScheduleActions first = f.runStep();
  REQUIRE(first.Grants.size() == 1);
  int same = 0;
  for (int n = 0; n < 3; ++n) {
    Ticket more = f.ticket();
    more.PromptTokens = 2000;
    more.PrefixHash = 77;
    f.submit(more);
    const ScheduleActions out = f.runStep();
    REQUIRE(out.Grants.size() == 1);
    same += out.Grants[0].Endpoint == first.Grants[0].Endpoint ? 1 : 0;
  }
  CHECK(same == 3);
  // The holder is full: the next ticket waits for it briefly, then goes to
  // another endpoint.
  Ticket last = f.ticket();
  last.PromptTokens = 2000;
  last.PrefixHash = 77;
  f.submit(last);
  CHECK(f.runStep().Grants.empty());
  f.Now += seconds(3);
  CHECK(f.runStep().Grants.size() == 1);
}

TEST_CASE("a ticket that no endpoint may serve is refused immediately",
          "[schedule]") {
  Fixture f({"a"});
  Ticket t = f.ticket();
  t.Choice = VersionChoice::NewOnly;
  t.NewVersion = New;
  f.submit(t);
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Refusals.size() == 1);
  CHECK(out.Refusals[0].Reason == RefusalReason::NoEndpoint);
}

TEST_CASE("a zone's scheduler uses only endpoints of its zone", "[schedule]") {
  Fixture f({"a", "b"});
  f.Config.Endpoints[0].Zone = ZoneId::of("hvar");
  f.Config.Endpoints[1].Zone = ZoneId::of("split");
  f.Sched.Zone = ZoneId::of("split");
  for (int n = 0; n < 8; ++n)
    f.submit(f.ticket());
  const ScheduleActions out = f.runStep();
  REQUIRE(out.Grants.size() == 4);
  for (const Grant &g : out.Grants)
    CHECK(g.Endpoint == EndpointId::of("b"));
}
