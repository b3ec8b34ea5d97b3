// A version move in a small fake world: VMs joined by the fake net, a table
// with faults, endpoints of two versions, and traffic whose results the VMs
// judge.
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
  GoodOneBadEndpoint, // One of its endpoints fails.
  GoodBurst,          // A burst slows both versions and fails some requests.
  BadAtOnce,          // Fails half of its requests.
  BadLater,           // Does so after a while.
  BadSlow,            // Takes three times as long.
  BadUnderLoad,       // Takes four times as long under full load only.
  BadOneRoute,        // Fails half of the requests of one route.
};

/// The number of kinds.
inline constexpr std::size_t VersionKindCount = 8;

/// A call on its way to the table, or its answer on its way back.
struct FakeTableCall {
  Time DueAt;
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0;
  MoveRowRequest Request;
  bool IsResponse = false; // The effect is over; Answer goes back.
  MoveRowResponse Response;
};

/// The table and what it does to calls, in permille.
struct FakeTable {
  std::map<MoveId, MoveRowSnapshot> Rows;
  std::vector<FakeTableCall> Calls;
  bool Unavailable = false;
  std::uint32_t LostResponsePermille =
      0; // Takes effect, but the answer is lost.
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

/// What one VM has beside its exchange.
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

/// The world.
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
  std::uint64_t NewVersionRequests = 0;         // That the new version had.
  std::uint64_t NewVersionRequestsAfterBad = 0; // After any VM found it bad, by
                                                // VMs that knew.
  Time FirstBadAt; // When the first VM found it bad.
  bool Ended = false;
  MoveStage FinalStage = MoveStage::Waiting; // In the table.
  WallTime EndedAt;
};

/// What to build.
struct MoveWorldOptions {
  std::uint64_t Seed = 1;
  std::size_t VmCount = 3;
  VersionKind Kind = VersionKind::Good;
  Duration StepTime = std::chrono::seconds(20);
  Duration TimeToDeadline = std::chrono::minutes(4); // From the start.
};

/// A world in which the move has been approved and nothing has happened yet.
[[nodiscard]] MoveWorld makeMoveWorld(const MoveWorldOptions &opt);

/// Lets one tick of 100 ms pass.
void tick(MoveWorld &w);

/// Lets \p len pass.
void run(MoveWorld &w, Duration len);

/// Restarts a VM's process: it forgets everything.
void restart(MoveWorld &w, std::size_t n);

/// The civil time of the world.
[[nodiscard]] WallTime wallOf(const MoveWorld &w) noexcept;

/// The only move.
[[nodiscard]] MoveId theMove() noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_TESTS_SUPPORT_MOVE_WORLD_H
