// Relays calls through other fronts to back ends that this one can't reach.
#include "zinniagauge/front/relay.h"

#include "zinniagauge/decide/random.h"
#include "zinniagauge/decide/relay_choice.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace zinniagauge {

namespace {

/// How long a front is passed over after its connection failed or, for one
/// pool, after it said that it doesn't reach it. Its reports say so by then.
constexpr Duration PassOverTime = std::chrono::seconds(1);

/// The part of the descriptors that the calls relayed through one front may
/// use; it has about as many for those of all fronts together.
constexpr std::size_t DescriptorsPerCall = 16;

std::uint32_t maxRunningPerPeer(const RequestLoop &rl) {
  return static_cast<std::uint32_t>(std::max<std::size_t>(
      rl.Settings.MaxDescriptors / DescriptorsPerCall, 1));
}

/// The id of one process of a front.
EndpointId peerId(const RelayPeer &peer) {
  return {mix64(peer.Node ^ mix64(peer.Token))};
}

std::string hexOf(std::uint64_t val) {
  constexpr int Hex = 16;
  std::array<char, 16> buf{};
  const auto res = std::to_chars(buf.data(), buf.data() + buf.size(), val, Hex);
  return {buf.data(), res.ptr};
}

bool contains(const std::vector<EndpointId> &list, EndpointId id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

/// Whether \p peer doesn't reach \p pool, as its report \p said or its latest
/// response say.
bool isUnreachedAt(const BackendState &peer, const RelayPeer &said, PoolId pool,
                   Time now) {
  const auto it = peer.UnreachedUntil.find(pool);
  return (it != peer.UnreachedUntil.end() && now < it->second) ||
         std::binary_search(said.Unreached.begin(), said.Unreached.end(), pool);
}

std::int64_t millisOf(Duration d) {
  return std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count(), 0);
}

} // namespace

bool isRelayField(std::string_view name) noexcept {
  return equalsIgnoreCase(name.substr(0, relay::FieldPrefix.size()),
                          relay::FieldPrefix);
}

void refreshRelayPeers(RequestLoop &rl) {
  for (auto &[id, st] : rl.Peers)
    st->Listed = false;
  if (rl.Settings.RelayAddress.Port != 0) {
    const ReadGuard guard;
    for (const RelayPeer &p : rl.Board.RelayPeers.read(guard).List) {
      auto &st = rl.Peers[peerId(p)];
      if (!st)
        st = std::make_unique<BackendState>();
      st->Info.Name = "front-" + hexOf(p.Node);
      st->Info.Id = peerId(p);
      st->Info.Address = p.Address;
      st->Info.Zone = p.Zone;
      st->Listed = true;
      st->IsPeer = true;
      st->PeerToken = p.Token;
    }
  }
  std::erase_if(rl.Peers, [](const auto &item) {
    return !item.second->Listed && item.second->ConnectionCount == 0;
  });
}

BackendState *pickRelayPeer(RequestLoop &rl, const Call &call) {
  if (call.FromPeer || rl.Peers.empty() || isHeldBack(rl, call))
    return nullptr;
  const ZoneId zone = ZoneId::of(rl.Settings.Zone);
  std::vector<RelayCandidate> candidates;
  std::vector<BackendState *> peers;
  const ReadGuard guard;
  for (const RelayPeer &p : rl.Board.RelayPeers.read(guard).List) {
    const auto it = rl.Peers.find(peerId(p));
    if (it == rl.Peers.end())
      continue;
    BackendState &st = *it->second;
    RelayCandidate c;
    c.Usable = isUsable(st) && rl.EventLoop.Now >= st.PassedOverUntil &&
               !contains(call.RefusedBy, st.Info.Id) &&
               !isUnreachedAt(st, p, call.Plan.Pool, rl.EventLoop.Now);
    c.SameZone = st.Info.Zone == zone;
    c.Tried = contains(call.TriedBackends, st.Info.Id);
    c.Running = st.Running;
    candidates.push_back(c);
    peers.push_back(&st);
  }
  const auto at =
      chooseRelayPeer(candidates, maxRunningPerPeer(rl), rl.RandomState);
  return at ? peers[*at] : nullptr;
}

