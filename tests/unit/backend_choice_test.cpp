// Tests of the choice of a call's back end.
#include "zinniagauge/decide/backend_choice.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace zinniagauge;

namespace {

Candidate engine(std::uint64_t id, double running, double eventms) {
  Candidate c;
  c.Id = EndpointId{id};
  c.Running = running;
  c.Slots = 8;
  c.EventMs = eventms;
  return c;
}

CallEstimate work(double prompt, double events) {
  CallEstimate w;
  w.PromptTokens = prompt;
  w.ExpectedEvents = events;
  w.PromptTokenMs = 0.02;
  w.TargetLeftMs = 1000;
  w.TimeLeftMs = 12000;
  return w;
}

} // namespace

TEST_CASE("a back end without a free slot isn't chosen", "[choice]") {
  const std::vector<Candidate> list = {engine(1, 8, 10), engine(2, 7, 60)};
  CHECK(chooseBackend(list, work(100, 5), {}) == 1U);
  const std::vector<Candidate> full = {engine(1, 8, 10)};
  CHECK_FALSE(chooseBackend(full, work(100, 5), {}));
}

TEST_CASE("an unusable back end isn't chosen", "[choice]") {
  std::vector<Candidate> list = {engine(1, 0, 10), engine(2, 0, 10)};
  list[0].Usable = false;
  CHECK(chooseBackend(list, work(100, 5), {}) == 1U);
}

TEST_CASE("a long response goes to a back end where it ends in time",
          "[choice]") {
  // 300 events take 18 s on the slow engine.
  const std::vector<Candidate> list = {engine(1, 0, 60), engine(2, 6, 12)};
  CHECK(chooseBackend(list, work(600, 300), {}) == 1U);
}

TEST_CASE("prompt tokens queued ahead of a call count", "[choice]") {
  std::vector<Candidate> list = {engine(1, 2, 20), engine(2, 2, 20)};
  list[0].PendingTokens = 40000;
  CHECK(chooseBackend(list, work(2000, 5), {}) == 1U);
}

TEST_CASE("when engines are busy, short responses leave the fast ones free",
          "[choice]") {
  const std::vector<Candidate> list = {engine(1, 6, 12), engine(2, 6, 60)};
  CallEstimate plain = work(0, 1);
  ChoiceWeights wt;
  wt.SlotPrice = 3;
  CHECK(chooseBackend(list, plain, wt) == 1U);
  CHECK(chooseBackend(list, work(0, 100), wt) == 0U);
}

TEST_CASE("engines of unknown speed count as the mean", "[choice]") {
  const std::vector<Candidate> list = {engine(1, 0, 0), engine(2, 0, 100),
                                       engine(3, 0, 20)};
  CHECK(meanEventMs(list) == Approx(60));
  CHECK(chooseBackend(list, work(100, 20), {}) == 2U);
}
