// Forward declarations of the types that signatures name.
#ifndef ZINNIAGAUGE_FWD_H
#define ZINNIAGAUGE_FWD_H

namespace zinniagauge {

struct Admission;
struct Approval;
struct AttemptId;
struct Board;
struct Bundle;
struct BundleFault;
struct BundleHead;
struct BundleVersion;
struct ClockBound;
struct Counters;
struct EndpointList;
struct EndpointSpec;
struct EndpointState;
struct EntryReport;
struct Error;
struct Evidence;
struct Grant;
struct GrantReturn;
struct HeadRow;
struct Member;
struct MemberList;
struct MoveList;
struct MoveState;
struct Platform;
struct Proposal;
struct ReadBundle;
struct RecoveryView;
struct RequestHead;
struct RequestId;
struct RouteSpec;
struct ScheduleChanges;
struct Scheduler;
struct ScheduleView;
struct TableResult;
struct TableTransaction;
struct Ticket;
struct TierSpec;
struct VmEntry;
struct WorkspaceSpec;

class ReadGuard;
class TimerService;

template <typename T> class Cell;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FWD_H
