// Scenario verbs for requests: dispatch, claims and issued tickets.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_VERBS_H
#define ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_VERBS_H

#include "support/claim_table.h"
#include "support/scenario.h"

#include "zinniagauge/decide/claim.h"
#include "zinniagauge/decide/dispatch.h"
#include "zinniagauge/decide/issued_ticket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniagauge::testing {

/// An action that the code under test returned, in the words of expectations.
struct LoggedAction {
  std::string Kind;
  std::map<std::string, std::string> Values;
};

/// One request of a scenario.
struct SceneCall {
  std::string Vm;
  Dispatch State;
  std::string Key;
  std::optional<IssuedTicket> Ticket;
  std::vector<LoggedAction> Log;
  std::size_t CheckedActions = 0; // Entries of Log before this were checked.
  std::string ReceivedBytes;      // Response body at the caller.
  bool Alive = true;              // False once its process was restarted.
};

/// One process of a scenario.
struct SceneVm {
  Dispatcher Worker;
  Claims Claiming;
  TicketStore Tickets;
  bool Frozen = false;
};

/// A response of the table that has not been delivered yet.
struct PendingTableResponse {
  Time DeliverAt;
  std::string Vm;
  std::uint64_t Incarnation = 0;
  ClaimBatchResult Result;
  std::optional<ClaimBatch> DelayedBatch; // Applied on delivery.
};

/// The state that the verbs act on.
struct DispatchScene {
  std::map<std::string, SceneVm> Vms;
  std::map<std::string, SceneCall> Calls;
  std::map<std::string, IssuedTicket> Tickets;
  // Number of runs at endpoints, by request, key or ticket.
  std::map<std::string, std::uint64_t> Runs;
  ClaimTable Table;
  TableFault Fault = TableFault::None;
  Duration TableDelay = std::chrono::milliseconds(2);
  std::vector<PendingTableResponse> PendingResponses;
  std::uint64_t LastNumber = 0;
};

/// Adds the verbs; docs/SCENARIOS.md lists them.
void addDispatchVerbs(VerbTable &t);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_VERBS_H
