#include "zinniagauge/store/controllers.h"

namespace zinniagauge {

Controllers::Controllers(FrontBoard &board, const StoreDialect &dialect,
                         const FrontSettings &settings, EventLog &log,
                         FrontMetrics &metrics)
    : Board(board), Names(dialect), Settings(settings), Log(log),
      Metrics(metrics) {}

Result<void> startControllers(Controllers &ct) {
  BOOST_LEAF_CHECK(openLoop(ct.Lp));
  ct.Plans.Owner = &ct;
  ct.Discovery.Owner = &ct;
  ct.Peers.Owner = &ct;
  ct.Moves.Owner = &ct;
  startMoves(ct.Moves);
  startPlans(ct.Plans);
  startDiscovery(ct.Discovery);
  startPeers(ct.Peers);
  ct.Talk.Owner = &ct;
  ct.Lp.OnWake = [&ct] { tellChanges(ct.Talk); };
  return startGossip(ct.Talk);
}

void noteStore(Controllers &ct, bool &lost, std::string_view use,
               const Error *err) {
  countTable(ct.Metrics, use, err ? toString(err->Code) : "ok");
  if (lost == (err != nullptr))
    return;
  lost = err != nullptr;
  EventLine line = eventLine(lost ? "store_lost" : "store_back");
  add(line, "use", use);
  if (err)
    add(line, *err);
  ct.Log.write(line);
}

} // namespace zinniagauge
