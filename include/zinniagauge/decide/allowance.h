// Allowances of workspaces: a rate limit over all processes, of which each
// process may spend a share that follows its part of the demand.
#ifndef ZINNIAGAUGE_DECIDE_ALLOWANCE_H
#define ZINNIAGAUGE_DECIDE_ALLOWANCE_H

#include "zinniagauge/board/address.h"
#include "zinniagauge/board/demand.h"
#include "zinniagauge/board/traffic_plan.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// The demand that a process published in its row of the table service.
struct PeerDemand {
  std::string Name;
  PeerAddress Address;           // Where it receives spending reports.
  std::uint64_t Incarnation = 0; // Random; another value means another process.
  std::uint64_t Heartbeat = 0;   // Increases with each publication.
  std::vector<Demand> Demands;
};

/// The fraction of a limit that is split evenly, so that demand that moves to a
/// process finds some of the limit there. The rest follows demand.
inline constexpr double EvenShareFraction = 0.5;

/// How long a process that publishes nothing still counts. It may spend until
/// its proof of the configuration is too old to serve calls with keys
/// (FreshnessLimits), and one heartbeat period longer.
inline constexpr Duration PeerDemandTimeout = std::chrono::seconds(9);

/// The latest published demand of each process, by name.
struct PeerDemandTable {
  struct Entry {
    PeerDemand Published;
    Time ChangedAt; // When this heartbeat or incarnation was first read.
  };
  std::map<std::string, Entry> Peers;
};

/// Updates \p table from a complete reading of the published rows, and drops
/// processes whose row hasn't changed for PeerDemandTimeout.
void updatePeers(PeerDemandTable &table, std::span<const PeerDemand> read,
                 Time now);

/// Computes this process's shares. \p self is its name. \p own is its demand as
/// measured here, which counts only until its own row was read.
[[nodiscard]] AllowanceShares computeShares(const PeerDemandTable &table,
                                            std::string_view self,
                                            std::span<const Demand> own);

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

/// The lowest initial level of the global bucket in a process that joins
/// others, as a fraction of the bucket's size.
inline constexpr double InitialLevelFraction = 0.3;

/// The size of the bucket that all processes share for \p ws: the cost that may
/// be spent at once without exceeding the limit over a window.
[[nodiscard]] double bucketSize(const PlanWorkspace &ws,
                                const AllowanceMargin &margin) noexcept;

/// A token bucket.
struct AllowanceBucket {
  double Level = 0;
  Time RefilledAt;
  bool Initialized = false;
};

/// The buckets that one process keeps for one workspace: one for its own share,
/// and one for all processes that reflects what the others reported as spent.
struct AllowanceState {
  AllowanceBucket LocalBucket;
  AllowanceBucket GlobalBucket;
  /// Peers' cost already taken from GlobalBucket.
  std::uint64_t PeerCostApplied = 0;
  std::uint64_t SpentTotal = 0; // Spent by this process.
};

/// What the other processes reported as spent for one workspace.
struct PeerSpending {
  /// All reported recently, so GlobalBucket is reliable.
  bool AllReporting = false;
  std::uint64_t Total = 0;
  /// Spent before their first report to this process.
  std::uint64_t BeforeFirstReport = 0;
};

/// How long a peer counts as reporting after its last report; some reports may
/// be lost.
inline constexpr Duration PeerReportTimeout = std::chrono::milliseconds(700);

/// Initializes the global bucket, once. It isn't known whether the cost from
/// before the peers' first reports was spent recently or long ago. It is
/// therefore taken off the level, but a process that joins others starts with
/// no less than InitialLevelFraction, and so does one that has no reports yet.
void initAllowance(AllowanceState &st, const PlanWorkspace &ws,
                   const PeerSpending &peers, const AllowanceMargin &margin,
                   Time now) noexcept;

/// Takes \p cost for a call of \p ws. Returns nothing if it fits, else the time
/// after which it would. While all peers report, the limit applies to what all
/// processes have spent; otherwise only this process's share may be spent.
[[nodiscard]] std::optional<Duration>
takeAllowance(AllowanceState &st, const PlanWorkspace &ws, double share,
              const PeerSpending &peers, const AllowanceMargin &margin,
              double cost, Time now) noexcept;

/// Refunds \p cost that was taken but not spent.
void refundAllowance(AllowanceState &st, double cost) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ALLOWANCE_H
