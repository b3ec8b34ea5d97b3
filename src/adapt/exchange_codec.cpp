#include "zinniagauge/adapt/exchange_codec.h"

#include <algorithm>

namespace zinniagauge {

namespace {

using Numbers = capnp::List<std::uint32_t>;

unsigned sizeOf(std::size_t n) noexcept { return static_cast<unsigned>(n); }

void writeBuckets(std::span<const std::uint32_t> from, Numbers::Builder out) {
  for (unsigned n = 0; n < from.size(); ++n)
    out.set(n, from[n]);
}

bool readBuckets(Numbers::Reader in, std::span<std::uint32_t> into) {
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

void writeBeats(std::span<const Beat> beats, wire::ExchangeSwap::Builder out) {
  const unsigned n = sizeOf(beats.size());
  auto keys = out.initBeatKeys(n);
  auto heartbeats = out.initHeartbeats(n);
  auto versions = out.initBundleVersions(n);
  for (unsigned k = 0; k < n; ++k) {
    keys.set(k, beats[k].Key);
    heartbeats.set(k, beats[k].Heartbeat);
    versions.set(k, beats[k].BundleVersion);
  }
}

bool readBeats(wire::ExchangeSwap::Reader in, std::vector<Beat> &out) {
  const auto keys = in.getBeatKeys();
  const auto heartbeats = in.getHeartbeats();
  const auto versions = in.getBundleVersions();
  if (keys.size() != heartbeats.size() || keys.size() != versions.size())
    return false;
  for (unsigned k = 0; k < keys.size(); ++k)
    out.push_back({keys[k], heartbeats[k], versions[k]});
  return true;
}

void writeMember(const MemberRecord &r, wire::ExchangeMember::Builder out) {
  out.setName(r.Said.Name);
  out.setZoneName(r.Said.ZoneName);
  out.setEntryAddress(r.Said.EntryAddress);
  out.setAgentAddress(r.Said.AgentAddress);
  out.setMetricsAddress(r.Said.MetricsAddress);
  out.setIncarnation(r.Said.Incarnation);
  out.setHeartbeat(r.Said.Heartbeat);
  out.setBundleVersion(r.Said.BundleVersion);
  out.setDownAt(r.DownAt);
  out.setLeaving(r.Leaving);
}

MemberRecord readMember(wire::ExchangeMember::Reader in) {
  MemberRecord r;
  r.Said.Name = in.getName().cStr();
  r.Said.Id = VmId::of(r.Said.Name);
  r.Said.ZoneName = in.getZoneName().cStr();
  r.Said.Zone = ZoneId::of(r.Said.ZoneName);
  r.Said.EntryAddress = in.getEntryAddress().cStr();
  r.Said.AgentAddress = in.getAgentAddress().cStr();
  r.Said.MetricsAddress = in.getMetricsAddress().cStr();
  r.Said.Incarnation = in.getIncarnation();
  r.Said.Heartbeat = in.getHeartbeat();
  r.Said.BundleVersion = in.getBundleVersion();
  r.DownAt = in.getDownAt();
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
  out.setFence(st.Fence);
  out.setSharePermille(st.SharePermille);
  out.setStage(static_cast<std::uint8_t>(st.Stage));
  out.setBad(st.Bad);
  out.setEvidence(st.Evidence);
}

bool readMove(wire::ExchangeMove::Reader in, MoveState &st) {
  constexpr auto Last = static_cast<std::uint8_t>(MoveStage::TakenBack);
  if (in.getStage() > Last)
    return false;
  st.Id = MoveId{in.getId()};
  st.Fence = in.getFence();
  st.SharePermille = in.getSharePermille();
  st.Stage = static_cast<MoveStage>(in.getStage());
  st.Bad = in.getBad();
  st.Evidence = in.getEvidence().cStr();
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

void writeSwap(const Swap &s, const Member &from,
               wire::ExchangeSwap::Builder out) {
  out.setFromName(from.Name);
  out.setFromZone(from.ZoneName);
  writeDigest(s.Held, out.initHeld());
  writeBeats(s.Beats, out);
  auto members = out.initMembers(sizeOf(s.Members.size()));
  for (unsigned n = 0; n < members.size(); ++n)
    writeMember(s.Members[n], members[n]);
  auto endpoints = out.initEndpoints(sizeOf(s.Endpoints.size()));
  for (unsigned n = 0; n < endpoints.size(); ++n)
    writeEndpoint(s.Endpoints[n], endpoints[n]);
  auto moves = out.initMoves(sizeOf(s.Moves.size()));
  for (unsigned n = 0; n < moves.size(); ++n)
    writeMove(s.Moves[n], moves[n]);
  if (!s.Bundle)
    return;
  auto bundle = out.initBundle();
  bundle.setVersion(s.Bundle->Version);
  bundle.setDigest(s.Bundle->Digest);
  bundle.setText(s.Bundle->Text);
}

Result<Swap> readSwap(wire::ExchangeSwap::Reader in) {
  Swap s;
  s.From = VmId::of(in.getFromName().cStr());
  s.FromZone = ZoneId::of(in.getFromZone().cStr());
  const bool whole = readDigest(in.getHeld(), s.Held) &&
                     readBeats(in, s.Beats) && readMoves(in, s.Moves);
  if (!whole)
    return fail({ErrorCode::Broken, Step::Exchange, in.getFromName().cStr(),
                 "the swap's parts don't fit together"});
  for (const auto m : in.getMembers())
    s.Members.push_back(readMember(m));
  for (const auto e : in.getEndpoints())
    s.Endpoints.push_back(readEndpoint(e));
  s.Bundle = readBundle(in);
  return s;
}

} // namespace zinniagauge
