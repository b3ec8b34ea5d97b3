// Forward declarations of the types used in function signatures.
#ifndef ZINNIAGAUGE_FWD_H
#define ZINNIAGAUGE_FWD_H

namespace zinniagauge {

struct Admission;
struct AllowanceMargin;
struct AllowanceState;
struct ResponseHead;
struct Approval;
struct AttemptId;
struct Backend;
struct BackendList;
struct BackendTracker;
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
struct CallExplanation;
struct Candidate;
struct CauseCount;
struct TcpConnection;
struct CallEstimate;
struct ClockBound;
struct Controllers;
struct Counters;
struct HeaderNames;
struct Dispatch;
struct DispatchSpec;
struct Dispatcher;
struct EndedEvacuation;
struct EndpointList;
struct EndpointRecord;
struct EndpointSpec;
struct EvacuatedZones;
struct EvacuationChange;
struct EvacuationOrder;
struct EvacuationOrders;
struct EndpointState;
struct EntryReport;
struct Error;
struct VersionStats;
struct Exchange;
struct FrontBoard;
struct FrontSettings;
struct Grant;
struct GrantReturn;
struct HeadRow;
struct VersionEvaluator;
struct LoadEstimate;
struct LoadList;
struct LoadReports;
struct LogField;
struct LogLine;
struct ParsedLog;
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
struct ProofRenewal;
struct Proposal;
struct ParsedBundle;
struct RecoveryView;
struct ReportedLoad;
struct RequestHead;
struct RequestId;
struct RequestLoop;
struct RetryBudget;
struct RetryWindow;
struct RouteSpec;
struct ScheduleActions;
struct ScheduleView;
struct Scheduler;
struct ShareChoice;
struct ShareGates;
struct StateDigest;
struct StoreProtocol;
struct ExchangeMessage;
struct ExchangeTarget;
struct TableResult;
struct TableTransaction;
struct Ticket;
struct TierCount;
struct TierSpec;
struct TimelineQuery;
struct TrafficPlan;
struct TransferId;
struct VersionMoveOrder;
struct VmEntry;
struct WorkspaceSpec;

class ReadGuard;
class TimerService;

template <typename T> class Cell;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FWD_H
