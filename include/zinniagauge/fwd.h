// Forward declarations of the types that signatures name.
#ifndef ZINNIAGAUGE_FWD_H
#define ZINNIAGAUGE_FWD_H

namespace zinniagauge {

struct Admission;
struct AnswerHead;
struct Approval;
struct AttemptId;
struct Board;
struct BreakerList;
struct Bundle;
struct BurnHistory;
struct BurnMinute;
struct BundleFault;
struct BundleHead;
struct BundleVersion;
struct ClockBound;
struct Counters;
struct Dispatch;
struct DispatchWork;
struct Dispatcher;
struct EndpointList;
struct EndpointRecord;
struct EndpointSpec;
struct EndpointState;
struct EntryReport;
struct Error;
struct Evidence;
struct Exchange;

struct Grant;
struct GrantReturn;
struct HeadRow;
struct Member;
struct MemberList;
struct MemberRecord;
struct Membership;
struct Judge;
struct MoveController;
struct MoveList;
struct MoveState;
struct MoveView;
struct Platform;
struct Proposal;
struct ReadBundle;
struct RecoveryView;
struct RequestHead;
struct RequestId;
struct RetryBudget;
struct RouteSpec;
struct ScheduleChanges;
struct ScheduleView;
struct Scheduler;
struct ShareChoice;
struct ShareGates;
struct StateDigest;
struct Swap;
struct SwapTarget;
struct Ticket;
struct TierCount;
struct TierSpec;
struct TransferId;
struct TableResult;
struct TableTransaction;
struct Ticket;
struct TierCount;
struct TierSpec;
struct TransferId;
struct VmEntry;
struct WorkspaceSpec;

class ReadGuard;
class TimerService;

template <typename T> class Cell;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FWD_H
