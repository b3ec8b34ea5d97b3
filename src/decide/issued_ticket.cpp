#include "zinniagauge/decide/issued_ticket.h"

#include <array>
#include <charconv>

namespace zinniagauge {

namespace {

constexpr std::string_view Prefix = "zt1";
constexpr int Base = 16;

void appendHex(std::string &text, std::uint64_t n) {
  std::array<char, 16> buf{};
  const auto res = std::to_chars(buf.data(), buf.data() + buf.size(), n, Base);
  text.push_back('-');
  text.append(buf.data(), res.ptr);
}

bool readHex(std::string_view &text, std::uint64_t &n) noexcept {
  if (text.empty() || text.front() != '-')
    return false;
  text.remove_prefix(1);
  const auto *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, n, Base);
  if (res.ec != std::errc())
    return false;
  text.remove_prefix(static_cast<std::size_t>(res.ptr - text.data()));
  return true;
}

bool isOwn(const TicketStore &book, const IssuedTicket &t) noexcept {
  return t.Zone == book.Zone && t.Vm == book.Vm &&
         t.Incarnation == book.Incarnation;
}

TicketUse *find(TicketStore &book, const IssuedTicket &t) noexcept {
  if (!isOwn(book, t))
    return nullptr;
  const auto it = book.Tickets.find(t.Number);
  if (it == book.Tickets.end() || it->second.Random != t.Random)
    return nullptr;
  return &it->second;
}

boost::leaf::error_id invalid(std::string_view detail) {
  return fail({ErrorCode::Invalid, Step::Receive, {}, std::string(detail)});
}

} // namespace

std::string toString(const IssuedTicket &t) {
  std::string text(Prefix);
  appendHex(text, t.Zone.Value);
  appendHex(text, t.Vm.Value);
  appendHex(text, t.Incarnation);
  appendHex(text, t.Number);
  appendHex(text, t.Random);
  return text;
}

std::optional<IssuedTicket> parseIssuedTicket(std::string_view text) noexcept {
  if (!text.starts_with(Prefix))
    return std::nullopt;
  text.remove_prefix(Prefix.size());
  IssuedTicket t;
  const bool ok = readHex(text, t.Zone.Value) && readHex(text, t.Vm.Value) &&
                  readHex(text, t.Incarnation) && readHex(text, t.Number) &&
                  readHex(text, t.Random);
  if (!ok || !text.empty())
    return std::nullopt;
  return t;
}

IssuedTicket issue(TicketStore &book, std::uint64_t random) {
  if (book.Tickets.size() >= book.MaxTickets)
    book.Tickets.erase(book.Tickets.begin());
  const std::uint64_t n = ++book.LastNumber;
  book.Tickets[n].Random = random;
  return {book.Zone, book.Vm, book.Incarnation, n, random};
}

ClaimResult redeem(TicketStore &book, const IssuedTicket &t, RequestId id) {
  if (!isOwn(book, t))
    return {ClaimStatus::Rejected, Outcome::Unknown,
            "the ticket is of another VM or incarnation; only its issuer knows "
            "whether it ran"};
  TicketUse *use = find(book, t);
  if (!use)
    return {ClaimStatus::Rejected, Outcome::Unknown,
            "the ticket is not known here any more"};
  if (use->RedeemedBy && use->RedeemerOutcome != Outcome::NotRun)
    return {ClaimStatus::HeldByOther, use->RedeemerOutcome, {}};
  use->RedeemedBy = id;
  use->RedeemerOutcome.reset();
  return {ClaimStatus::Acquired, {}, {}};
}

void recordOutcome(TicketStore &book, const IssuedTicket &t, RequestId id,
                   Outcome oc) {
  TicketUse *use = find(book, t);
  if (use && use->RedeemedBy == id)
    use->RedeemerOutcome = oc;
}

Result<CallKey> readCallKey(std::string_view key, std::string_view ticket) {
  if (!key.empty() && !ticket.empty() && key != ticket)
    return invalid("an issued ticket is itself the idempotency key; send "
                   "either, or the same text as both");
  const std::string_view text = ticket.empty() ? key : ticket;
  const std::optional<IssuedTicket> parsed = parseIssuedTicket(text);
  if (parsed)
    return CallKey{{}, parsed};
  if (!ticket.empty())
    return invalid("the issued ticket is malformed");
  return CallKey{key, std::nullopt};
}

} // namespace zinniagauge
