// Allowances of workspaces: a rate limit over all processes. The processes that
// hear each other spend their part of it together.
#ifndef ZINNIAGAUGE_DECIDE_ALLOWANCE_H
#define ZINNIAGAUGE_DECIDE_ALLOWANCE_H

#include "zinniagauge/board/traffic_plan.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// The tolerance of a limit: over any span of length Window, the cost spent may
/// be (rate * Window + burst) * (1 + Overage) + Slack.
struct AllowanceMargin {
  Duration Window = std::chrono::seconds(8);
  double Overage = 0; // Fraction of rate and burst.
  double Slack = 0;
};

/// The fraction of the cost tolerated beyond the rate that a bucket may hold.
/// The rest covers shares that don't add up to one while they change.
inline constexpr double UsedMarginFraction = 0.85;

/// The lowest initial level in a process that joins others, as a fraction of
/// the bucket's size. What several processes that start one after the other
/// spend of it comes on top of what the others spend.
inline constexpr double InitialLevelFraction = 0.05;

/// The size of the bucket that all processes share for \p ws: the cost that may
/// be spent at once without exceeding the limit over a window.
[[nodiscard]] double bucketSize(const PlanWorkspace &ws,
                                const AllowanceMargin &margin) noexcept;

/// How long a process counts as heard after its last report; some reports may
/// be lost.
inline constexpr Duration PeerReportTimeout = std::chrono::milliseconds(700);

/// The bucket of one workspace, as one process sees it. Level is that of all
/// processes together. While only a fraction of them is heard, what these spend
/// counts as many times as it takes to stand for all of them, so that each part
/// of a divided fleet spends its fraction of the limit.
struct AllowanceState {
  double Level = 0;
  Time RefilledAt;
  bool Initialized = false;
  /// Taken from Level for processes that weren't heard. It is returned when
  /// they are heard again, as their reports then say what they spent.
  double AssumedCost = 0;
  double HeardFraction = 1; // At the last update.
  /// What processes that are heard spent recently: in the current span of
  /// PeerReportTimeout, which began at RecentSince, and in the one before.
  double RecentCost = 0;
  double FormerCost = 0;
  Time RecentSince;
  /// Peers' cost already taken from Level.
  std::uint64_t PeerCostApplied = 0;
  /// Cost of this process's calls that were sent to a back end.
  std::uint64_t SpentTotal = 0;
};

/// What is known of the other processes' spending for one workspace.
struct PeerSpending {
  /// The fraction of all living processes that is heard, this one included.
  double HeardFraction = 1;
  /// Spent by those that were heard, since their first report.
  std::uint64_t Total = 0;
  /// Spent before their first report to this process.
  std::uint64_t BeforeFirstReport = 0;
};

/// The highest level to which returned assumed cost raises a bucket, as a
/// fraction of its size. While processes weren't heard, a bucket that was full
/// took in less than its rate, of which their reports say nothing.
inline constexpr double MaxRejoinFraction = 0.5;

/// The fraction from which on what is heard stands for all processes.
inline constexpr double EnoughHeardFraction = 0.9;

/// Initializes the bucket, once. It isn't known whether the cost from before
/// the peers' first reports was spent recently or long ago. It is therefore
/// taken off the level, but a process that joins others starts with no less
/// than InitialLevelFraction, and so does one that hears few of them.
void initAllowance(AllowanceState &st, const PlanWorkspace &ws,
                   const PeerSpending &peers, const AllowanceMargin &margin,
                   Time now) noexcept;

/// Refills the bucket up to \p now, and takes what peers reported as spent.
/// Called regularly, also without calls: the level is limited to the bucket's
/// size before the peers' spending since the last update is taken from it.
void updateAllowance(AllowanceState &st, const PlanWorkspace &ws,
                     const PeerSpending &peers, const AllowanceMargin &margin,
                     Time now) noexcept;

/// Takes \p cost for a call of \p ws. Returns nothing if it fits, else the time
/// after which it would.
[[nodiscard]] std::optional<Duration>
takeAllowance(AllowanceState &st, const PlanWorkspace &ws,
              const PeerSpending &peers, const AllowanceMargin &margin,
              double cost, Time now) noexcept;

/// Counts \p cost, which was taken before, as spent. Called when the call is
/// first sent: peers are told only of spent cost, as what they were told can't
/// be taken back from them.
void recordSpent(AllowanceState &st, double cost) noexcept;

/// Refunds \p cost that was taken but not spent.
void refundAllowance(AllowanceState &st, double cost) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ALLOWANCE_H
