#include "zinniagauge/store/controllers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace zinniagauge {

namespace {

/// How often this front is published and the others are read. Shares of
/// allowances follow demand at this pace where fronts can't hear each other.
constexpr Duration BeatPeriod = std::chrono::seconds(4);

constexpr Duration AnswerTime = std::chrono::milliseconds(700);

using nlohmann::json;

std::string rowText(const PeerController &pk, const DemandList &demands) {
  json list = json::array();
  for (const Demand &d : demands.List)
    list.push_back({d.Workspace.Value, static_cast<std::uint64_t>(
                                           std::max(d.CostPerSecond, 0.0))});
  const json doc = {{"life", pk.Incarnation},
                    {"beat", pk.Heartbeat},
                    {"address", toString(pk.Owner->Settings.Peers)},
                    {"demands", std::move(list)}};
  return doc.dump();
}

/// The row of another front; nothing if it can't be read.
std::optional<PeerDemand> peerOf(const TableRow &row) {
  const json doc = json::parse(row.Value, nullptr, false);
  if (!doc.is_object())
    return std::nullopt;
  const auto life = doc.find("life");
  const auto beat = doc.find("beat");
  const auto list = doc.find("demands");
  if (life == doc.end() || !life->is_number_unsigned() || beat == doc.end() ||
      !beat->is_number_unsigned() || list == doc.end() || !list->is_array())
    return std::nullopt;
  PeerDemand out;
  out.Name = row.Key;
  out.Address =
      parseAddress(doc.value("address", std::string())).value_or(PeerAddress{});
  out.Incarnation = life->get<std::uint64_t>();
  out.Heartbeat = beat->get<std::uint64_t>();
  for (const json &d : *list)
    if (d.is_array() && d.size() == 2 && d[0].is_number_unsigned() &&
        d[1].is_number())
      out.Demands.push_back({{d[0].get<std::uint64_t>()}, d[1].get<double>()});
  return out;
}

void takeRows(PeerController &pk, const TableReadResult &rd) {
  Controllers &ct = *pk.Owner;
  std::vector<PeerDemand> peers;
  for (const TableRow &row : rd.Rows) {
    if (auto p = peerOf(row))
      peers.push_back(std::move(*p));
    else
      countTableCall(ct.Metrics, "front_row", "unreadable");
  }
  updatePeers(pk.PeerDemands, peers, ct.Lp.Now);
  AllowanceShares shares = computeShares(pk.PeerDemands, ct.Settings.Node,
                                         ct.Board.Demands.copy().List);
  const std::uint32_t before = ct.Board.Shares.copy().AliveProcesses;
  if (before != shares.AliveProcesses) {
    EventLine line = eventLine("fronts");
    add(line, "living", std::int64_t{shares.AliveProcesses});
    add(line, "before", std::int64_t{before});
    ct.Log.write(line);
  }
  ct.Board.Shares.publish(std::move(shares));
}

void failed(PeerController &pk, const Error &err) {
  recordStoreResult(*pk.Owner, pk.StoreUnreachable, "fronts", &err);
  arm(pk.Owner->Lp, pk.Timer, pk.Owner->Lp.Now + BeatPeriod);
}

void onRead(void *ctx, const StoreResponse &answer) {
  PeerController &pk = *static_cast<PeerController *>(ctx);
  handleResult([&] { return pk.Owner->Protocol.ParseRows(answer); },
               [&](const TableReadResult &rd) {
                 recordStoreResult(*pk.Owner, pk.StoreUnreachable, "fronts",
                                   nullptr);
                 takeRows(pk, rd);
                 arm(pk.Owner->Lp, pk.Timer, pk.Owner->Lp.Now + BeatPeriod);
                 return 0;
               },
               [&](const Error &err) {
                 failed(pk, err);
                 return 0;
               });
}

void onWritten(void *ctx, const StoreResponse &answer) {
  PeerController &pk = *static_cast<PeerController *>(ctx);
  handleResult([&] { return pk.Owner->Protocol.ParseWriteResult(answer); },
               [&](const TableResult & /*res*/) {
                 sendRequest(
                     pk.Connection,
                     pk.Owner->Protocol.ReadRequest(StoreTable::Fronts, {}),
                     AnswerTime, onRead, &pk);
                 return 0;
               },
               [&](const Error &err) {
                 failed(pk, err);
                 return 0;
               });
}

void onBeat(void *ctx, Time /*now*/) {
  PeerController &pk = *static_cast<PeerController *>(ctx);
  ++pk.Heartbeat;
  TableTransaction tx;
  tx.Ops.push_back({TableOpKind::Put, pk.Owner->Settings.Node,
                    rowText(pk, pk.Owner->Board.Demands.copy()), 0});
  sendRequest(pk.Connection,
              pk.Owner->Protocol.WriteRequest(StoreTable::Fronts, tx),
              AnswerTime, onWritten, &pk);
}

} // namespace

void startPeerController(PeerController &pk) {
  std::random_device dev;
  pk.Incarnation = (std::uint64_t{dev()} << 32U) | dev();
  setUpStoreConnection(pk.Connection, pk.Owner->Lp,
                       pk.Owner->Settings.TableService);
  pk.Timer.Fn = onBeat;
  pk.Timer.Ctx = &pk;
  onBeat(&pk, pk.Owner->Lp.Now);
}

} // namespace zinniagauge
