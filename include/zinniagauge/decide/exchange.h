// State exchange between VMs (gossip). Two VMs send each other short digests,
// then only the records that differ. Records merge in any order, and messages
// may be duplicated or lost.
#ifndef ZINNIAGAUGE_DECIDE_EXCHANGE_H
#define ZINNIAGAUGE_DECIDE_EXCHANGE_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/decide/member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// Interval at which a VM exchanges with a peer of its zone, and a relay with
/// each other zone.
inline constexpr Duration ExchangePeriod = std::chrono::seconds(1);

/// Interval at which a VM with updates exchanges.
inline constexpr Duration UpdateExchangePeriod = std::chrono::milliseconds(200);

/// Number of peers of its zone with which a VM with updates exchanges at once.
inline constexpr std::size_t UpdateFanout = 3;

/// Number of rounds in which an update is sent at the faster interval.
inline constexpr unsigned UpdateRounds = 3;

/// Number of VMs of a zone that exchange with each other zone.
inline constexpr std::size_t RelaysPerZone = 2;

/// Once in this many rounds a VM also tries a peer that it considers dead, or a
/// seed, so that the two sides of a healed network partition find each other.
inline constexpr unsigned RoundsPerProbe = 5;

/// Number of hash buckets in each section of a digest.
inline constexpr std::size_t DigestBuckets = 64;

/// Exchanged state of one endpoint. A higher incarnation replaces a lower one;
/// within an incarnation, flags are combined by OR and the latest report wins.
struct EndpointRecord {
  EndpointId Id;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  bool Draining = false;
  // Unix milliseconds when the version that it reports last changed; zero: none
  // reported.
  std::uint64_t ReportedAt = 0;
  VersionId Reported;

  bool operator==(const EndpointRecord &) const = default;
};

/// A bundle in transfer.
struct BundleText {
  std::uint64_t Version = 0;
  std::string Digest; // SHA-256 of Text, lower-case hexadecimal.
  std::string Text;
};

/// Merges \p from, a record of the same endpoint, into \p into. Returns whether
/// \p into changed.
bool joinRecord(EndpointRecord &into, const EndpointRecord &from);

/// Merges \p from, a state of the same move, into \p into. Returns whether
/// \p into changed. The higher fencing token wins, then the later stage, then
/// the greater share; a final stage is never replaced. VersionIsBad is sticky.
bool joinRecord(MoveState &into, const MoveState &from);

/// Hashes of the records that a VM holds. Equal buckets hold equal records,
/// except for heartbeats.
struct StateDigest {
  std::uint64_t BundleVersion = 0;
  std::array<std::uint32_t, DigestBuckets> Members{};
  std::array<std::uint32_t, DigestBuckets> Endpoints{};
  std::array<std::uint32_t, DigestBuckets> Moves{};
};

/// A heartbeat in compact form.
struct CompactHeartbeat {
  std::uint32_t Key = 0; // Of the VM and its incarnation; see heartbeatKey.
  std::uint32_t Heartbeat = 0;
  std::uint32_t BundleVersion = 0;
};

/// Returns a short hash that identifies a VM and its incarnation.
[[nodiscard]] std::uint32_t heartbeatKey(VmId id,
                                         std::uint64_t incarnation) noexcept;

/// One message of an exchange, in either direction.
struct ExchangeMessage {
  VmId From;
  ZoneId FromZone;
  StateDigest Digest;
  std::vector<CompactHeartbeat> Heartbeats;
  std::vector<MemberRecord> Members;
  std::vector<EndpointRecord> Endpoints;
  std::vector<MoveState> Moves;
  std::optional<BundleText> Bundle;
};

/// What changed in a merge, for the controllers of the board's sections.
struct ExchangeUpdates {
  bool Members = false;
  bool Endpoints = false;
  bool Moves = false;
  // Not active yet: check it, then call activateBundle.
  std::optional<BundleText> NewBundle;
};

/// The state of the exchange on one VM.
struct Exchange {
  Membership Members;
  // One for each endpoint in the bundle.
  std::map<EndpointId, EndpointRecord> Endpoints;
  std::map<MoveId, MoveState> Moves; // One for each move in the bundle.
  BundleText ActiveBundle;
  // Agent addresses, from the settings and the VM list.
  std::vector<std::string> Seeds;
  std::uint64_t Random = 1;
  Time NextExchangeAt;
  Time NextUpdateAt;
  // Rounds left in which updates are sent at the faster interval.
  unsigned UpdateRoundsLeft = 0;
  unsigned RoundCount = 0;
};

/// A peer to exchange with.
struct ExchangeTarget {
  VmId Id; // Zero for a seed.
  ZoneId Zone;
  std::string Address;
};

/// Starts the exchange of a VM that knows only itself and the addresses in
/// \p seeds. \p seed makes the random choices reproducible.
[[nodiscard]] Exchange startExchange(const Member &self,
                                     std::span<const std::string> seeds,
                                     std::uint64_t seed, Time now);

/// Performs a step of the membership and appends the peers to exchange with now
/// to \p out. Must be called at least every UpdateExchangePeriod. Returns
/// whether members changed in more than heartbeats.
bool step(Exchange &ex, Time now, std::vector<ExchangeTarget> &out);

/// Returns the first message of an exchange with a VM of zone \p to (zero:
/// unknown).
[[nodiscard]] ExchangeMessage makeExchangeRequest(const Exchange &ex, ZoneId to,
                                                  Time now);

/// Merges a request and returns the response to it.
[[nodiscard]] ExchangeMessage handleExchangeRequest(Exchange &ex,
                                                    const ExchangeMessage &req,
                                                    Time now,
                                                    ExchangeUpdates &updates);

/// Merges a response. Returns a further message if the peer lacks some records;
/// the response to that one can be ignored.
[[nodiscard]] std::optional<ExchangeMessage>
handleExchangeResponse(Exchange &ex, const ExchangeMessage &resp, Time now,
                       ExchangeUpdates &updates);

/// Merges what this VM itself observed about an endpoint and sends it to peers
/// soon. Returns whether it was new.
bool recordEndpoint(Exchange &ex, const EndpointRecord &rec);

/// Merges what this VM itself observed about a move and sends it to peers soon.
/// Returns whether it was new.
bool recordMove(Exchange &ex, const MoveState &st);

/// Records that this VM is about to stop as planned and sends that to peers
/// soon.
void recordLeaving(Exchange &ex);

/// Activates a checked bundle and sends it to peers soon. A version that isn't
/// higher than the active one is ignored. Returns whether the bundle was
/// activated. Records of endpoints and moves that the bundle doesn't name are
/// dropped, and ignored when a peer sends them.
bool activateBundle(Exchange &ex, const Bundle &b);

/// Returns the endpoints section of the board. Load reports are copied from
/// \p old, its last value.
[[nodiscard]] EndpointList publishEndpoints(const Exchange &ex,
                                            const EndpointList &old);

/// Returns the moves section of the board.
[[nodiscard]] MoveList publishMoves(const Exchange &ex);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_EXCHANGE_H
