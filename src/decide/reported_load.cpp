#include "zinniagauge/decide/reported_load.h"

#include <algorithm>
#include <cmath>

namespace zinniagauge {

namespace {

/// What remains of a report of age \p age: 1 when new, 0 from \p lifetime on.
double freshPart(Duration age, Duration lifetime) noexcept {
  const double part = std::chrono::duration<double>(age).count() /
                      std::chrono::duration<double>(lifetime).count();
  return std::clamp(1 - part, 0.0, 1.0);
}

/// The calls that a back end with \p slots slots held. Whether Running includes
/// Waiting isn't specified; this is right either way.
double heldCalls(const ReportedLoad &said, double slots) noexcept {
  const double running = said.Running;
  return std::max(running, std::min(running, slots) + said.Waiting);
}

void adopt(LoadReports &reports, const ReportedLoad &said,
           std::uint32_t peersrunning) noexcept {
  reports.Newest = said;
  reports.PeersRunning = peersrunning;
  if (said.Pace == 0)
    return;
  PaceHistory &paces = reports.Paces;
  paces.Latest[paces.Next] = {said.At, said.Pace};
  paces.Next = (paces.Next + 1) % paces.Latest.size();
}

} // namespace

void recordChange(CallHistory &calls, std::int8_t delta, Time now) noexcept {
  calls.Latest[calls.Next] = {now, delta};
  calls.Next = (calls.Next + 1) % calls.Latest.size();
}

void addOwnReport(LoadReports &reports, const ReportedLoad &said,
                  std::uint32_t peersrunning) noexcept {
  reports.Own = said;
  if (said.At >= reports.Newest.At)
    adopt(reports, said, peersrunning);
}

bool addPeerReport(LoadReports &reports, const ReportedLoad &said,
                   std::uint32_t peersrunning) noexcept {
  const ReportedLoad &newest = reports.Newest;
  if (said.Pace == 0 || said.At <= newest.At)
    return false;
  if (said.At - newest.At < ReportEchoSpan && said.Running == newest.Running &&
      said.Waiting == newest.Waiting && said.Pace == newest.Pace)
    return false;
  adopt(reports, said, peersrunning);
  return true;
}

CallsSince callsSince(const LoadReports &reports,
                      std::uint32_t peersrunning) noexcept {
  CallsSince out;
  for (const CallHistory::Change &c : reports.Calls.Latest) {
    if (c.Delta == 0 || c.At < reports.Newest.At)
      continue;
    ++(c.Delta > 0 ? out.Sent : out.Ended);
  }
  out.PeersEnded =
      reports.PeersRunning - std::min(peersrunning, reports.PeersRunning);
  return out;
}

LoadEstimate estimateLoad(const ReportedLoad &said, const LoadEstimate &learnt,
                          double slots, const CallsSince &since,
                          Time now) noexcept {
  if (said.Pace == 0)
    return learnt;
  LoadEstimate out = learnt;
  const Duration age = std::max(now - said.At, Duration::zero());
  const double reported = std::max(heldCalls(said, slots) + since.Sent -
                                       static_cast<double>(since.Ended),
                                   0.0);
  // A report that is lower than the learned load isn't used: many fronts would
  // all send to the same few back ends before the next reports arrive.
  out.Running += std::max(reported - learnt.Running, 0.0) *
                 freshPart(age, ReportedRunningLifetime);
  constexpr double UsualPace = 100;
  const double scale = std::max(said.Pace / UsualPace, MinPaceScale);
  out.EventMs *= 1 + (scale - 1) * freshPart(age, ReportedPaceLifetime);
  out.HasWaiting = age < ReportedWaitingLifetime &&
                   said.Waiting > since.Ended + since.PeersEnded;
  return out;
}

Duration usualSpan(const PaceHistory &paces, Time from, Time to) noexcept {
  // A reported pace decays over its lifetime, so on average half of it.
  constexpr Duration HoldTime = ReportedPaceLifetime / 2;
  constexpr double UsualPace = 100;
  const std::size_t count = paces.Latest.size();
  double usual = static_cast<double>((to - from).count());
  for (std::size_t n = 0; n < count; ++n) {
    const PaceHistory::Entry &e = paces.Latest[(paces.Next + n) % count];
    if (e.Pace == 0)
      continue;
    Time end = e.At + HoldTime;
    if (n + 1 < count)
      end = std::min(end, paces.Latest[(paces.Next + n + 1) % count].At);
    const Duration overlap = std::min(end, to) - std::max(e.At, from);
    if (overlap > Duration::zero())
      usual += static_cast<double>(overlap.count()) *
               (1 / std::max(e.Pace / UsualPace, MinPaceScale) - 1);
  }
  return Duration(std::llround(usual));
}

void allowOnlyCandidate(std::span<Candidate> list) noexcept {
  Candidate *only = nullptr;
  for (Candidate &c : list) {
    if (!c.Usable)
      continue;
    if (only)
      return;
    only = &c;
  }
  if (!only || !only->HasWaiting)
    return;
  only->HasWaiting = false;
  only->Running = only->LearntRunning;
}

} // namespace zinniagauge
