// The controller that exchanges reports with other fronts. A coordinator sends
// sums of its group to the other coordinators, and sums of all fronts to its
// members; every other front sends its own report to one coordinator.
#ifndef ZINNIAGAUGE_STORE_GOSSIP_H
#define ZINNIAGAUGE_STORE_GOSSIP_H

#include "zinniagauge/net/loop.h"
#include "zinniagauge/store/gossip_report.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

struct Controllers;

/// The lists of relay peers that were sent to the same recipients.
struct RelayStream {
  std::vector<RelayPeer> Sent; // The last one.
  Time SentAt;                 // Zero: the recipients have none.
  bool SentTwice = false;      // Not only when it had changed.
};

/// A stream of reports to the same recipients. Partial reports are relative to
/// the last one sent.
struct ReportStream {
  GossipReport LastReport;
  Time LastSentAt;
  std::uint32_t RoundsSinceFull = 0;
  RelayStream Relays; // Not used by summaries, whose lists differ by member.
};

/// A member as its coordinator knows it.
struct GroupMember {
  PeerAddress Address;
  std::int64_t QuerySentAt = 0;  // Of its last report, to be echoed.
  std::uint64_t Incarnation = 0; // Of the process that sent that report.
  RelayStream Relays;
  std::uint64_t RelaysVersion = 0; // Gossip::RelaysVersion that it has.
};

/// What a front that isn't a coordinator knows of the one it reports to.
struct Membership {
  std::vector<CoordinatorRow> Candidates; // In the order in which to try them.
  std::size_t Current = 0;                // Index of the one reported to.
  Time Since;                             // When it was chosen.
  Time LastSummaryAt;                     // From it; zero: none yet.
  /// This front's reports that the coordinator may not have included yet.
  std::deque<GossipReport> Unacked;
  GossipReport Acked;                          // The last one included.
  std::vector<WorkspaceSpend> FirstAckedSpend; // Of the first one included.
};

/// The controller's state.
struct Gossip {
  Gossip() = default;
  Gossip(const Gossip &) = delete;
  Gossip &operator=(const Gossip &) = delete;
  ~Gossip();

  Controllers *Owner = nullptr;
  Watch Socket;
  LoopTimer RoundTimer;
  LoopTimer QueryTimer;
  LoopTimer PublishTimer;
  LoopTimer RelayTimer; // Armed while a list of relay peers is to be sent.
  std::uint64_t Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  bool IsCoordinator = false;
  std::vector<CoordinatorRow> OtherCoordinators; // As last read.
  ReportStream ToCoordinators; // A coordinator's group reports.
  ReportStream ToMembers;      // A coordinator's summaries.
  ReportStream Own;            // A member's reports.
  GossipState PeerReports;     // Group reports of other coordinators.
  GossipState MemberReports;
  GossipState Summaries; // Of the coordinators that this front reported to.
  std::map<std::uint64_t, GroupMember> Members; // By node.
  /// Source addresses of group reports.
  std::map<std::uint64_t, PeerAddress> AddressByNode;
  Membership Coordinator;
  PeerAddress LastResponder; // Of a coordinator's last query.
  SpendMeter PeerSpending;
  /// All relay peers that are known, sorted by node; a coordinator's include
  /// itself.
  std::vector<RelayPeer> KnownRelays;
  std::uint64_t RelaysVersion = 1;  // Counts the changes of KnownRelays.
  Time RelaysHeardAt;               // From a coordinator, or while it was one.
  std::vector<RelayPeer> OwnRelays; // As of the last call of sendChanges.
  /// bootNow minus the loop's clock; it grows while the machine is suspended.
  Duration ClockOffset = Duration::zero();
  std::optional<bool> LoggedReader; // Whether this front reads for others.
  bool LoggedTooLarge = false;      // That a report was too large to be read.
};

/// Sends what has changed since the last report. Called when the board's own
/// loads or unreached pools have changed. Sends nothing if no load differs or
/// if the last report is too recent; a later report then covers the change.
void sendChanges(Gossip &gossip);

/// The front from which to read the list of back ends that was last reported:
/// the coordinator, or a coordinator that reads for others. Nothing if none is
/// known.
[[nodiscard]] std::optional<PeerAddress> backendsSource(const Gossip &gossip);

/// Where the coordinator whose nameHash is \p node receives reports; nothing if
/// it isn't known.
[[nodiscard]] std::optional<PeerAddress> frontAddress(const Gossip &gossip,
                                                      std::uint64_t node);

/// The name of the coordinator whose nameHash is \p node; empty if it isn't
/// known.
[[nodiscard]] std::string_view frontName(const Gossip &gossip,
                                         std::uint64_t node);

/// Whether a coordinator's summaries arrive, so that this front needn't act for
/// itself.
[[nodiscard]] bool isAttached(const Gossip &gossip);

/// Called after the table of coordinators was read or this front's slot was won
/// or lost.
void onCoordinatorsChanged(Gossip &gossip);

/// Opens the socket and starts the timers. Fails with Unavailable.
[[nodiscard]] Result<void> startGossip(Gossip &gossip);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_GOSSIP_H
