#include "zinniagauge/adapt/exchange_codec.h"

#include <algorithm>

namespace zinniagauge {

namespace {

using UInt32List = capnp::List<std::uint32_t>;

unsigned sizeOf(std::size_t n) noexcept { return static_cast<unsigned>(n); }

void writeBuckets(std::span<const std::uint32_t> from,
                  UInt32List::Builder out) {
  for (unsigned n = 0; n < from.size(); ++n)
    out.set(n, from[n]);
}

bool readBuckets(UInt32List::Reader in, std::span<std::uint32_t> into) {
  if (in.size() != into.size())
    return false;
  std::copy(in.begin(), in.end(), into.begin());
  return true;
}

void writeDigest(const StateDigest &d, wire::ExchangeDigest::Builder out) {
  out.setBundleVersion(d.BundleVersion);
  writeBuckets(d.Members, out.initMembers(DigestBuckets));
  writeBuckets(d.Endpoints, out.initEndpoints(DigestBuckets));
  writeBuckets(d.Moves, out.initMoves(DigestBuckets));
}

bool readDigest(wire::ExchangeDigest::Reader in, StateDigest &d) {
  d.BundleVersion = in.getBundleVersion();
  return readBuckets(in.getMembers(), d.Members) &&
         readBuckets(in.getEndpoints(), d.Endpoints) &&
         readBuckets(in.getMoves(), d.Moves);
}

void writeHeartbeats(std::span<const CompactHeartbeat> heartbeats,
                     wire::ExchangeSwap::Builder out) {
  const unsigned n = sizeOf(heartbeats.size());
  auto keys = out.initBeatKeys(n);
  auto counts = out.initHeartbeats(n);
  auto versions = out.initBundleVersions(n);
  for (unsigned k = 0; k < n; ++k) {
    keys.set(k, heartbeats[k].Key);
    counts.set(k, heartbeats[k].Heartbeat);
    versions.set(k, heartbeats[k].BundleVersion);
  }
}

bool readHeartbeats(wire::ExchangeSwap::Reader in,
                    std::vector<CompactHeartbeat> &out) {
  const auto keys = in.getBeatKeys();
  const auto counts = in.getHeartbeats();
  const auto versions = in.getBundleVersions();
  if (keys.size() != counts.size() || keys.size() != versions.size())
    return false;
  for (unsigned k = 0; k < keys.size(); ++k)
    out.push_back({keys[k], counts[k], versions[k]});
  return true;
}

void writeMember(const MemberRecord &r, wire::ExchangeMember::Builder out) {
  out.setName(r.Info.Name);
  out.setZoneName(r.Info.ZoneName);
  out.setEntryAddress(r.Info.EntryAddress);
  out.setAgentAddress(r.Info.AgentAddress);
  out.setMetricsAddress(r.Info.MetricsAddress);
  out.setIncarnation(r.Info.Incarnation);
  out.setHeartbeat(r.Info.Heartbeat);
  out.setBundleVersion(r.Info.BundleVersion);
  out.setDownAt(r.DownAtHeartbeat);
  out.setLeaving(r.Leaving);
}

MemberRecord readMember(wire::ExchangeMember::Reader in) {
  MemberRecord r;
  r.Info.Name = in.getName().cStr();
  r.Info.Id = VmId::of(r.Info.Name);
  r.Info.ZoneName = in.getZoneName().cStr();
  r.Info.Zone = ZoneId::of(r.Info.ZoneName);
  r.Info.EntryAddress = in.getEntryAddress().cStr();
  r.Info.AgentAddress = in.getAgentAddress().cStr();
  r.Info.MetricsAddress = in.getMetricsAddress().cStr();
  r.Info.Incarnation = in.getIncarnation();
  r.Info.Heartbeat = in.getHeartbeat();
  r.Info.BundleVersion = in.getBundleVersion();
  r.DownAtHeartbeat = in.getDownAt();
  r.Leaving = in.getLeaving();
  return r;
}

void writeEndpoint(const EndpointRecord &r,
                   wire::ExchangeEndpoint::Builder out) {
  out.setId(r.Id.Value);
  out.setIncarnation(r.Incarnation);
  out.setReportedAt(r.ReportedAt);
  out.setReported(r.Reported.Value);
  out.setLeaving(r.Leaving);
  out.setDraining(r.Draining);
}

EndpointRecord readEndpoint(wire::ExchangeEndpoint::Reader in) {
  EndpointRecord r;
  r.Id = EndpointId{in.getId()};
  r.Incarnation = in.getIncarnation();
  r.ReportedAt = in.getReportedAt();
  r.Reported = VersionId{in.getReported()};
  r.Leaving = in.getLeaving();
  r.Draining = in.getDraining();
  return r;
}

void writeMove(const MoveState &st, wire::ExchangeMove::Builder out) {
  out.setId(st.Id.Value);
  out.setFence(st.FencingToken);
  out.setSharePermille(st.SharePermille);
  out.setStage(static_cast<std::uint8_t>(st.Stage));
  out.setBad(st.VersionIsBad);
  out.setEvidence(st.BadReason);
}

bool readMove(wire::ExchangeMove::Reader in, MoveState &st) {
  constexpr auto Last = static_cast<std::uint8_t>(MoveStage::RolledBack);
  if (in.getStage() > Last)
    return false;
  st.Id = MoveId{in.getId()};
  st.FencingToken = in.getFence();
  st.SharePermille = in.getSharePermille();
  st.Stage = static_cast<MoveStage>(in.getStage());
  st.VersionIsBad = in.getBad();
  st.BadReason = in.getEvidence().cStr();
  return true;
}

bool readMoves(wire::ExchangeSwap::Reader in, std::vector<MoveState> &out) {
  for (const auto m : in.getMoves())
    if (!readMove(m, out.emplace_back()))
      return false;
  return true;
}

std::optional<BundleText> readBundle(wire::ExchangeSwap::Reader in) {
  if (!in.hasBundle())
    return std::nullopt;
  const auto b = in.getBundle();
  return BundleText{b.getVersion(), b.getDigest().cStr(), b.getText().cStr()};
}

} // namespace

void writeExchangeMessage(const ExchangeMessage &message, const Member &from,
                          wire::ExchangeSwap::Builder out) {
  out.setFromName(from.Name);
  out.setFromZone(from.ZoneName);
  writeDigest(message.Digest, out.initHeld());
  writeHeartbeats(message.Heartbeats, out);
  auto members = out.initMembers(sizeOf(message.Members.size()));
  for (unsigned n = 0; n < members.size(); ++n)
    writeMember(message.Members[n], members[n]);
  auto endpoints = out.initEndpoints(sizeOf(message.Endpoints.size()));
  for (unsigned n = 0; n < endpoints.size(); ++n)
    writeEndpoint(message.Endpoints[n], endpoints[n]);
  auto moves = out.initMoves(sizeOf(message.Moves.size()));
  for (unsigned n = 0; n < moves.size(); ++n)
    writeMove(message.Moves[n], moves[n]);
  if (!message.Bundle)
    return;
  auto bundle = out.initBundle();
  bundle.setVersion(message.Bundle->Version);
  bundle.setDigest(message.Bundle->Digest);
  bundle.setText(message.Bundle->Text);
}

Result<ExchangeMessage> readExchangeMessage(wire::ExchangeSwap::Reader in) {
  ExchangeMessage message;
  message.From = VmId::of(in.getFromName().cStr());
  message.FromZone = ZoneId::of(in.getFromZone().cStr());
  const bool valid = readDigest(in.getHeld(), message.Digest) &&
                     readHeartbeats(in, message.Heartbeats) &&
                     readMoves(in, message.Moves);
  if (!valid)
    return fail({ErrorCode::Broken, Step::Exchange, in.getFromName().cStr(),
                 "the swap's parts don't fit together"});
  for (const auto m : in.getMembers())
    message.Members.push_back(readMember(m));
  for (const auto e : in.getEndpoints())
    message.Endpoints.push_back(readEndpoint(e));
  message.Bundle = readBundle(in);
  return message;
}

} // namespace zinniagauge
