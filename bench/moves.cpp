// Runs seeded version moves against fake endpoints with eight kinds of new
// version. Prints how many moves were completed or rolled back, how many ended
// in time, and how much traffic a bad version got.
// Usage: moves [number of moves] [first seed].

#include "support/move_world.h"
#include "zinniagauge/board/invariant.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <string_view>
#include <vector>

using namespace zinniagauge;

namespace {

constexpr std::array<std::string_view, VersionKindCount> KindNames = {
    "good",           "good, one bad endpoint",
    "good, bursts",   "bad at once",
    "bad later",      "bad: slow",
    "bad under load", "bad on one route"};

constexpr std::size_t Threads = 3;

struct Result {
  VersionKind Kind = VersionKind::Good;
  MoveStage FinalStage = MoveStage::Waiting;
  bool InTime = false;
  /// The new version's share of all requests until the move ended.
  double NewShare = 0;
  std::uint64_t NewRequests = 0;
  std::uint64_t NewRequestsAfterBad = 0;
  std::uint64_t Seed = 0;
  std::string BadReason;
};

Result runOne(std::uint64_t seed) {
  MoveWorldOptions opt;
  opt.Seed = seed;
  opt.Kind = static_cast<VersionKind>(seed % VersionKindCount);
  MoveWorld w = makeMoveWorld(opt);
  const Time last = w.Net.Now + opt.TimeToDeadline + std::chrono::seconds(30);
  while (!w.Ended && w.Net.Now < last)
    tick(w);
  Result res;
  res.Kind = opt.Kind;
  res.FinalStage = w.FinalStage;
  res.InTime = w.Ended && w.EndedAt <= w.ActiveBundle.Moves[0].Deadline;
  res.NewShare =
      static_cast<double>(w.NewVersionRequests) /
      static_cast<double>(std::max<std::uint64_t>(w.TotalRequests, 1));
  res.NewRequests = w.NewVersionRequests;
  res.NewRequestsAfterBad = w.NewVersionRequestsAfterBad;
  res.Seed = seed;
  res.BadReason = w.Table.Rows[theMove()].Row.BadReason;
  return res;
}

std::vector<Result> runAll(std::uint64_t first, std::uint64_t count) {
  std::vector<std::future<std::vector<Result>>> parts;
  for (std::size_t t = 0; t < Threads; ++t)
    parts.push_back(std::async(std::launch::async, [=] {
      std::vector<Result> part;
      for (std::uint64_t n = t; n < count; n += Threads)
        part.push_back(runOne(first + n));
      return part;
    }));
  std::vector<Result> all;
  for (auto &part : parts)
    for (const Result &res : part.get())
      all.push_back(res);
  return all;
}

void report(const std::vector<Result> &all, std::size_t kind) {
  std::size_t runs = 0;
  std::size_t completed = 0;
  std::size_t rolledback = 0;
  std::size_t intime = 0;
  std::vector<double> shares;
  std::vector<std::uint64_t> requests;
  std::uint64_t afterbad = 0;
  for (const Result &res : all) {
    if (static_cast<std::size_t>(res.Kind) != kind)
      continue;
    ++runs;
    completed += res.FinalStage == MoveStage::Completed ? 1 : 0;
    rolledback += res.FinalStage == MoveStage::RolledBack ? 1 : 0;
    intime += res.InTime ? 1 : 0;
    shares.push_back(100 * res.NewShare);
    requests.push_back(res.NewRequests);
    afterbad += res.NewRequestsAfterBad;
  }
  if (runs == 0)
    return;
  std::sort(shares.begin(), shares.end());
  std::sort(requests.begin(), requests.end());
  std::printf(
      "%-24s %4zu runs: %4zu completed, %4zu rolled back, %4zu in time; "
      "new version's share of traffic: median %5.2f %%, most %5.2f %% "
      "(requests: median %llu, most %llu), after it was known bad: "
      "%llu\n",
      KindNames[kind].data(), runs, completed, rolledback, intime,
      shares[runs / 2], shares.back(),
      static_cast<unsigned long long>(requests[runs / 2]),
      static_cast<unsigned long long>(requests.back()),
      static_cast<unsigned long long>(afterbad));
}

/// Prints each move that didn't end as its kind of version requires.
void reportWrong(const std::vector<Result> &all) {
  for (const Result &res : all) {
    const bool good = res.Kind <= VersionKind::GoodBurst;
    const MoveStage right = good ? MoveStage::Completed : MoveStage::RolledBack;
    if (res.FinalStage != right)
      std::printf("wrong: seed %llu (%s): %s\n",
                  static_cast<unsigned long long>(res.Seed),
                  KindNames[static_cast<std::size_t>(res.Kind)].data(),
                  res.BadReason.c_str());
  }
}

std::uint64_t argument(int argc, char **argv, int n, std::uint64_t fallback) {
  return argc > n ? std::strtoull(argv[n], nullptr, 10) : fallback;
}

} // namespace

int main(int argc, char **argv) {
  const std::vector<Result> all =
      runAll(argument(argc, argv, 2, 1), argument(argc, argv, 1, 1000));
  for (std::size_t kind = 0; kind < VersionKindCount; ++kind)
    report(all, kind);
  reportWrong(all);
  std::printf(
      "invariants broken: share_bound %llu, move_ends_once %llu\n",
      static_cast<unsigned long long>(failures(Invariant::ShareBound)),
      static_cast<unsigned long long>(failures(Invariant::MoveEndsOnce)));
  return 0;
}
