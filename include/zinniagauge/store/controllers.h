// The controllers of a front's board: they follow the table service and put on
// the board what it says. All run on one loop of their own.
#ifndef ZINNIAGAUGE_STORE_CONTROLLERS_H
#define ZINNIAGAUGE_STORE_CONTROLLERS_H

#include "zinniagauge/board/front_board.h"
#include "zinniagauge/decide/allowance.h"
#include "zinniagauge/decide/backend_track.h"
#include "zinniagauge/front/front_settings.h"
#include "zinniagauge/net/loop.h"
#include "zinniagauge/observe/event_log.h"
#include "zinniagauge/observe/front_metrics.h"
#include "zinniagauge/store/gossip.h"
#include "zinniagauge/store/move_keeper.h"
#include "zinniagauge/store/store_dialect.h"
#include "zinniagauge/store/store_link.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace zinniagauge {

struct Controllers;

/// Follows the operators' plan: reads it whole once, then its changes.
struct PlanFollower {
  Controllers *Owner = nullptr;
  StoreLink Link;
  LoopTimer Timer;
  std::uint64_t Version = 0; // Of the table service, read up to here.
  std::uint64_t Mark = 0;    // Of the newest row of operators.
  bool Whole = false;        // Version was reached by a whole reading.
  bool Lost = false;         // The last call failed.
  Duration Pause = Duration::zero();
};

/// Reads the list of back ends.
struct BackendReader {
  Controllers *Owner = nullptr;
  StoreLink Link;
  LoopTimer Timer;
  std::vector<Backend> Page; // Read so far.
  std::string From;
  Time Asked;     // For the first page,
  Time AskedBoot; // by bootNow.
  BackendTrack Track;
  std::set<std::string> Unreadable; // Rows that were logged as such.
  bool Lost = false;
};

/// Publishes this front and reads the others.
struct PeerKeeper {
  Controllers *Owner = nullptr;
  StoreLink Link;
  LoopTimer Timer;
  std::uint64_t Life = 0;
  std::uint64_t Beat = 0;
  PeerBook Book;
  bool Lost = false;
};

/// All controllers of a front.
struct Controllers {
  Controllers(FrontBoard &board, const StoreDialect &dialect,
              const FrontSettings &settings, EventLog &log,
              FrontMetrics &metrics);
  Controllers(const Controllers &) = delete;
  Controllers &operator=(const Controllers &) = delete;

  FrontBoard &Board;
  const StoreDialect &Names;
  FrontSettings Settings;
  EventLog &Log;
  FrontMetrics &Metrics;
  Loop Lp;
  PlanFollower Plans;
  BackendReader Discovery;
  PeerKeeper Peers;
  Gossip Talk;
  MoveKeeper Moves;
  std::function<void()> OnChange; // The board has changed; on this loop.
};

/// Opens the loop and starts following. Fails with Unavailable.
[[nodiscard]] Result<void> startControllers(Controllers &ct);

/// Logs once that the table service was lost or is back for one use of it.
void noteStore(Controllers &ct, bool &lost, std::string_view use,
               const Error *err);

void startPlans(PlanFollower &pf);
void startDiscovery(BackendReader &br);
void startPeers(PeerKeeper &pk);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_CONTROLLERS_H
