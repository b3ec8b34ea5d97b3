// Builds the lists of relay peers, and decides when they are sent.
#include "zinniagauge/store/relay_lists.h"

#include "zinniagauge/decide/relay_selection.h"
#include "zinniagauge/store/controllers.h"
#include "zinniagauge/store/report_builder.h"

#include <algorithm>
#include <tuple>

namespace zinniagauge {

namespace {

/// Entries of a list at most. An entry takes up to 40 bytes of a datagram.
constexpr std::size_t MaxRelaysSent = 16;

/// Minimum interval between two different lists to the same recipients.
constexpr Duration MinChangeInterval = std::chrono::milliseconds(100);

/// A changed list is sent a second time after this interval, in case that the
/// datagram was lost.
constexpr Duration SecondSendInterval = std::chrono::milliseconds(250);

/// An unchanged list is sent again after the longer of these; the second is
/// multiplied by the number of recipients. It bounds what unchanged lists cost
/// to 6.4 KB a second for any number of recipients.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
constexpr Duration RepeatIntervalPerRecipient = std::chrono::milliseconds(100);

/// An entry, with what decides between two that name the same front.
struct Claim {
  const RelayPeer *Peer;
  bool FromItself;
  Time ChangedAt; // When the list that contains it was last changed.
};

void addClaims(std::vector<Claim> &out, const GossipState &state, Time now) {
  for (const auto &[node, peer] : state.Peers)
    if (peer.LastReport.Relays && now - peer.LastReportAt <= FrontTimeout)
      for (const RelayPeer &p : *peer.LastReport.Relays)
        out.push_back({&p, p.Node == node, peer.RelaysChangedAt});
}

/// The claimed fronts, each once, sorted by node. What a front says of itself
/// goes before what others say, and then newer lists before older ones: a front
/// may have restarted, or changed to another coordinator.
std::vector<RelayPeer> mergeClaims(std::vector<Claim> claims) {
  std::sort(claims.begin(), claims.end(), [](const Claim &a, const Claim &b) {
    return std::tuple(a.Peer->Node, b.FromItself, b.ChangedAt) <
           std::tuple(b.Peer->Node, a.FromItself, a.ChangedAt);
  });
  std::vector<RelayPeer> out;
  for (const Claim &c : claims)
    if (out.empty() || out.back().Node != c.Peer->Node)
      out.push_back(*c.Peer);
  return out;
}

/// All fronts that a coordinator knows, itself included.
std::vector<RelayPeer> relaysOfCoordinator(Gossip &gossip) {
  const Time now = gossip.Owner->EventLoop.Now;
  gossip.RelaysHeardAt = now;
  const std::vector<RelayPeer> own = ownRelays(gossip);
  std::vector<Claim> claims;
  addClaims(claims, gossip.PeerReports, now);
  addClaims(claims, gossip.MemberReports, now);
  std::erase_if(claims, [self = ownNode(gossip)](const Claim &c) {
    return c.Peer->Node == self;
  });
  for (const RelayPeer &p : own)
    claims.push_back({&p, true, now});
  return mergeClaims(std::move(claims));
}

/// The list of the coordinator's last summary. It stays for FrontTimeout while
/// another coordinator is sought.
std::vector<RelayPeer> relaysOfMember(Gossip &gossip) {
  const Time now = gossip.Owner->EventLoop.Now;
  const Membership &ms = gossip.Coordinator;
  if (ms.Current < ms.Candidates.size() && isAttached(gossip)) {
    const auto it =
        gossip.Summaries.Peers.find(nameHash(ms.Candidates[ms.Current].Node));
    if (it != gossip.Summaries.Peers.end() && it->second.LastReport.Relays) {
      gossip.RelaysHeardAt = it->second.LastReportAt;
      std::vector<RelayPeer> list = *it->second.LastReport.Relays;
      std::erase_if(list, [self = ownNode(gossip)](const RelayPeer &p) {
        return p.Node == self;
      });
      return list;
    }
  }
  if (now - gossip.RelaysHeardAt <= FrontTimeout)
    return gossip.KnownRelays;
  return {};
}

} // namespace

std::vector<RelayPeer> ownRelays(const Gossip &gossip) {
  const Controllers &ct = *gossip.Owner;
  RelayPeer self;
  self.Node = ownNode(gossip);
  self.Zone = ZoneId::of(ct.Settings.Zone);
  self.Address = ct.Settings.RelayAddress;
  self.Token = ct.Board.RelayToken;
  // While it stops, this front refuses relayed calls.
  if (self.Address.Port == 0 || self.Token == 0 || ct.Board.Stopping)
    return {};
  self.Unreached = ct.Board.OwnUnreached.copy().Pools;
  // A partial list would say that the other pools are reached.
  if (self.Unreached.size() > MaxUnreachedPools)
    return {};
  return {std::move(self)};
}

std::vector<RelayPeer> groupRelays(const Gossip &gossip) {
  const std::vector<RelayPeer> own = ownRelays(gossip);
  std::vector<Claim> claims;
  addClaims(claims, gossip.MemberReports, gossip.Owner->EventLoop.Now);
  std::erase_if(claims, [self = ownNode(gossip)](const Claim &c) {
    return !c.FromItself || c.Peer->Node == self;
  });
  for (const RelayPeer &p : own)
    claims.push_back({&p, true, Time()});
  return selectRelays(mergeClaims(std::move(claims)), ownNode(gossip),
                      MaxRelaysSent);
}

std::vector<RelayPeer> memberRelays(const Gossip &gossip, std::uint64_t node) {
  std::vector<RelayPeer> list = gossip.KnownRelays;
  std::erase_if(list, [&](const RelayPeer &p) { return p.Node == node; });
  return selectRelays(list, node, MaxRelaysSent);
}

Time changeDueAt(const RelayStream &stream, std::span<const RelayPeer> list) {
  if (stream.SentAt == Time())
    return Time();
  return std::ranges::equal(stream.Sent, list)
             ? Time::max()
             : stream.SentAt + MinChangeInterval;
}

bool isRepeatDue(const RelayStream &stream, Time now, std::size_t recipients) {
  const Duration interval =
      stream.SentTwice
          ? std::max<Duration>(RepeatInterval,
                               RepeatIntervalPerRecipient *
                                   static_cast<std::int64_t>(recipients))
          : SecondSendInterval;
  return now - stream.SentAt >= interval;
}

std::optional<std::vector<RelayPeer>> nextRelays(RelayStream &stream,
                                                 std::vector<RelayPeer> list,
                                                 Time now,
                                                 std::size_t recipients) {
  const bool changed = changeDueAt(stream, list) <= now;
  if (!changed &&
      (stream.Sent != list || !isRepeatDue(stream, now, recipients)))
    return std::nullopt;
  stream.SentTwice = !changed;
  stream.SentAt = now;
  stream.Sent = list;
  return list;
}

std::optional<std::vector<RelayPeer>> nextMemberRelays(Gossip &gossip,
                                                       std::uint64_t node,
                                                       GroupMember &member,
                                                       std::size_t members) {
  const Time now = gossip.Owner->EventLoop.Now;
  // Selecting costs more than all else in a report to a member.
  if (member.RelaysVersion == gossip.RelaysVersion &&
      !isRepeatDue(member.Relays, now, members))
    return std::nullopt;
  std::vector<RelayPeer> list = memberRelays(gossip, node);
  auto out = nextRelays(member.Relays, std::move(list), now, members);
  if (out)
    member.RelaysVersion = gossip.RelaysVersion;
  return out;
}

void refreshRelays(Gossip &gossip) {
  Controllers &ct = *gossip.Owner;
  std::vector<RelayPeer> known = gossip.IsCoordinator
                                     ? relaysOfCoordinator(gossip)
                                     : relaysOfMember(gossip);
  if (known == gossip.KnownRelays)
    return;
  gossip.KnownRelays = std::move(known);
  ++gossip.RelaysVersion;
  RelayPeerList others{gossip.KnownRelays};
  std::erase_if(others.List, [self = ownNode(gossip)](const RelayPeer &p) {
    return p.Node == self;
  });
  if (others == ct.Board.RelayPeers.copy())
    return;
  ct.Board.RelayPeers.publish(std::move(others));
  ct.OnChange();
}

void completeRelayAddresses(GossipReport &rep, PeerAddress from) {
  if (!rep.Relays)
    return;
  for (RelayPeer &p : *rep.Relays)
    if (p.Address.Ip == 0 && p.Node == rep.Node)
      p.Address.Ip = from.Ip;
  std::erase_if(*rep.Relays,
                [](const RelayPeer &p) { return p.Address.Ip == 0; });
}

} // namespace zinniagauge
