// A simulation of two schedulers and their entries, with a model that checks
// every decision.
#include "support/schedule_history.h"

#include "zinniagauge/zinniagauge.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace zinniagauge::support {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId Pool = PoolId::of("dossier");
const VersionId Old = VersionId::of("dossier-6");
const VersionId New = VersionId::of("dossier-7");
const MoveId TheMove = MoveId::of("to-7");
constexpr std::size_t SchedulerCount = 2;

/// SplitMix64: small, and the same on every platform.
struct Random {
  std::uint64_t State = 0;

  std::uint64_t next() {
    std::uint64_t x = State += 0x9E3779B97F4A7C15U;
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9U;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBU;
    return x ^ (x >> 31U);
  }
  std::uint64_t below(std::uint64_t n) { return next() % n; }
  bool oneIn(std::uint64_t n) { return below(n) == 0; }
};

/// A grant that an entry holds.
struct HeldGrant {
  Grant IssuedGrant;
  bool WasDispatched = false;
};

/// The expected state of one scheduler, from the messages sent to it.
struct Model {
  std::map<AttemptId, Ticket> Waiting;
  std::map<AttemptId, Grant> Open; // Not returned, according to the messages.
};

struct World {
  Random Rnd;
  Time Now{seconds(100)};
  Bundle Config;
  EndpointList Endpoints;
  MoveList Moves;
  std::array<Scheduler, SchedulerCount> Schedulers;
  std::array<Model, SchedulerCount> Models;
  std::map<AttemptId, HeldGrant> HeldByEntries;
  std::vector<Ticket> RecentTickets; // Some may be sent again.
  std::uint64_t NextRequest = 1;
  HistoryResult Result;
};

void expect(World &w, bool holds, std::string_view what) {
  if (!holds && w.Result.Violation.empty())
    w.Result.Violation = what;
}

void makeBundle(World &w) {
  Bundle &b = w.Config;
  b.Version = 1;
  for (const char *name : {"a", "b", "c", "d"}) {
    EndpointSpec ep;
    ep.Name = name;
    ep.Id = EndpointId::of(name);
    ep.Pool = Pool;
    ep.Version = Old;
    ep.Slots = static_cast<std::uint32_t>(1 + w.Rnd.below(8));
    ep.TokenLimit = w.Rnd.oneIn(3) ? 0 : 4000;
    ep.TokensPerSecond = w.Rnd.oneIn(2) ? 0 : 500;
    b.Endpoints.push_back(ep);
    w.Endpoints.Endpoints.push_back({ep.Id, false, false, 0, {}, {}});
  }
  std::sort(w.Endpoints.Endpoints.begin(), w.Endpoints.Endpoints.end(),
            [](const auto &x, const auto &y) { return x.Id < y.Id; });
  for (const char *name : {"lanterna", "faro", "lumen"})
    b.Workspaces.push_back({name, WorkspaceId::of(name), {}, 2, {}});
  MoveSpec mv;
  mv.Id = TheMove;
  mv.Pool = Pool;
  mv.OldVersion = Old;
  mv.NewVersion = New;
  b.Moves.push_back(mv);
  indexBundle(b);
  w.Moves.Moves.push_back({TheMove, 0, 500, MoveStage::Moving, false, {}});
}

void start(World &w, std::size_t which, std::uint64_t incarnation) {
  Scheduler &s = w.Schedulers[which];
  w.Result.Expired += s.Counts.Expired;
  s = {};
  s.Pool = Pool;
  s.Self = VmId::of(which == 0 ? "vm-0" : "vm-1");
  s.Incarnation = incarnation;
  s.Policy.MaxQueued = 4;
  w.Models[which] = {};
}

