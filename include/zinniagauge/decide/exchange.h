// Exchange: how the VMs spread what they know to each other. Two VMs swap
// short digests, then only what differs. All of it joins in any order, and may
// be repeated or lost.
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

/// How often a VM swaps with a peer of its zone, and a relay with each of the
/// other zones.
inline constexpr Duration ExchangePeriod = std::chrono::seconds(1);

/// How often a VM that has news swaps.
inline constexpr Duration UpdateExchangePeriod = std::chrono::milliseconds(200);

/// How many peers of its zone a VM that has news swaps with at once.
inline constexpr std::size_t UpdateFanout = 3;

/// How many rounds of swaps news is worth.
inline constexpr unsigned UpdateRounds = 3;

/// How many VMs of a zone swap with each other zone.
inline constexpr std::size_t RelaysPerZone = 2;

/// Every so many rounds a VM also tries a peer that it holds to be dead, or a
/// seed, so that the two sides of a healed cut find each other.
inline constexpr unsigned RoundsPerProbe = 5;

/// The buckets of a digest.
inline constexpr std::size_t DigestBuckets = 64;

/// What VMs tell each other of one endpoint: a higher incarnation replaces a
/// lower one; in one, flags join by or and the report by the latest.
struct EndpointRecord {
  EndpointId Id;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  bool Draining = false;
  std::uint64_t ReportedAt = 0; // Civil milliseconds when the version that it
                                // reports last changed; zero: none reported.
  VersionId Reported;

  bool operator==(const EndpointRecord &) const = default;
};

/// A bundle on its way.
struct BundleText {
  std::uint64_t Version = 0;
  std::string Digest; // SHA-256 of Text, lower-case hexadecimal.
  std::string Text;
};

/// Joins \p from, of the same endpoint, into \p into; whether that changed it.
bool joinRecord(EndpointRecord &into, const EndpointRecord &from);

/// Joins \p from, of the same move, into \p into; whether that changed it.
/// Stages only rise, a final one stands, and of one fencing number and stage
/// the greater share counts; Bad is sticky.
bool joinRecord(MoveState &into, const MoveState &from);

/// Hashes of what a VM holds: equal buckets hold equal records, heartbeats
/// aside.
struct StateDigest {
  std::uint64_t BundleVersion = 0;
  std::array<std::uint32_t, DigestBuckets> Members{};
  std::array<std::uint32_t, DigestBuckets> Endpoints{};
  std::array<std::uint32_t, DigestBuckets> Moves{};
};

/// A heartbeat in short form.
struct CompactHeartbeat {
  std::uint32_t Key = 0; // Of the VM and its incarnation; see beatKey.
  std::uint32_t Heartbeat = 0;
  std::uint32_t BundleVersion = 0;
};

/// Names a VM and its incarnation in short.
[[nodiscard]] std::uint32_t heartbeatKey(VmId id,
                                         std::uint64_t incarnation) noexcept;

/// One message of a swap, in either direction.
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

/// What a merge brought, for the controllers of the sections.
struct ExchangeUpdates {
  bool Members = false;
  bool Endpoints = false;
  bool Moves = false;
  std::optional<BundleText> NewBundle; // Not held yet: check it, then call
                                       // holdBundle.
};

/// The state of one VM's exchange.
struct Exchange {
  Membership Members;
  std::map<EndpointId, EndpointRecord> Endpoints; // All that the bundle names.
  std::map<MoveId, MoveState> Moves;              // Likewise.
  BundleText ActiveBundle;
  std::vector<std::string> Seeds; // Agents' addresses, from settings and the
                                  // VM list.
  std::uint64_t Random = 1;
  Time NextExchangeAt;
  Time NextUpdateAt;
  unsigned UpdateRoundsLeft = 0; // Rounds.
  unsigned RoundCount = 0;
};

/// A peer to swap with.
struct ExchangeTarget {
  VmId Id; // Zero for a seed.
  ZoneId Zone;
  std::string Address;
};

/// Whom to swap with now; \p seed makes the choices repeatable.
[[nodiscard]] Exchange startExchange(const Member &self,
                                     std::span<const std::string> seeds,
                                     std::uint64_t seed, Time now);

/// Steps the membership and appends to \p out the peers to swap with now.
/// Call it at least every NewsPeriod. Returns whether members changed in more
/// than heartbeats.
bool step(Exchange &ex, Time now, std::vector<ExchangeTarget> &out);

/// The first message of a swap with a VM of zone \p to (zero: unknown).
[[nodiscard]] ExchangeMessage makeExchangeRequest(const Exchange &ex, ZoneId to,
                                                  Time now);

/// Merges a message and makes the answer to it.
[[nodiscard]] ExchangeMessage handleExchangeRequest(Exchange &ex,
                                                    const ExchangeMessage &ask,
                                                    Time now,
                                                    ExchangeUpdates &news);

/// Merges the answer; a message is returned if the peer lacks something, and
/// its answer need not be looked at.
[[nodiscard]] std::optional<ExchangeMessage>
handleExchangeResponse(Exchange &ex, const ExchangeMessage &answer, Time now,
                       ExchangeUpdates &news);

/// Joins what this VM itself found out of an endpoint, and spreads it at once.
bool recordEndpoint(Exchange &ex, const EndpointRecord &rec);

/// Joins what this VM itself found out of a move, and spreads it at once.
bool recordMove(Exchange &ex, const MoveState &st);

/// Says that this VM stops by plan, and spreads it at once.
void recordLeaving(Exchange &ex);

/// Takes a checked bundle into force and spreads it at once. A version that
/// isn't higher than the one held is ignored; returns whether it was taken.
/// Endpoints and moves that the bundle doesn't name are forgotten, and ignored
/// when a peer tells of them.
bool activateBundle(Exchange &ex, const Bundle &b);

/// The endpoints section of the board, with the load reports of its last value
/// \p old.
[[nodiscard]] EndpointList publishEndpoints(const Exchange &ex,
                                            const EndpointList &old);

/// The moves section of the board.
[[nodiscard]] MoveList publishMoves(const Exchange &ex);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_EXCHANGE_H
