// Forward declarations of the types that signatures name.
#ifndef ZINNIAGAUGE_FWD_H
#define ZINNIAGAUGE_FWD_H

namespace zinniagauge {

struct Admission;
struct AttemptId;
struct Board;
struct Bundle;
struct Counters;
struct EndpointList;
struct EndpointRecord;
struct EndpointSpec;
struct EndpointState;
struct Error;
struct Evidence;
struct Exchange;
struct ExchangeNews;
struct Grant;
struct GrantReturn;
struct Member;
struct MemberList;
struct MemberRecord;
struct Membership;
struct MoveList;
struct MoveState;
struct RequestHead;
struct RequestId;
struct RouteSpec;
struct ScheduleChanges;
struct Scheduler;
struct ScheduleView;
struct ShareChoice;
struct ShareGates;
struct StateDigest;
struct Swap;
struct SwapTarget;
struct Ticket;
struct TierSpec;
struct WorkspaceSpec;

class ReadGuard;
class TimerService;

template <typename T> class Cell;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FWD_H
