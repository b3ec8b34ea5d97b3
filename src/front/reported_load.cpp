#include "zinniagauge/front/reported_load.h"

#include "zinniagauge/front/request_loop.h"

#include <array>
#include <charconv>

namespace zinniagauge {

namespace {

/// How often a header that can't be used is logged for one back end.
constexpr Duration WarningPeriod = std::chrono::minutes(1);

/// A back end counts as reporting for this long after its last report.
constexpr Duration ReportingTime = std::chrono::minutes(1);

/// Reads a figure of at most \p max, with spaces around it.
std::optional<std::uint32_t> parseFigure(std::string_view text,
                                         std::uint32_t max) noexcept {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return std::nullopt;
  text = text.substr(first, text.find_last_not_of(" \t") - first + 1);
  std::uint32_t num = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), num);
  if (ec != std::errc() || end != text.data() + text.size() || num > max)
    return std::nullopt;
  return num;
}

/// Notes that back ends of the pool of \p b state their pace.
void noteStatedPace(RequestLoop &rl, const BackendState &b) {
  PoolState &pool = rl.Pools[b.Info.Pool];
  if (b.Reports.Newest.Pace == 0 || pool.StatesPace)
    return;
  pool.StatesPace = true;
  EventLine line = eventLine("pool_states_pace");
  add(line, "backend", b.Info.Name);
  rl.Log.write(line);
}

void warnUnreadable(RequestLoop &rl, BackendState &from,
                    std::string_view text) {
  const Time now = rl.EventLoop.Now;
  if (from.ReportWarnedAt != Time() &&
      now - from.ReportWarnedAt < WarningPeriod)
    return;
  from.ReportWarnedAt = now;
  constexpr std::size_t MaxLoggedBytes = 40;
  EventLine line = eventLine("backend_header_unreadable");
  add(line, "backend", from.Info.Name);
  add(line, "header", rl.Names.ServerLoad);
  add(line, "value", text.substr(0, MaxLoggedBytes));
  rl.Log.write(line);
}

} // namespace

std::optional<ReportedLoad> parseReportedLoad(std::string_view text) noexcept {
  constexpr std::array<std::uint32_t, 4> Max = {
      MaxReportedCalls, MaxReportedCalls, MaxReportedSlots, MaxReportedPace};
  constexpr std::size_t FiguresWithoutPace = 3;
  std::array<std::uint32_t, Max.size()> figures{};
  std::size_t count = 0;
  for (bool more = true; more; ++count) {
    if (count == figures.size())
      return std::nullopt;
    const std::size_t comma = text.find(',');
    const auto num = parseFigure(text.substr(0, comma), Max.at(count));
    if (!num)
      return std::nullopt;
    figures.at(count) = *num;
    more = comma != std::string_view::npos;
    text.remove_prefix(more ? comma + 1 : text.size());
  }
  const auto [running, waiting, slots, pace] = figures;
  if (count < FiguresWithoutPace || (count > FiguresWithoutPace && pace == 0))
    return std::nullopt;
  return ReportedLoad{running, waiting, slots, pace, Time()};
}

void recordReportedLoad(RequestLoop &rl, BackendState &from,
                        const MessageHead &head) {
  constexpr int Misdirected = 421; // Another process answered.
  const auto text = findField(head.Fields, rl.Names.ServerLoad);
  if (!text || head.Status == Misdirected)
    return;
  auto said = parseReportedLoad(*text);
  if (!said) {
    warnUnreadable(rl, from, *text);
    return;
  }
  said->At = rl.EventLoop.Now;
  {
    const ReadGuard guard;
    addOwnReport(
        from.Reports, *said,
        findLoad(rl.Board.PeerLoads.read(guard), from.Info.Id).Running);
  }
  if (said->Pace == 0)
    return;
  noteStatedPace(rl, from);
  scheduleLoadReport(rl);
}

LoadEstimate currentLoad(RequestLoop &rl, BackendState &b,
                         const BackendLoad &peers) {
  if (addPeerReport(b.Reports, peers.Reported, peers.Running))
    noteStatedPace(rl, b);
  constexpr double MicrosPerMilli = 1000;
  const LoadEstimate learnt{
      static_cast<double>(b.Running) + peers.Running,
      b.EventMs > 0 ? b.EventMs : peers.MicrosPerEvent / MicrosPerMilli, false};
  return estimateLoad(b.Reports.Newest, learnt, b.Info.Slots,
                      callsSince(b.Reports, peers.Running), rl.EventLoop.Now);
}

ReportedLoad sharedReport(const BackendState &b, Time now) {
  const ReportedLoad &own = b.Reports.Own;
  return own.Pace > 0 && now - own.At < ReportedWaitingLifetime
             ? own
             : ReportedLoad();
}

void setReportGauges(RequestLoop &rl) {
  std::uint32_t reporting = 0;
  std::uint32_t waiting = 0;
  for (const auto &[id, st] : rl.Backends) {
    const ReportedLoad &said = st->Reports.Newest;
    if (!st->Listed || said.At == Time() ||
        rl.EventLoop.Now - said.At > ReportingTime)
      continue;
    ++reporting;
    waiting += said.Waiting > 0 ? 1 : 0;
  }
  setGauge(rl.Metrics, "backends_reporting", reporting);
  setGauge(rl.Metrics, "backends_with_waiting", waiting);
}

} // namespace zinniagauge
