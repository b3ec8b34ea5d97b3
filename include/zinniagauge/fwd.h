// Forward declarations of the types that signatures name.
#ifndef ZINNIAGAUGE_FWD_H
#define ZINNIAGAUGE_FWD_H

namespace zinniagauge {

struct Admission;
struct AllowanceMargin;
struct AllowanceState;
struct AnswerHead;
struct Approval;
struct AttemptId;
struct Backend;
struct BackendList;
struct BackendTrack;
struct Board;
struct BreakerList;
struct Bundle;
struct BundleFault;
struct BundleHead;
struct BundleVersion;
struct BurnHistory;
struct BurnMinute;
struct Call;
struct CallFacts;
struct CallStory;
struct Candidate;
struct CauseCount;
struct Channel;
struct ChoiceWork;
struct ClockBound;
struct Controllers;
struct Counters;
struct Dialect;
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
struct FrontBoard;
struct FrontSettings;
struct Grant;
struct GrantReturn;
struct HeadRow;
struct Judge;
struct LoadList;
struct LogField;
struct LogLine;
struct LogText;
struct Loop;
struct Member;
struct MemberList;
struct MemberRecord;
struct Membership;
struct MoveController;
struct MoveList;
struct MoveRecord;
struct MoveState;
struct MoveView;
struct PeerAddress;
struct PlanRoute;
struct PlanWorkspace;
struct Platform;
struct PoolMove;
struct ProofPace;
struct Proposal;
struct ReadBundle;
struct RecoveryView;
struct RequestHead;
struct RequestId;
struct RequestLoop;
struct RetryBudget;
struct RetryWindow;
struct RouteSpec;
struct ScheduleChanges;
struct ScheduleView;
struct Scheduler;
struct ShareChoice;
struct ShareGates;
struct StateDigest;
struct StoreDialect;
struct Swap;
struct SwapTarget;
struct TableResult;
struct TableTransaction;
struct Ticket;
struct TierCount;
struct TierSpec;
struct TimelineQuery;
struct TrafficPlan;
struct TransferId;
struct VersionOrder;
struct VmEntry;
struct WorkspaceSpec;

class ReadGuard;
class TimerService;

template <typename T> class Cell;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FWD_H
