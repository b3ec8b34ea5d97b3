// Tests the use of the loads that back ends report in their responses.
#include "zinniagauge/front/reported_load.h"

#include "support/tested_front_loop.h"
#include "zinniagauge/store/gossip_report.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;

namespace {

constexpr Time Start{std::chrono::seconds(100)};

/// The estimate for a back end of six slots \p age after it said \p said, if
/// the fronts know of \p learnt calls at 10 ms for each event.
LoadEstimate estimateAfter(Duration age, ReportedLoad said, double learnt,
                           const CallsSince &since = {}) {
  said.At = Start;
  return estimateLoad(said, {learnt, 10, false}, 6, since, Start + age);
}

/// The part of the calls in each of three spans that 75 fronts send to the
/// first of eight back ends: before, while it takes three times as long for
/// half a second, and from one second after that.
std::vector<double> partsOfSlowBackend() {
  constexpr std::size_t Backends = 8;
  constexpr std::size_t Fronts = 75;
  constexpr int SlowFrom = 2000;
  constexpr int SlowTo = 2500;
  constexpr int End = 5500;
  constexpr int MaxView = 500;
  struct Instant {
    std::array<double, Backends> Running{};
    double FirstPace = 100;
  };
  constexpr int Rounds = 20;
  std::mt19937 random(7);
  std::deque<Instant> past(MaxView + 1);
  std::vector<std::pair<std::size_t, double>> calls; // Back end, events left.
  std::array<double, 3> sent{};
  std::array<double, 3> first{};
  for (int n = 0; n < Rounds * End; ++n) {
    const int ms = n % End;
    Instant now;
    now.FirstPace = ms >= SlowFrom && ms < SlowTo ? 300 : 100;
    for (auto &[at, left] : calls)
      left -= (at == 0 ? 100 / now.FirstPace : 1) / 10;
    std::erase_if(calls, [](const auto &c) { return c.second <= 0; });
    for (const auto &[at, left] : calls)
      ++now.Running.at(at);
    past.push_front(now);
    past.pop_back();
    // With more calls the growing load alone would keep others away.
    if (random() % 1000 >= 150) // 0.15 calls of 50 ms in each ms, 48 slots.
      continue;
    const int age = 10 + static_cast<int>((random() % Fronts) * 490 / Fronts);
    const Instant &seen = past.at(static_cast<std::size_t>(age));
    std::vector<Candidate> list(Backends);
    for (std::size_t b = 0; b < Backends; ++b) {
      const auto held = static_cast<std::uint32_t>(seen.Running.at(b));
      const ReportedLoad said{
          held, 0, 6, b == 0 ? static_cast<std::uint32_t>(seen.FirstPace) : 100,
          Start + milliseconds(n - age)};
      const LoadEstimate e = estimateLoad(said, {seen.Running.at(b), 10, false},
                                          6, {}, Start + milliseconds(n));
      list[b].Running = e.Running;
      list[b].EventMs =
          e.EventMs * (1 + static_cast<double>(random() % 100) / 1000);
      list[b].Slots = 6;
      list[b].SameZone = true;
    }
    CallEstimate work;
    work.ExpectedEvents = 5;
    work.TargetLeftMs = 1000;
    work.TimeLeftMs = 10000;
    const auto to = chooseBackend(list, work, ChoiceWeights());
    if (!to)
      continue;
    calls.emplace_back(*to, 5);
    const int span = ms < SlowFrom                        ? 0
                     : ms >= SlowFrom + 50 && ms < SlowTo ? 1
                     : ms >= SlowTo + 1000                ? 2
                                                          : -1;
    if (span < 0)
      continue;
    ++sent.at(static_cast<std::size_t>(span));
    first.at(static_cast<std::size_t>(span)) += *to == 0 ? 1 : 0;
  }
  return {first[0] / sent[0], first[1] / sent[1], first[2] / sent[2]};
}

/// Serves a plain call with the header lines \p more; returns the back end.
std::size_t serve(TestedFrontLoop &f, const std::string &more) {
  static int number = 0;
  const std::string id = "r-" + std::to_string(++number);
  f.request(id, {}, "/safe/x");
  auto [at, conn] = f.acceptAny();
  REQUIRE(conn.Fd >= 0);
  static_cast<void>(f.receive(conn, "\r\n\r\n"));
  f.send(conn, "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + id +
                   "\r\nZinniagauge-Response-Seal: s\r\n" + more +
                   "Connection: close\r\nContent-Length: 0\r\n\r\n");
  static_cast<void>(f.receive(f.Caller, "\r\n\r\n"));
  return at;
}

} // namespace