void writeRelayFields(std::string &out, const Call &call,
                      const BackendState &peer) {
  const CallPlan &plan = call.Plan;
  std::array<std::int64_t, relay::PlanNumberCount> nums{};
  nums[relay::Kind] = static_cast<std::int64_t>(call.Facts.Kind);
  nums[relay::Resumable] = call.Facts.Resumable ? 1 : 0;
  nums[relay::MaxAttempts] = call.AttemptsCharged;
  nums[relay::KeepsOne] = keepsAttempt(call.Facts) ? 1 : 0;
  nums[relay::TimeoutMs] = millisOf(plan.Timeout);
  nums[relay::LatencyTargetMs] = millisOf(plan.LatencyTarget);
  nums[relay::GapTargetMs] = millisOf(plan.GapTarget);
  nums[relay::AgeMs] = millisOf(call.SentAt - call.Arrived);
  nums[relay::Priority] = plan.Priority;
  nums[relay::RoutePriority] = plan.RoutePriority;
  nums[relay::MostUrgent] = plan.MostUrgent ? 1 : 0;
  nums[relay::PlanVersion] = static_cast<std::int64_t>(plan.Version);
  std::string text;
  for (const std::int64_t num : nums)
    text.append(text.empty() ? "" : ",").append(std::to_string(num));
  writeField(out, relay::Token, hexOf(peer.PeerToken));
  writeField(out, relay::Plan, text);
  writeField(out, relay::Pool, hexOf(plan.Pool.Value));
  writeField(out, relay::Route, plan.Route);
  if (plan.HasWorkspace)
    writeField(out, relay::Workspace, plan.WorkspaceName);
}

std::optional<AttemptEnd> relayOutcome(const MessageHead &head) noexcept {
  constexpr int Misdirected = 421; // Another process answered.
  const auto outcome = findField(head.Fields, relay::Outcome);
  if (head.Status == Misdirected)
    return AttemptEnd::NotSent;
  if (!outcome)
    return std::nullopt;
  if (*outcome != "not_run")
    return AttemptEnd::Lost;
  return relayAttempts(head) == 0 ? AttemptEnd::NotSent : AttemptEnd::NotRun;
}

std::uint32_t relayAttempts(const MessageHead &head) noexcept {
  const auto text = findField(head.Fields, relay::Attempts);
  const auto num = text ? parseNumber(*text) : std::nullopt;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(num.value_or(0), UINT32_MAX));
}

void passOverPeer(RequestLoop &rl, BackendState &peer) {
  if (rl.EventLoop.Now >= peer.PassedOverUntil) {
    EventLine line = eventLine("relay_peer_passed_over");
    add(line, "front", peer.Info.Name);
    rl.Log.write(line);
  }
  peer.PassedOverUntil = rl.EventLoop.Now + PassOverTime;
}

void recordRelayEnd(RequestLoop &rl, Call &call, const MessageHead &head,
                    AttemptEnd end) {
  constexpr int Misdirected = 421; // Another process answered.
  const auto it = rl.Peers.find(call.LastBackend);
  if (it != rl.Peers.end() && head.Status == Misdirected)
    passOverPeer(rl, *it->second);
  if (it != rl.Peers.end() && findField(head.Fields, relay::Unreached) == "1")
    it->second->UnreachedUntil[call.Plan.Pool] =
        rl.EventLoop.Now + PassOverTime;
  if (end == AttemptEnd::NotSent)
    call.RefusedBy.push_back(call.LastBackend);
  else
    call.Facts.SentAttempts +=
        std::min(relayAttempts(head), call.Facts.MaxAttempts) -
        call.AttemptsCharged;
}

void recordFurtherAttempts(Call &call, const MessageHead &head) {
  const std::uint32_t used =
      std::min(relayAttempts(head), call.Facts.MaxAttempts);
  if (used <= call.AttemptsCharged)
    return;
  call.Facts.SentAttempts += used - call.AttemptsCharged;
  call.AttemptsCharged = used;
}

} // namespace zinniagauge
