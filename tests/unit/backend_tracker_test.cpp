// Tests of the tracking of back ends from readings of the discovery list.
#include "zinniagauge/decide/backend_tracker.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Backend backend(const char *name, std::uint64_t startedms = 1,
                bool leaving = false) {
  Backend b;
  b.Name = name;
  b.StartedAtMs = startedms;
  b.Id = EndpointId::of(b.Name + std::to_string(startedms));
  b.Leaving = leaving;
  return b;
}

/// Applies readings that are one second apart unless stated otherwise.
struct Reader {
  BackendTracker Tracker;
  Time Now = Time(seconds(100));

  bool read(std::vector<Backend> list, Duration after = seconds(1)) {
    Now += after;
    return applyReading(Tracker, list, Now, Now, Now);
  }
  [[nodiscard]] bool usableNow(const char *name) const {
    for (const Backend &b : usableBackends(Tracker).List)
      if (b.Name == name && !b.Leaving)
        return true;
    return false;
  }
};

} // namespace

TEST_CASE("a back end whose entry is missing is dropped at once",
          "[backends]") {
  Reader rd;
  CHECK(rd.read({backend("a"), backend("b")}));
  CHECK(rd.usableNow("b"));
  CHECK(rd.read({backend("a")}));
  CHECK_FALSE(rd.usableNow("b"));
}

TEST_CASE("after an outage missing entries are kept for two seconds",
          "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a")}));
  static_cast<void>(rd.read({}, seconds(6)));
  CHECK(rd.usableNow("a"));
  static_cast<void>(rd.read({}, seconds(1)));
  CHECK(rd.usableNow("a"));
  static_cast<void>(rd.read({}, milliseconds(1300)));
  CHECK_FALSE(rd.usableNow("a"));
}

TEST_CASE("a back end that left while only this process couldn't read the list "
          "is dropped at once",
          "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a"), backend("b")}));
  static_cast<void>(rd.read({backend("a")}, seconds(4)));
  CHECK(rd.usableNow("b"));
  CHECK(shortenGrace(rd.Tracker, rd.Now - seconds(30), rd.Now));
  CHECK_FALSE(rd.usableNow("b"));
  CHECK(rd.usableNow("a"));
  CHECK_FALSE(shortenGrace(rd.Tracker, rd.Now - seconds(30), rd.Now));
}

TEST_CASE("the grace ends two seconds after the first process reads again",
          "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a")}));
  static_cast<void>(rd.read({}, seconds(6)));
  CHECK_FALSE(shortenGrace(rd.Tracker, rd.Now - seconds(1), rd.Now));
  CHECK(rd.usableNow("a"));
  static_cast<void>(rd.read({}, milliseconds(1300)));
  CHECK_FALSE(rd.usableNow("a"));
}

TEST_CASE("missing entries are dropped in time even without another reading",
          "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a"), backend("b")}));
  static_cast<void>(rd.read({backend("b")}, seconds(6)));
  CHECK(rd.usableNow("a"));
  // From here on the list is only confirmed as unchanged.
  bool changed = false;
  for (int n = 0; n < 30; ++n) {
    rd.Now += milliseconds(100);
    changed = confirmUnchanged(rd.Tracker, rd.Now, rd.Now) || changed;
  }
  CHECK(changed);
  CHECK_FALSE(rd.usableNow("a"));
  CHECK(rd.usableNow("b"));
}

TEST_CASE("an incarnation marked as leaving stays leaving", "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a", 1, true)}));
  CHECK_FALSE(rd.usableNow("a"));
  // An outdated copy of the entry, or one that was written late.
  static_cast<void>(rd.read({backend("a", 1, false)}));
  CHECK_FALSE(rd.usableNow("a"));
  static_cast<void>(rd.read({}));
  static_cast<void>(rd.read({backend("a", 1, false)}));
  CHECK_FALSE(rd.usableNow("a"));
}

TEST_CASE("a later incarnation of the same name may be used", "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a", 1, true)}));
  static_cast<void>(rd.read({backend("a", 2)}));
  CHECK(rd.usableNow("a"));
}

TEST_CASE("a list that another process confirmed counts as read",
          "[backends]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a")}));
  CHECK_FALSE(confirmUnchanged(rd.Tracker, rd.Now + seconds(5), rd.Now));
  static_cast<void>(rd.read({}, seconds(6)));
  CHECK_FALSE(rd.usableNow("a"));
}

TEST_CASE("a digest depends on a list's entries but not on their order",
          "[backends]") {
  const std::vector<Backend> ab = {backend("a"), backend("b")};
  const std::vector<Backend> ba = {backend("b"), backend("a")};
  const std::vector<Backend> leaving = {backend("a"), backend("b", 1, true)};
  const std::vector<Backend> restarted = {backend("a"), backend("b", 2)};
  CHECK(digestOf(ab) == digestOf(ba));
  CHECK(digestOf(ab) != digestOf(leaving));
  CHECK(digestOf(ab) != digestOf(restarted));
}

TEST_CASE("after a restore missing entries are kept, however short the outage",
          "[backends][restore]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a"), backend("left")}));
  static_cast<void>(rd.read({backend("a"), backend("left", 1, true)}));
  rd.Now += milliseconds(300);
  keepMissing(rd.Tracker, rd.Now);
  // The copy lacks one entry, and has one as it was before it left.
  static_cast<void>(rd.read({backend("left")}, milliseconds(100)));
  CHECK(rd.usableNow("a"));
  CHECK_FALSE(rd.usableNow("left"));
  static_cast<void>(rd.read({backend("a"), backend("left")}, seconds(1)));
  CHECK(rd.usableNow("a"));
  static_cast<void>(rd.read({backend("left")}, seconds(2)));
  CHECK_FALSE(rd.usableNow("a"));
  CHECK_FALSE(rd.usableNow("left"));
}

TEST_CASE("a process that reads again at once after a restore ends nobody's "
          "grace",
          "[backends][restore]") {
  Reader rd;
  static_cast<void>(rd.read({backend("a")}));
  keepMissing(rd.Tracker, rd.Now);
  static_cast<void>(rd.read({}, milliseconds(100)));
  CHECK(rd.Tracker.ReadableSince >= rd.Now - milliseconds(100));
}

TEST_CASE("the remaining time of a row counts from when it was read first",
          "[backends]") {
  Reader rd;
  const auto until = [&] {
    return usableBackends(rd.Tracker).List.front().ColdUntil;
  };
  const auto row = [](std::optional<Duration> left) {
    Backend b = backend("a");
    b.ColdRemaining = left;
    return std::vector<Backend>{b};
  };
  CHECK(rd.read(row(seconds(8))));
  const Time first = rd.Now + seconds(8);
  CHECK(until() == first);
  // The same row, and one that was written meanwhile.
  CHECK_FALSE(rd.read(row(seconds(8))));
  CHECK_FALSE(rd.read(row(milliseconds(6900))));
  CHECK(until() == first);
  CHECK(rd.read(row(seconds(7))));
  CHECK(until() == rd.Now + seconds(7));
  const std::uint64_t cold = digestOf(row(seconds(7)));
  CHECK(digestOf(row(seconds(2))) == cold);
  CHECK(digestOf(row(Duration::zero())) != cold);
  CHECK(digestOf(row(std::nullopt)) == cold);
  CHECK(rd.read(row(Duration::zero())));
  CHECK(until() < rd.Now);
  // Cold again.
  CHECK(rd.read(row(seconds(3))));
  CHECK(until() == rd.Now + seconds(3));
}
