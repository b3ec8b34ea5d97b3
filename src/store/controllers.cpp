// Starts the controllers, and records results of the table service.
#include "zinniagauge/store/controllers.h"

namespace zinniagauge {

namespace {

/// Connections of other fronts to one that passes on what it read.
constexpr std::size_t MaxPeerConnections = 256;

StatusResponse servePeer(Controllers &ct, std::string_view path) {
  StatusResponse response = servePage(ct.Discovery, path);
  return response.Status == 200 ? response : serveRows(ct.Plans, path);
}

} // namespace

Controllers::Controllers(FrontBoard &board, const StoreProtocol &protocol,
                         const FrontSettings &settings, EventLog &log,
                         FrontMetrics &metrics)
    : Board(board), Protocol(protocol), Settings(settings), Log(log),
      Metrics(metrics) {}

Result<void> startControllers(Controllers &ct) {
  BOOST_LEAF_CHECK(openLoop(ct.EventLoop));
  ct.Plans.Owner = &ct;
  ct.Discovery.Owner = &ct;
  ct.Coordinators.Owner = &ct;
  ct.Moves.Owner = &ct;
  startPoolMoveController(ct.Moves);
  startPlanController(ct.Plans);
  startDiscoveryController(ct.Discovery);
  ct.PeerServer.MaxConnections = MaxPeerConnections;
  BOOST_LEAF_CHECK(startStatusServer(
      ct.PeerServer, ct.EventLoop, ct.Settings.GossipAddress,
      [&ct](std::string_view path) { return servePeer(ct, path); }));
  ct.PeerGossip.Owner = &ct;
  startCoordinatorController(ct.Coordinators);
  ct.EventLoop.OnWake = [&ct] { sendChanges(ct.PeerGossip); };
  return startGossip(ct.PeerGossip);
}

EraOrder applyStoreEra(Controllers &ct, const StoreResponse &response,
                       std::string_view use) {
  const StoreEra before = ct.Board.TableEra.copy();
  const std::uint64_t era = ct.Protocol.EraOf(response);
  const EraOrder order = compareEra(before, era, response.RequestedAtBoot);
  if (order == EraOrder::Current)
    return order;
  EventLine line = eventLine("store_era");
  add(line, "era", static_cast<std::int64_t>(era));
  add(line, "before", static_cast<std::int64_t>(before.Number));
  add(line, "use", use);
  add(line, "outcome",
      order == EraOrder::New ? "taken" : "outdated, answer dropped");
  ct.Log.write(line);
  if (order == EraOrder::Outdated)
    return order;
  ct.Board.TableEra.publish({era, bootNow()});
  if (before.Number != 0) {
    onStoreRestored(ct.Plans);
    onStoreRestored(ct.Coordinators);
    onStoreRestored(ct.Discovery);
    onStoreRestored(ct.Moves);
  }
  return order;
}

void recordStoreResult(Controllers &ct, bool &unreachable, std::string_view use,
                       const StoreResponse &response, const Error *err) {
  countTableCall(ct.Metrics, use, err ? toString(err->Code) : "ok");
  if (unreachable == (err != nullptr))
    return;
  unreachable = err != nullptr;
  EventLine line = eventLine(unreachable ? "store_lost" : "store_back");
  add(line, "use", use);
  if (err) {
    add(line, *err);
    add(line, "waited_ms", bootNow() - response.RequestedAtBoot);
    add(line, "received_bytes",
        static_cast<std::int64_t>(response.Body.size()));
  }
  ct.Log.write(line);
}

} // namespace zinniagauge