Ticket makeTicket(World &w) {
  Ticket t;
  t.Attempt = {{7, w.NextRequest++}, 1};
  t.Entry = VmId::of("entry");
  t.Pool = Pool;
  t.Workspace = w.Config.Workspaces[w.Rnd.below(3)].Id;
  t.Rank.Rank = static_cast<std::uint8_t>(w.Rnd.below(4));
  const bool large = w.Rnd.oneIn(3);
  t.PromptTokens = static_cast<std::uint32_t>(w.Rnd.below(large ? 3000 : 200));
  t.OutputTokens = static_cast<std::uint32_t>(w.Rnd.below(large ? 2000 : 200));
  t.PrefixHash = w.Rnd.below(4);
  t.TimeLeft = milliseconds(w.Rnd.below(20'000));
  if (w.Rnd.oneIn(8))
    t.AvoidEndpoint = w.Config.Endpoints[w.Rnd.below(4)].Id;
  t.Choice = static_cast<VersionChoice>(w.Rnd.below(4));
  if (t.Choice != VersionChoice::Any)
    t.NewVersion = New;
  return t;
}

void send(World &w, std::size_t which, const Ticket &t) {
  Model &m = w.Models[which];
  enqueue(w.Schedulers[which], t, w.Now);
  if (!m.Open.contains(t.Attempt))
    m.Waiting.emplace(t.Attempt, t);
}

void enqueueSome(World &w) {
  const std::size_t which = w.Rnd.below(SchedulerCount);
  if (!w.RecentTickets.empty() && w.Rnd.oneIn(6)) {
    send(w, which, w.RecentTickets[w.Rnd.below(w.RecentTickets.size())]);
    return;
  }
  const Ticket t = makeTicket(w);
  if (w.RecentTickets.size() >= 8)
    w.RecentTickets.erase(w.RecentTickets.begin());
  w.RecentTickets.push_back(t);
  send(w, which, t);
}

void cancelOne(World &w) {
  const std::size_t which = w.Rnd.below(SchedulerCount);
  Model &m = w.Models[which];
  AttemptId id = {{7, w.Rnd.below(w.NextRequest) + 1}, 1};
  if (!m.Waiting.empty() && w.Rnd.oneIn(2))
    id = m.Waiting.begin()->first;
  cancel(w.Schedulers[which], id);
  m.Waiting.erase(id);
  m.Open.erase(id);
}

std::size_t issuerOf(const World &w, const Grant &g) {
  return g.Id.Scheduler == w.Schedulers[0].Self ? 0 : 1;
}

GrantReturn makeReturn(World &w, const HeldGrant &h) {
  GrantReturn ret;
  ret.Id = h.IssuedGrant.Id;
  ret.Attempt = h.IssuedGrant.Attempt;
  ret.Endpoint = h.IssuedGrant.Endpoint;
  ret.Dispatched = h.WasDispatched;
  ret.RefusedByEndpoint = h.WasDispatched && w.Rnd.oneIn(10);
  ret.EndpointFailed = h.WasDispatched && w.Rnd.oneIn(10);
  ret.PromptTokens = static_cast<std::uint32_t>(w.Rnd.below(2000));
  ret.CachedTokens =
      static_cast<std::uint32_t>(w.Rnd.below(ret.PromptTokens + 1));
  ret.OutputTokens = static_cast<std::uint32_t>(w.Rnd.below(200));
  ret.FirstTokenTime = milliseconds(w.Rnd.below(500));
  ret.TotalTime = ret.FirstTokenTime + milliseconds(w.Rnd.below(4000));
  return ret;
}

/// Sends a return to one scheduler and updates its model.
void returnTo(World &w, std::size_t which, const GrantReturn &ret) {
  returnGrant(w.Schedulers[which], ret, w.Now);
  Model &m = w.Models[which];
  const auto it = m.Open.find(ret.Attempt);
  if (it != m.Open.end() && it->second.Id == ret.Id)
    m.Open.erase(it);
}

void returnOne(World &w) {
  if (w.HeldByEntries.empty())
    return;
  auto it = w.HeldByEntries.begin();
  std::advance(it, w.Rnd.below(w.HeldByEntries.size()));
  const GrantReturn ret = makeReturn(w, it->second);
  const std::size_t issuer = issuerOf(w, it->second.IssuedGrant);
  w.HeldByEntries.erase(it);
  if (!w.Rnd.oneIn(8)) // Some returns are lost.
    returnTo(w, issuer, ret);
  if (w.Rnd.oneIn(4)) // Some arrive twice or at the other scheduler.
    returnTo(w, w.Rnd.below(SchedulerCount), ret);
}

void announceTo(World &w, std::size_t which, const Grant &g) {
  announce(w.Schedulers[which], g, VmId::of("entry"), w.Now);
  Model &m = w.Models[which];
  m.Waiting.erase(g.Attempt);
  m.Open[g.Attempt] = g;
}

void announceSome(World &w) {
  for (const auto &[id, h] : w.HeldByEntries)
    if (h.WasDispatched && !w.Rnd.oneIn(3))
      announceTo(w,
                 w.Rnd.oneIn(8) ? w.Rnd.below(2) : issuerOf(w, h.IssuedGrant),
                 h.IssuedGrant);
}

/// Entries dispatch the grants that they may still use, according to a ping
/// with a random delay. All schedulers read the simulated clock.
void dispatchSome(World &w) {
  const Duration delay = milliseconds(w.Rnd.below(3000));
  for (auto &[id, h] : w.HeldByEntries) {
    if (h.WasDispatched)
      continue;
    const ClockBound cb{h.IssuedGrant.Id.Scheduler,
                        h.IssuedGrant.Id.Incarnation, w.Now - delay / 2,
                        w.Now - delay, true};
    if (!mayUse(cb, h.IssuedGrant, w.Now)) {
      ++w.Result.UsesPrevented;
      continue;
    }
    expect(w, w.Now < h.IssuedGrant.IssuedAt + h.IssuedGrant.Ttl,
           "a grant was used after its expiry");
    h.WasDispatched = true;
  }
}

void changeEndpoint(World &w) {
  EndpointState &st = w.Endpoints.Endpoints[w.Rnd.below(4)];
  switch (w.Rnd.below(5)) {
  case 0:
    st.Leaving = !st.Leaving;
    break;
  case 1:
    st.Draining = !st.Draining;
    break;
  case 2:
    st.ReportedVersion = w.Rnd.oneIn(2) ? New : Old;
    break;
  case 3:
    st.Load = LoadReport{w.Now - milliseconds(w.Rnd.below(4000)),
                         static_cast<std::uint32_t>(w.Rnd.below(8)),
                         static_cast<std::uint32_t>(w.Rnd.below(4)),
                         static_cast<std::uint32_t>(w.Rnd.below(4000))};
    break;
  default:
    w.Moves.Moves[0].VersionIsBad = w.Rnd.oneIn(3);
    break;
  }
}

void restartOne(World &w) {
  const std::size_t which = w.Rnd.below(SchedulerCount);
  start(w, which, w.Schedulers[which].Incarnation + 1);
  ++w.Result.Restarts;
  for (const auto &[id, h] : w.HeldByEntries)
    if (h.WasDispatched && issuerOf(w, h.IssuedGrant) == which)
      announceTo(w, which, h.IssuedGrant);
}

void checkGrant(World &w, const Model &m, const Grant &g) {
  const auto it = m.Waiting.find(g.Attempt);
  expect(w, it != m.Waiting.end(), "granted a ticket that isn't queued");
  if (it == m.Waiting.end())
    return;
  const Ticket &t = it->second;
  const EndpointState *st = findEndpointState(w.Endpoints, g.Endpoint);
  expect(w, !st->Leaving && !st->Draining,
         "granted at a leaving or draining endpoint");
  expect(w, g.Version == (st->ReportedVersion ? *st->ReportedVersion : Old),
         "granted a version that the endpoint doesn't run");
  expect(w, g.Version != New || !w.Moves.Moves[0].VersionIsBad,
         "granted a bad version");
  if (t.Choice == VersionChoice::ExceptNew)
    expect(w, g.Version != New, "ExceptNew was granted the new version");
  if (t.Choice == VersionChoice::NewOnly)
    expect(w, g.Version == New, "NewOnly was granted the old version");
}

void checkRefusal(World &w, const Model &m, const Refusal &r) {
  const auto it = m.Waiting.find(r.Attempt);
  expect(w, it != m.Waiting.end(), "refused a ticket that isn't queued");
  if (it == m.Waiting.end() || r.Reason != RefusalReason::Shed)
    return;
  ++w.Result.Shed;
  for (const auto &[id, other] : m.Waiting)
    expect(w, !isHigher(it->second.Rank, other.Rank),
           "shed a ticket while one of a lower tier waits");
}

/// The accounts must match the sums over the open grants.
void checkCounts(World &w, const Scheduler &s) {
  std::map<EndpointId, Usage> sums;
  for (const auto &[id, og] : s.OpenGrants) {
    ++sums[og.IssuedGrant.Endpoint].Slots;
    sums[og.IssuedGrant.Endpoint].Tokens += og.IssuedGrant.Tokens;
  }
  for (const EndpointAccount &acc : s.Accounts) {
    const Usage own = ownUsage(acc);
    expect(w, own.Slots == sums[acc.Id].Slots,
           "slots in use don't match the open grants");
    expect(w, own.Tokens == sums[acc.Id].Tokens,
           "tokens in use don't match the open grants");
  }
}

void stepOne(World &w, std::size_t which) {
  Scheduler &s = w.Schedulers[which];
  Model &m = w.Models[which];
  ScheduleActions out;
  step(s, {w.Config, w.Endpoints, w.Moves}, w.Now, out);
  ++w.Result.Steps;
  // Tickets are shed lowest tier first, and before any grant is issued.
  for (const Refusal &r : out.Refusals) {
    checkRefusal(w, m, r);
    m.Waiting.erase(r.Attempt);
  }
  for (const Grant &g : out.Grants) {
    checkGrant(w, m, g);
    m.Waiting.erase(g.Attempt);
    m.Open[g.Attempt] = g;
    if (!w.Rnd.oneIn(10)) // Some grants are lost.
      w.HeldByEntries[g.Attempt] = {g, false};
  }
  w.Result.Granted += out.Grants.size();
  w.Result.Refused += out.Refusals.size();
  std::erase_if(m.Open, [&](const auto &it) {
    return !s.OpenGrants.contains(it.first); // Expired.
  });
  expect(w, size(s.Queue) == m.Waiting.size(),
         "the queue size differs from the model");
  expect(w, s.OpenGrants.size() == m.Open.size(),
         "the number of open grants differs from the model");
  checkCounts(w, s);
}

void event(World &w) {
  switch (w.Rnd.below(16)) {
  case 0:
  case 1:
  case 2:
  case 3:
  case 4:
    return enqueueSome(w);
  case 5:
    return cancelOne(w);
  case 6:
  case 7:
    return returnOne(w);
  case 8:
    return announceSome(w);
  case 9:
    return dispatchSome(w);
  case 10:
    return changeEndpoint(w);
  case 11:
    w.Now += milliseconds(w.Rnd.oneIn(8) ? w.Rnd.below(5000) : w.Rnd.below(50));
    return;
  case 12:
    if (w.Rnd.oneIn(10))
      restartOne(w);
    return;
  default:
    return stepOne(w, w.Rnd.below(SchedulerCount));
  }
}

/// Returns all held grants, then waits until the others have expired and all
/// deadlines have passed. Nothing may be left.
void waitUntilIdle(World &w) {
  while (!w.HeldByEntries.empty())
    returnOne(w);
  for (int n = 0; n < 3; ++n) {
    w.Now += seconds(10);
    for (std::size_t i = 0; i < SchedulerCount; ++i)
      stepOne(w, i);
    w.HeldByEntries.clear();
  }
  for (Scheduler &s : w.Schedulers) {
    expect(w, size(s.Queue) == 0, "a ticket was neither granted nor refused");
    expect(w, s.OpenGrants.empty(), "a grant is still open");
    for (const EndpointAccount &acc : s.Accounts)
      expect(w, ownUsage(acc).Slots == 0, "a slot is still in use");
    w.Result.Expired += s.Counts.Expired;
  }
}

std::uint64_t invariantFailures() {
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < InvariantCount; ++i)
    n += failures(static_cast<Invariant>(i));
  return n;
}

std::string failedInvariants() {
  std::string names = " (failed invariants:";
  for (std::size_t i = 0; i < InvariantCount; ++i)
    if (failures(static_cast<Invariant>(i)) > 0)
      names.append(" ").append(toString(static_cast<Invariant>(i)));
  return names + ")";
}

} // namespace

HistoryResult runHistory(std::uint64_t seed, std::uint64_t events) {
  World w;
  w.Rnd.State = seed;
  const std::uint64_t before = invariantFailures();
  makeBundle(w);
  for (std::size_t i = 0; i < SchedulerCount; ++i)
    start(w, i, 1);
  for (std::uint64_t n = 0; n < events && w.Result.Violation.empty(); ++n)
    event(w);
  if (w.Result.Violation.empty())
    waitUntilIdle(w);
  if (invariantFailures() != before)
    w.Result.Violation += failedInvariants();
  return w.Result;
}

} // namespace zinniagauge::support
