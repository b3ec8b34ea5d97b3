// Controller of version moves. Each move has one row in the platform's table,
// written only by compare-and-swap and under a lease with a fencing token. The
// controller raises the traffic share in steps and completes or rolls back the
// move before its deadline.
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

/// How long a lease is valid, counted from the time its write was sent.
inline constexpr Duration LeaseTtl = std::chrono::seconds(6);

/// Interval at which the lease holder renews its lease.
inline constexpr Duration LeaseRenewPeriod = std::chrono::seconds(2);

/// How long an order to an endpoint may take. The holder sends no order that
/// could arrive after its lease has expired.
inline constexpr Duration OrderTimeout = std::chrono::seconds(2);

/// How long a row must stay unchanged before another VM takes over the lease.
/// By then the old lease and its last order have expired, even if the holder's
/// clock runs 10 % slow.
inline constexpr Duration LeaseTakeoverTimeout =
    std::chrono::milliseconds(9000);

/// Additional wait per rank before a VM takes over the lease, so that few VMs
/// try at the same time.
inline constexpr Duration LeaseTakeoverStagger = std::chrono::seconds(2);

/// Number of VMs that read the row of a move and are ready to take over its
/// lease.
inline constexpr std::size_t LeaseCandidateCount = 4;

/// Interval at which these VMs read the row.
inline constexpr Duration MoveRowReadPeriod = std::chrono::seconds(1);

/// How long the controller waits for a response from the table.
inline constexpr Duration TableCallTimeout = std::chrono::seconds(5);

/// Interval at which an order is sent again to an endpoint that doesn't report
/// the ordered version yet.
inline constexpr Duration OrderRetryInterval = std::chrono::seconds(5);

/// How long before its deadline a move is completed or rolled back.
inline constexpr Duration DeadlineMargin = std::chrono::seconds(3);

/// Requests that the new version should have served at one share before the
/// share rises. With fewer requests, the share rises only at the last moment
/// that lets the remaining steps finish before the deadline.
inline constexpr std::uint64_t MinRequestsPerShare = 20;

/// The table row of one move.
struct MoveRow {
  MoveStage Stage = MoveStage::Waiting;
  std::uint32_t SharePermille = 0;
  std::uint64_t FencingToken = 0; // Incremented by each new lease holder.
  VmId Holder;
  std::uint64_t HolderIncarnation = 0;
  std::uint64_t Renewals = 0;
  bool VersionIsBad = false;
  std::string BadReason; // Why the move was rolled back; empty otherwise.
  WallTime ChangedAt;    // When the stage or the share last changed.

  bool operator==(const MoveRow &) const = default;
};

/// A row as it was last read, and its version. Version zero means that the row
/// is absent.
struct MoveRowSnapshot {
  MoveRow Row;
  std::uint64_t Version = 0;
};

/// A request to the table: read a row, or write it by compare-and-swap.
struct MoveRowRequest {
  MoveId Move;
  std::uint64_t RequestNumber = 0; // Repeated in the response.
  bool Write = false;              // False: read the row.
  MoveRow NewRow; // Written if the row's version is ExpectedVersion.
  std::uint64_t ExpectedVersion = 0;
};

/// The result of a request to the table.
struct MoveRowResponse {
  MoveId Move;
  std::uint64_t RequestNumber = 0;
  // False: no response arrived. A write may have taken effect or may still do
  // so.
  bool Received = false;
  bool Applied = false;     // Whether a write took effect.
  MoveRowSnapshot Snapshot; // The row after the request.
};

/// An order to an endpoint to serve a version. It states the target state, so
/// it can be sent repeatedly and by two lease holders.
struct MoveOrder {
  EndpointId Endpoint;
  VersionId TargetVersion;
  std::string TargetLabel;
  std::uint64_t FencingToken = 0;
  Time ValidUntil; // The order must not be sent later.
};

/// What this VM knows about the row of one move.
struct TrackedMove {
  MoveRowSnapshot Snapshot;
  bool HasSnapshot = false; // The row was read; it may be absent.
  Time SnapshotChangedAt;   // When this version of the row was first read.
  Time NextReadAt;
  // Awaits its response; RequestNumber is 0 if there is none.
  MoveRowRequest PendingRequest;
  Time PendingSince;
  // It isn't known whether the last write took effect.
  bool WriteUndetermined = false;
  Time LastAnsweredSentAt; // When the last request with a response was sent.
  Time LeaseExpiry;        // Of this VM's lease; in the past if it holds none.
  Time RenewAt;
  Time ShareChangedAt;
  std::uint64_t RequestsAtShare = 0;
  std::map<EndpointId, Time> OrderedAt;
};

/// The state of the controller on one VM.
struct MoveController {
  VmId Self;
  std::uint64_t Incarnation = 0;
  std::uint64_t NextRequestNumber = 1;
  std::map<MoveId, TrackedMove> TrackedMoves;
};

/// The input of the controller, taken from the board.
struct MoveView {
  const Bundle &ActiveBundle;
  const MoveList &Moves; // Includes the flags received from other VMs.
  const EndpointList &Endpoints;
  std::span<const Member> Members;
  const VersionEvaluator &Evaluator;
};

/// The requests and orders decided by a step. The caller sends them.
struct MoveActions {
  std::vector<MoveRowRequest> Requests;
  std::vector<MoveOrder> Orders;
};

/// Decides which requests to send to the table and which orders to send to
/// endpoints, and appends them to \p out.
void step(MoveController &ctl, const MoveView &view, Time now, WallTime wall,
          MoveActions &out);

/// Processes the response to a request. Responses to requests that have timed
/// out are ignored.
void onMoveRowResponse(MoveController &ctl, const MoveRowResponse &resp,
                       Time now);

/// Returns the state of a move as its row has it, to be passed to recordMove.
/// The id of the result is zero if the row is absent or hasn't been read.
[[nodiscard]] MoveState moveStateOf(const MoveController &ctl, MoveId id);

/// Returns whether this VM holds the lease of move \p id.
[[nodiscard]] bool holdsLease(const MoveController &ctl, MoveId id,
                              Time now) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_MOVE_H
