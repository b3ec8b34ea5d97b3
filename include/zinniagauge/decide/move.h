// The controller of version moves: one row of the table for each move, written
// by compare-and-swap only, under a lease with a fencing number. It raises the
// share step by step and ends the move by its deadline, one way or the other.
#ifndef ZINNIAGAUGE_DECIDE_MOVE_H
#define ZINNIAGAUGE_DECIDE_MOVE_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/board/member.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/decide/version_evaluator.h"
#include "zinniagauge/time/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge {

/// How long a lease holds, from when its write was sent.
inline constexpr Duration LeaseTtl = std::chrono::seconds(6);

/// How often a holder renews its lease.
inline constexpr Duration LeaseRenewPeriod = std::chrono::seconds(2);

/// How long an order to an endpoint may take. A holder gives none that could
/// arrive after its lease.
inline constexpr Duration OrderTimeout = std::chrono::seconds(2);

/// How long a row must stand unchanged before another VM takes the lease: the
/// old lease and its last order are over by then, also if that VM's clock runs
/// a tenth slower.
inline constexpr Duration LeaseTakeoverTimeout =
    std::chrono::milliseconds(9000);

/// How much longer each VM waits than the one that comes before it, so that
/// few try at once.
inline constexpr Duration LeaseTakeoverStagger = std::chrono::seconds(2);

/// How many VMs look after a move: they read its row, and stand ready to take
/// the lease.
inline constexpr std::size_t LeaseCandidateCount = 4;

/// How often they read the row.
inline constexpr Duration MoveRowReadPeriod = std::chrono::seconds(1);

/// How long an answer of the table is waited for.
inline constexpr Duration TableCallTimeout = std::chrono::seconds(5);

/// How often an order is repeated that the endpoint hasn't followed yet.
inline constexpr Duration OrderRetryInterval = std::chrono::seconds(5);

/// How long before its deadline a move is ended.
inline constexpr Duration DeadlineMargin = std::chrono::seconds(3);

/// Requests that the new version should have had at a share before the next;
/// without them the share rises only as late as the deadline allows.
inline constexpr std::uint64_t MinRequestsPerShare = 20;

/// The row of one move.
struct MoveRow {
  MoveStage Stage = MoveStage::Waiting;
  std::uint32_t SharePermille = 0;
  std::uint64_t FencingToken = 0; // Rises with each new holder.
  VmId Holder;
  std::uint64_t HolderIncarnation = 0;
  std::uint64_t Renewals = 0;
  bool Bad = false;
  std::string Evidence; // Why it was taken back; empty otherwise.
  WallTime ChangedAt;   // When stage or share last changed.

  bool operator==(const MoveRow &) const = default;
};

/// A row as it was read, with its version; zero: it is absent.
struct MoveRowSnapshot {
  MoveRow Row;
  std::uint64_t Version = 0;
};

/// A call to make to the table.
struct MoveRowRequest {
  MoveId Move;
  std::uint64_t RequestNumber = 0; // Names the call in its answer.
  bool Write = false;              // False: read the row.
  MoveRow NewRow;                  // To write if the row's version is Expected.
  std::uint64_t ExpectedVersion = 0;
};

/// What became of a call.
struct MoveRowResponse {
  MoveId Move;
  std::uint64_t RequestNumber = 0;
  bool Received = false; // False: no answer; a write may have had its effect,
                         // or have it later.
  bool Applied = false;  // Of a write.
  MoveRowSnapshot Snapshot; // The row afterwards.
};

/// An order to an endpoint: the state that it shall be in, so that it may be
/// repeated and given by two holders.
struct MoveOrder {
  EndpointId Endpoint;
  VersionId TargetVersion;
  std::string TargetLabel;
  std::uint64_t FencingToken = 0;
  Time ValidUntil; // Not to be sent later.
};

/// What this VM knows of one move's row.
struct TrackedMove {
  MoveRowSnapshot Snapshot;
  bool HasSnapshot = false; // The row, or its absence, was read.
  Time SnapshotChangedAt;   // When this version of it was first seen.
  Time NextReadAt;
  MoveRowRequest
      PendingRequest; // The call that waits for its answer, if Number isn't 0.
  Time PendingSince;
  bool WriteUndetermined = false; // A write was sent whose effect is not known.
  Time LastAnsweredSentAt; // When the last call was sent that was answered.
  Time LeaseExpiry;        // Of the lease held; past: none is held.
  Time RenewAt;
  Time ShareChangedAt;
  std::uint64_t RequestsAtShare = 0;
  std::map<EndpointId, Time> OrderedAt;
};

/// The controller's state at one VM.
struct MoveController {
  VmId Self;
  std::uint64_t Incarnation = 0;
  std::uint64_t NextRequestNumber = 1;
  std::map<MoveId, TrackedMove> TrackedMoves;
};

/// What the controller reads of the board.
struct MoveView {
  const Bundle &ActiveBundle;
  const MoveList &Moves; // With the flags that exchange spread.
  const EndpointList &Endpoints;
  std::span<const Member> Members;
  const VersionEvaluator &Evaluator;
};

/// What a step decided; the caller makes the calls.
struct MoveActions {
  std::vector<MoveRowRequest> Requests;
  std::vector<MoveOrder> Orders;
};

/// Decides what to ask the table and what to order. Appends to \p out.
void step(MoveController &ctl, const MoveView &view, Time now, WallTime wall,
          MoveActions &out);

/// Takes in what became of a call. Late answers to calls given up are ignored.
void onMoveRowResponse(MoveController &ctl, const MoveRowResponse &ans,
                       Time now);

/// The state of a move as its row has it, to be noted in the exchange. Its
/// id is zero if the row isn't known or is absent.
[[nodiscard]] MoveState moveStateOf(const MoveController &ctl, MoveId id);

/// Whether this VM holds the lease of move \p id.
[[nodiscard]] bool holdsLease(const MoveController &ctl, MoveId id,
                              Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_MOVE_H
