// Publishes this front's demand and computes its shares of allowances from that
// of all fronts.
#include "zinniagauge/store/controllers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace zinniagauge {

namespace {

/// How often this front's row is written and the others' rows are read. Where
/// fronts can't receive each other's gossip, the shares of allowances follow
/// demand at this period.
constexpr Duration HeartbeatPeriod = std::chrono::seconds(4);

constexpr Duration ResponseTimeout = std::chrono::milliseconds(700);

using nlohmann::json;

/// This front's row as JSON text.
std::string encodeRow(const PeerController &pc, const DemandList &demands) {
  json list = json::array();
  for (const Demand &d : demands.List)
    list.push_back({d.Workspace.Value, static_cast<std::uint64_t>(
                                           std::max(d.CostPerSecond, 0.0))});
  const json doc = {{"life", pc.Incarnation},
                    {"beat", pc.Heartbeat},
                    {"address", toString(pc.Owner->Settings.GossipAddress)},
                    {"demands", std::move(list)}};
  return doc.dump();
}

/// Parses the row of a front; nullopt if it can't be read.
std::optional<PeerDemand> parsePeerRow(const TableRow &row) {
  const json doc = json::parse(row.Value, nullptr, false);
  if (!doc.is_object())
    return std::nullopt;
  const auto incarnation = doc.find("life");
  const auto heartbeat = doc.find("beat");
  const auto list = doc.find("demands");
  if (incarnation == doc.end() || !incarnation->is_number_unsigned() ||
      heartbeat == doc.end() || !heartbeat->is_number_unsigned() ||
      list == doc.end() || !list->is_array())
    return std::nullopt;
  PeerDemand out;
  out.Name = row.Key;
  out.Address =
      parseAddress(doc.value("address", std::string())).value_or(PeerAddress{});
  out.Incarnation = incarnation->get<std::uint64_t>();
  out.Heartbeat = heartbeat->get<std::uint64_t>();
  for (const json &d : *list)
    if (d.is_array() && d.size() == 2 && d[0].is_number_unsigned() &&
        d[1].is_number())
      out.Demands.push_back({{d[0].get<std::uint64_t>()}, d[1].get<double>()});
  return out;
}

void applyRows(PeerController &pc, const TableReadResult &rd) {
  Controllers &ct = *pc.Owner;
  std::vector<PeerDemand> peers;
  for (const TableRow &row : rd.Rows) {
    if (auto p = parsePeerRow(row))
      peers.push_back(std::move(*p));
    else
      countTableCall(ct.Metrics, "front_row", "unreadable");
  }
  updatePeers(pc.PeerDemands, peers, ct.EventLoop.Now);
  AllowanceShares shares = computeShares(pc.PeerDemands, ct.Settings.Node,
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

void handleFailure(PeerController &pc, const Error &err) {
  recordStoreResult(*pc.Owner, pc.StoreUnreachable, "fronts", &err);
  arm(pc.Owner->EventLoop, pc.Timer, pc.Owner->EventLoop.Now + HeartbeatPeriod);
}

void onReadResponse(void *ctx, const StoreResponse &response) {
  PeerController &pc = *static_cast<PeerController *>(ctx);
  handleResult([&] { return pc.Owner->Protocol.ParseRows(response); },
               [&](const TableReadResult &rd) {
                 recordStoreResult(*pc.Owner, pc.StoreUnreachable, "fronts",
                                   nullptr);
                 applyRows(pc, rd);
                 arm(pc.Owner->EventLoop, pc.Timer,
                     pc.Owner->EventLoop.Now + HeartbeatPeriod);
                 return 0;
               },
               [&](const Error &err) {
                 handleFailure(pc, err);
                 return 0;
               });
}

void onWriteResponse(void *ctx, const StoreResponse &response) {
  PeerController &pc = *static_cast<PeerController *>(ctx);
  handleResult([&] { return pc.Owner->Protocol.ParseWriteResult(response); },
               [&](const TableResult & /*res*/) {
                 sendRequest(
                     pc.Connection,
                     pc.Owner->Protocol.ReadRequest(StoreTable::Fronts, {}),
                     ResponseTimeout, onReadResponse, &pc);
                 return 0;
               },
               [&](const Error &err) {
                 handleFailure(pc, err);
                 return 0;
               });
}

void onHeartbeatTimer(void *ctx, Time /*now*/) {
  PeerController &pc = *static_cast<PeerController *>(ctx);
  ++pc.Heartbeat;
  TableTransaction tx;
  tx.Ops.push_back({TableOpKind::Put, pc.Owner->Settings.Node,
                    encodeRow(pc, pc.Owner->Board.Demands.copy()), 0});
  sendRequest(pc.Connection,
              pc.Owner->Protocol.WriteRequest(StoreTable::Fronts, tx),
              ResponseTimeout, onWriteResponse, &pc);
}

} // namespace

void startPeerController(PeerController &pc) {
  std::random_device dev;
  pc.Incarnation = (std::uint64_t{dev()} << 32U) | dev();
  setUpStoreConnection(pc.Connection, pc.Owner->EventLoop,
                       pc.Owner->Settings.TableServiceAddress);
  pc.Timer.Fn = onHeartbeatTimer;
  pc.Timer.Ctx = &pc;
  onHeartbeatTimer(&pc, pc.Owner->EventLoop.Now);
}

} // namespace zinniagauge
