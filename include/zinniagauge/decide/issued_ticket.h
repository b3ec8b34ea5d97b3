// Issued tickets: idempotency keys that a process hands out beforehand and
// remembers by itself, for the time when the platform's table is out.
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

/// What a caller holds. Only the incarnation that issued it ever dispatches a
/// request for it.
struct IssuedTicket {
  ZoneId Zone;
  VmId Vm;
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0; // Counts the tickets of the incarnation from 1.
  std::uint64_t Random = 0; // Can't be guessed.

  auto operator<=>(const IssuedTicket &) const = default;
};

/// "zt1" and the five numbers in hexadecimal, joined by '-'.
[[nodiscard]] std::string toString(const IssuedTicket &t);

/// The inverse of toString; nothing if \p text is no ticket.
[[nodiscard]] std::optional<IssuedTicket>
parseIssuedTicket(std::string_view text) noexcept;

/// What is remembered of a ticket.
struct TicketUse {
  std::uint64_t Random = 0;
  std::optional<RequestId> RedeemedBy;
  std::optional<Outcome> RedeemerOutcome; // How the spender ended.
};

/// The tickets of one incarnation. One thread uses it.
struct TicketStore {
  ZoneId Zone;
  VmId Vm;
  std::uint64_t Incarnation = 0;
  std::size_t MaxTickets = 65536; // Remembered; the oldest is forgotten first.
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, TicketUse> Tickets;
};

/// Issues a ticket. \p random must be hard to guess.
[[nodiscard]] IssuedTicket issue(TicketStore &book, std::uint64_t random);

/// Decides whether request \p id may be dispatched for \p t: Mine once, then
/// Other, with the outcome if the spender has ended. Refused with an outcome of
/// unknown if the ticket is not, or not any more, known here. A spender that
/// ended as not_run frees the ticket.
[[nodiscard]] ClaimResult redeem(TicketStore &book, const IssuedTicket &t,
                                 RequestId id);

/// Request \p id, which spent \p t, is over.
void recordOutcome(TicketStore &book, const IssuedTicket &t, RequestId id,
                   Outcome oc);

/// What a caller's headers name as the key of its request.
struct CallKey {
  std::string_view Key;               // Of the table; empty: none.
  std::optional<IssuedTicket> Ticket; // Of an issuer's memory.
};

/// Reads the headers' idempotency key and issued ticket. A key that has the
/// form of a ticket is one, whichever header brings it, so that no work has
/// both a row and a ticket. Fails with Invalid if both are given and differ, or
/// the ticket is malformed.
[[nodiscard]] Result<CallKey> readCallKey(std::string_view key,
                                          std::string_view ticket);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ISSUED_TICKET_H
