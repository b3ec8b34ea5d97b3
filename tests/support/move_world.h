// Simulates one version move: VMs connected by a fake network, a table with
// faults, endpoints of two versions, and traffic by which the VMs evaluate the
// new version.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_MOVE_WORLD_H
#define ZINNIAGAUGE_TESTS_SUPPORT_MOVE_WORLD_H

#include "support/fake_net.h"
#include "zinniagauge/decide/move.h"
#include "zinniagauge/decide/share_gate.h"
#include "zinniagauge/decide/version_evaluator.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace zinniagauge {

/// How the new version behaves.
enum class VersionKind : std::uint8_t {
  Good,
  GoodOneBadEndpoint, // One of its endpoints fails half of its requests.
  GoodBurst,          // A burst slows both versions and fails some requests.
  BadAtOnce,          // Fails half of its requests.
  BadLater,           // Fails half of its requests after a while.
  BadSlow,            // Takes three times as long.
  BadUnderLoad,       // Takes four times as long, but only under full load.
  BadOneRoute,        // Fails half of the requests of one route.
};

/// Number of values of VersionKind.
inline constexpr std::size_t VersionKindCount = 8;

/// A request on its way to the table, or its response on its way back.
struct FakeTableCall {
  Time DueAt;
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0;
  MoveRowRequest Request;
  // The request was executed; Response is on its way back.
  bool IsResponse = false;
  MoveRowResponse Response;
};

/// The table and its faults.
struct FakeTable {
  std::map<MoveId, MoveRowSnapshot> Rows;
  std::vector<FakeTableCall> Calls;
  bool Unavailable = false;
  std::uint32_t LostResponsePermille = 0; // Of the requests that take effect.
  Duration MaxDelay = std::chrono::milliseconds(20);
};

/// An endpoint of either version.
struct FakeEndpoint {
  EndpointId Id;
  VersionId Version;
  bool IsNewVersion = false;
  bool Faulty = false;
  VersionId Reported;
  bool ChecksFencing = false;
  std::uint64_t HighestFencingToken = 0;
  std::uint32_t Orders = 0;
};

/// The state of one VM besides its exchange.
struct MoveVm {
  MoveController Controller;
  VersionEvaluator Evaluator;
  ShareGates Gates;
  std::map<VersionStatsKey, VersionStatsCounts> Stats;
  // Dispatches since the share was last set at this VM.
  std::uint32_t Share = 0;
  std::uint64_t Dispatches = 0;
  std::uint64_t NewVersionDispatches = 0;
};

/// The simulation.
struct MoveWorld {
  FakeNet Net;
  FakeTable Table;
  Bundle ActiveBundle;
  std::vector<FakeEndpoint> Endpoints;
  std::vector<MoveVm> Vms;
  VersionKind Kind = VersionKind::Good;
  std::uint32_t RequestsPerTick = 2; // Of each VM, every 100 ms.
  Time StartedAt;
  Duration BadLaterDelay = std::chrono::seconds(60);
  std::uint64_t TotalRequests = 0;
  std::uint64_t NewVersionRequests = 0; // In total.
  // By VMs that knew it to be bad.
  std::uint64_t NewVersionRequestsAfterBad = 0;
  Time FirstBadAt; // When the first VM found the new version bad.
  bool Ended = false;
  MoveStage FinalStage = MoveStage::Waiting; // In the table.
  WallTime EndedAt;
};

/// Options of the simulation.
struct MoveWorldOptions {
  std::uint64_t Seed = 1;
  std::size_t VmCount = 3;
  VersionKind Kind = VersionKind::Good;
  Duration StepTime = std::chrono::seconds(20);
  Duration TimeToDeadline = std::chrono::minutes(4); // From the start.
};

/// Creates a simulation in which the move was approved and hasn't started.
[[nodiscard]] MoveWorld makeMoveWorld(const MoveWorldOptions &opt);

/// Simulates one tick of 100 ms.
void tick(MoveWorld &w);

/// Simulates a period of \p len.
void run(MoveWorld &w, Duration len);

/// Restarts the process of a VM, which loses its state.
void restart(MoveWorld &w, std::size_t n);

/// Returns the wall-clock time in the simulation.
[[nodiscard]] WallTime wallOf(const MoveWorld &w) noexcept;

/// Returns the id of the only move.
[[nodiscard]] MoveId theMove() noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_TESTS_SUPPORT_MOVE_WORLD_H
