// Issued tickets: idempotency keys that a process issues in advance and keeps
// in its own memory, for use while the platform's table is unavailable.
#ifndef ZINNIAGAUGE_DECIDE_ISSUED_TICKET_H
#define ZINNIAGAUGE_DECIDE_ISSUED_TICKET_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/ids.h"
#include "zinniagauge/board/outcome.h"
#include "zinniagauge/decide/dispatch.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinniagauge {

/// A ticket as its caller holds it. Only the incarnation that issued it
/// dispatches a request for it.
struct IssuedTicket {
  ZoneId Zone;
  VmId Vm;
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0; // Counts the tickets of the incarnation from 1.
  std::uint64_t Random = 0; // Makes it hard to guess.

  auto operator<=>(const IssuedTicket &) const = default;
};

/// "zt1" and the five numbers in hexadecimal, joined by '-'.
[[nodiscard]] std::string toString(const IssuedTicket &t);

/// The inverse of toString; std::nullopt if \p text is not a ticket.
[[nodiscard]] std::optional<IssuedTicket>
parseIssuedTicket(std::string_view text) noexcept;

/// The state of an issued ticket.
struct TicketUse {
  std::uint64_t Random = 0;
  std::optional<RequestId> RedeemedBy;
  std::optional<Outcome> RedeemerOutcome; // Set once that request has ended.
};

/// The tickets that one incarnation has issued. One thread uses it.
struct TicketStore {
  ZoneId Zone;
  VmId Vm;
  std::uint64_t Incarnation = 0;
  std::size_t MaxTickets = 65536; // The oldest is dropped first.
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, TicketUse> Tickets;
};

/// Issues a ticket. \p random must be hard to guess.
[[nodiscard]] IssuedTicket issue(TicketStore &book, std::uint64_t random);

/// Redeems \p t for request \p id. Acquired for the first request, and
/// HeldByOther for later ones, with the outcome of the first if it has ended.
/// Rejected with the outcome unknown if another incarnation issued the ticket
/// or it is no longer kept. A request that ended as not_run frees the ticket.
[[nodiscard]] ClaimResult redeem(TicketStore &book, const IssuedTicket &t,
                                 RequestId id);

/// Records the outcome of request \p id, which redeemed \p t.
void recordOutcome(TicketStore &book, const IssuedTicket &t, RequestId id,
                   Outcome oc);

/// The key that a caller's headers give for its request.
struct CallKey {
  std::string_view Key;               // To claim in the table; empty: none.
  std::optional<IssuedTicket> Ticket; // To redeem at its issuer.
};

/// Reads the headers' idempotency key and issued ticket. A value in the form of
/// a ticket is a ticket in either header, so that no request has both a row and
/// a ticket. Fails with Invalid if both are given and differ, or the ticket is
/// malformed.
[[nodiscard]] Result<CallKey> readCallKey(std::string_view key,
                                          std::string_view ticket);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ISSUED_TICKET_H
