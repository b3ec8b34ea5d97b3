// Allowances of workspaces: a limit over all processes, of which each spends a
// share that follows its part of the demand.
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

/// What a process published of itself.
struct PeerDemand {
  std::string Name;
  PeerAddress Address;           // Of its reports.
  std::uint64_t Incarnation = 0; // Random; another life is another process.
  std::uint64_t Heartbeat = 0;   // Rises with each publication.
  std::vector<Demand> Demands;
};

/// The part of a limit that is split evenly, so that demand that moves to a
/// process finds something there; the rest follows demand.
inline constexpr double EvenShareFraction = 0.5;

/// How long a process that publishes nothing still counts: it may spend until
/// its proof of the configuration is too old to serve keys (FreshnessLimits),
/// and one beat longer.
inline constexpr Duration PeerDemandTimeout = std::chrono::seconds(9);

/// Peers as they were last read.
struct PeerDemandTable {
  struct Entry {
    PeerDemand Published;
    Time ChangedAt; // When its beat or life was first seen.
  };
  std::map<std::string, Entry> Peers;
};

/// Takes in a whole reading of what processes published.
void updatePeers(PeerDemandTable &book, std::span<const PeerDemand> read,
                 Time now);

/// This process's shares. \p self is its name; \p own counts only until its
/// own row was read.
[[nodiscard]] AllowanceShares computeShares(const PeerDemandTable &book,
                                            std::string_view self,
                                            std::span<const Demand> own);

/// How a limit is judged: over any span of Window, what is spent may exceed
/// the rate and the burst by Overage and Slack.
struct AllowanceMargin {
  Duration Window = std::chrono::seconds(8);
  double Overage = 0; // Of rate and burst.
  double Slack = 0;
};

/// Part of what the judgement leaves beyond the rate that buckets may hold; the
/// rest covers shares that don't add up to one while they move.
inline constexpr double UsedMarginFraction = 0.85;

/// How full the bucket of all processes is at least taken to be by one that
/// joins them.
inline constexpr double InitialLevelFraction = 0.3;

/// The size of the bucket that all processes together have for \p ws: what
/// may be spent at once so that a window's limit holds.
[[nodiscard]] double bucketSize(const PlanWorkspace &ws,
                                const AllowanceMargin &margin) noexcept;

/// A token bucket.
struct AllowanceBucket {
  double Level = 0;
  Time RefilledAt;
  bool Initialized = false;
};

/// What one process keeps of one workspace: the bucket of its own share, and
/// the bucket of all processes as far as it knows what the others spent.
struct AllowanceState {
  AllowanceBucket LocalBucket;
  AllowanceBucket GlobalBucket;
  std::uint64_t PeerCostApplied =
      0;                        // Of what peers spent, taken from All so far.
  std::uint64_t SpentTotal = 0; // Spent by this process.
};

/// What is known of the other processes.
struct PeerSpending {
  bool AllReporting =
      false; // All were heard just now, so All may be relied on.
  std::uint64_t Total = 0;
  std::uint64_t BeforeFirstReport =
      0; // Spent before this process heard them first.
};

/// Until when a peer that was heard counts as heard: some reports may be lost.
inline constexpr Duration PeerReportTimeout = std::chrono::milliseconds(700);

/// Begins to follow what all processes spend. What they spent before can't be
/// told to be past or recent, so a process that joins others begins at
/// JoinLevel, and so does one that doesn't hear them yet.
void initAllowance(AllowanceState &st, const PlanWorkspace &ws,
                   const PeerSpending &peers, const AllowanceMargin &margin,
                   Time now) noexcept;

/// Takes \p cost for a call of \p ws. Nothing if it fits, else after how long
/// it would. While all peers are heard what all have spent decides; without
/// them only this process's share may be spent.
[[nodiscard]] std::optional<Duration>
takeAllowance(AllowanceState &st, const PlanWorkspace &ws, double share,
              const PeerSpending &peers, const AllowanceMargin &margin,
              double cost, Time now) noexcept;

/// Returns \p cost that wasn't spent.
void refundAllowance(AllowanceState &st, double cost) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ALLOWANCE_H