TEST_CASE("reported loads that make no sense are dropped", "[load]") {
  CHECK(parseReportedLoad("5,2,6") == ReportedLoad{5, 2, 6, 0, Time()});
  CHECK(parseReportedLoad("5, 2, 6, 300") == ReportedLoad{5, 2, 6, 300, {}});
  CHECK(parseReportedLoad("100000,100000,65535,100000"));
  for (const std::string &text :
       {std::string(), std::string("5,2"), std::string("5,2,6,100,1"),
        std::string("-1,2,6,100"), std::string("5,,6,100"),
        std::string("5,2,6,"), std::string("5,2,6,0"), std::string("5,2,6,1e2"),
        std::string("100001,0,6,100"), std::string("5,100001,6,100"),
        std::string("5,2,65536,100"), std::string("5,2,6,100001"),
        std::string(100, '9') + ",2,6,100", std::string("5;2;6")}) {
    INFO(text);
    CHECK_FALSE(parseReportedLoad(text));
  }
}

TEST_CASE("a reported load counts while it is fresh", "[load]") {
  const ReportedLoad busy{6, 4, 6, 100, {}};
  CHECK(estimateAfter({}, busy, 3).Running == 10);
  CHECK(estimateAfter({}, busy, 3, {2, 1, 0}).Running == 11);
  const double later = estimateAfter(milliseconds(75), busy, 3).Running;
  CHECK((later > 5 && later < 8));
  CHECK(estimateAfter(milliseconds(200), busy, 3).Running == 3);
  // Many fronts would send to a back end that said a while ago that it is idle.
  CHECK(estimateAfter({}, {0, 0, 6, 100, {}}, 5).Running == 5);
  // Running may include the calls that wait.
  CHECK(estimateAfter({}, {10, 4, 6, 100, {}}, 3).Running == 10);
  // Three figures change nothing.
  const LoadEstimate unchanged = estimateAfter({}, {6, 4, 6, 0, {}}, 3);
  CHECK(unchanged.Running == 3);
  CHECK_FALSE(unchanged.HasWaiting);
}

TEST_CASE("a back end with waiting calls gets none until as many have ended",
          "[load]") {
  const ReportedLoad said{6, 3, 6, 100, {}};
  CHECK(estimateAfter(milliseconds(900), said, 3).HasWaiting);
  CHECK(estimateAfter(milliseconds(900), said, 3, {5, 1, 1}).HasWaiting);
  CHECK_FALSE(estimateAfter(milliseconds(9), said, 3, {0, 2, 1}).HasWaiting);
  // Ends may go unseen.
  CHECK_FALSE(estimateAfter(std::chrono::seconds(4), said, 3).HasWaiting);
  Candidate waiting;
  waiting.Running = 9;
  waiting.LearntRunning = 5;
  waiting.Slots = 6;
  waiting.HasWaiting = true;
  Candidate other;
  other.Running = 6;
  other.Slots = 6;
  std::vector<Candidate> list = {waiting, other};
  allowOnlyCandidate(list);
  CHECK_FALSE(chooseBackend(list, {}, {}));
  list[1].Usable = false;
  allowOnlyCandidate(list);
  CHECK(chooseBackend(list, {}, {}) == 0U);
}

TEST_CASE("a reported pace decays, and isn't counted twice", "[load]") {
  const ReportedLoad slow{2, 0, 6, 300, {}};
  CHECK(estimateAfter({}, slow, 2).EventMs == Approx(30));
  CHECK(estimateAfter(milliseconds(250), slow, 2).EventMs == Approx(20));
  CHECK(estimateAfter(milliseconds(500), slow, 2).EventMs == Approx(10));
  // A time measured while the back end was slow is not its usual one.
  LoadReports reports;
  for (int ms = 0; ms <= 600; ms += 100)
    addOwnReport(reports,
                 {2, 0, 6, ms < 300 ? 300U : 100U, Start + milliseconds(ms)},
                 0);
  CHECK(usualSpan(reports.Paces, Start, Start + milliseconds(600)) ==
        milliseconds(400));
  CHECK(usualSpan({}, Start, Start + milliseconds(600)) == milliseconds(600));
}

