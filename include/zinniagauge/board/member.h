// The VMs of the system, as reported by the exchange between VMs and by the
// platform's VM list.
#ifndef ZINNIAGAUGE_BOARD_MEMBER_H
#define ZINNIAGAUGE_BOARD_MEMBER_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace zinniagauge {

/// Whether a VM may hold roles.
enum class MemberState : std::uint8_t {
  Alive,   ///< Reported recently.
  Suspect, ///< Silent for longer than expected: it may be paused or
           ///< unreachable.
  Leaving, ///< Shutting down in order: finishes its requests and holds no role.
  Dead,    ///< Silent for so long that other VMs take over its roles.
};

/// One VM with its entry and its agent.
struct Member {
  std::string Name;
  VmId Id;
  std::string ZoneName;
  ZoneId Zone;
  std::string EntryAddress;      // "ip:port" of the entry's RPC.
  std::string AgentAddress;      // "ip:port" of the agent's RPC.
  std::string MetricsAddress;    // "ip:port" of the entry's metrics.
  std::uint64_t Incarnation = 0; // Increases with each start.
  std::uint64_t Heartbeat = 0;   // Increases while the incarnation runs.
  std::uint64_t BundleVersion = 0;
  MemberState State = MemberState::Alive;

  bool operator==(const Member &) const = default;
};

/// The members section of the board, sorted by id.
struct MemberList {
  std::vector<Member> Members;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_MEMBER_H