TEST_CASE("the newest report counts, also of other fronts", "[load]") {
  LoadReports reports;
  recordChange(reports.Calls, 1, Start - milliseconds(5));
  addOwnReport(reports, {4, 2, 6, 100, Start}, 9);
  recordChange(reports.Calls, 1, Start + milliseconds(30));
  recordChange(reports.Calls, -1, Start + milliseconds(40));
  CHECK(callsSince(reports, 7).Sent == 1);
  CHECK(callsSince(reports, 7).Ended == 1);
  CHECK(callsSince(reports, 7).PeersEnded == 2);
  CHECK_FALSE(
      addPeerReport(reports, {1, 0, 0, 100, Start - milliseconds(1)}, 9));
  // The own report came back, and its age was rounded.
  CHECK_FALSE(
      addPeerReport(reports, {4, 2, 0, 100, Start + milliseconds(2)}, 9));
  CHECK(addPeerReport(reports, {1, 0, 0, 100, Start + milliseconds(35)}, 9));
  CHECK(callsSince(reports, 9).Sent == 0);
  CHECK(callsSince(reports, 9).Ended == 1);
}

TEST_CASE("a back end that is slow for half a second gets less for that time",
          "[load]") {
  const std::vector<double> parts = partsOfSlowBackend();
  INFO(parts[0] << " " << parts[1] << " " << parts[2]);
  CHECK(parts[0] > 0.1);
  CHECK(parts[1] < 0.6 * parts[0]);
  CHECK(parts[2] > 0.85 * parts[0]);
}

TEST_CASE("fronts share the newest report with its age", "[load][gossip]") {
  const Time now = monotonicNow();
  const ReportedLoad said{4, 2, 0, 250, now - milliseconds(40)};
  const BackendLoad load{EndpointId{7}, 1, 0, 0, said};
  GossipReport rep;
  rep.Loads = {load, {EndpointId{8}, 1, 0, 0, {}}};
  const auto copy = decodeReport(encodeReport(rep));
  REQUIRE(copy);
  ReportedLoad got = copy->Loads.at(0).Reported;
  CHECK(std::chrono::abs(got.At - said.At) < milliseconds(20));
  CHECK(got.At <= said.At);
  got.At = said.At;
  CHECK(got == said);
  CHECK(copy->Loads.at(1).Reported == ReportedLoad());

  BackendLoad newer = load;
  newer.Reported = {9, 5, 0, 100, now};
  for (const auto &[a, b] : {std::pair(load, newer), std::pair(newer, load)}) {
    std::vector<BackendLoad> sum = {a};
    addLoads(sum, std::vector{b});
    CHECK(sum.at(0).Running == 2);
    CHECK(sum.at(0).Reported == newer.Reported);
    CHECK(subtractLoads(sum, std::vector{b}).at(0).Reported == newer.Reported);
  }
  BackendLoad aged = load;
  aged.Reported.At = now;
  CHECK(changedLoads(std::vector{load}, std::vector{aged}).empty());
  CHECK(changedLoads(std::vector{load}, std::vector{newer}).size() == 1);
}

TEST_CASE("a front sends nothing to a back end that says calls wait there",
          "[load][front]") {
  for (const bool fourth : {false, true}) {
    TestedFrontLoop f(2);
    const auto servedbyfirst = [&](const std::string &more) {
      f.Rl->Backends.at(f.Backends.at(0).Info.Id)->EventMs = 1;
      f.Rl->Backends.at(f.Backends.at(1).Info.Id)->EventMs = 50;
      return serve(f, more) == 0;
    };
    REQUIRE(servedbyfirst({}));
    const std::string pace = fourth ? ",100" : "";
    CHECK(servedbyfirst("Zinniagauge-Server-Load: 6,4,6" + pace + "\r\n"));
    // With three figures all is as before.
    CHECK(servedbyfirst({}) != fourth);
    CHECK(f.Rl->Pools.begin()->second.StatesPace == fourth);
    setReportGauges(*f.Rl);
    CHECK(metricsText(f.Metrics).find("backends_with_waiting") !=
          std::string::npos);
  }
}
