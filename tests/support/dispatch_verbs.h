// The verbs of scenarios about requests: dispatch, claims and issued tickets.
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

/// An action that a request asked for, as expectations name it.
struct Happened {
  std::string Kind;
  std::map<std::string, std::string> Values;
};

/// One request.
struct SceneCall {
  std::string Vm;
  Dispatch Life;
  std::string Key;
  std::optional<IssuedTicket> Ticket;
  std::vector<Happened> Log;
  std::size_t Seen = 0; // Of the log, by expectations.
  std::string Heard;    // What its caller was sent.
  bool Alive = true;    // Its process runs.
};

/// One process.
struct SceneVm {
  Dispatcher Worker;
  Claims Claiming;
  TicketStore Tickets;
  bool Frozen = false;
};

/// An answer of the table that is on its way.
struct TableAnswer {
  Time At;
  std::string Vm;
  std::uint64_t Incarnation = 0;
  ClaimBatchResult Answer;
  std::optional<ClaimBatch> Effect; // Takes place only now.
};

/// All that the verbs act on.
struct DispatchScene {
  std::map<std::string, SceneVm> Vms;
  std::map<std::string, SceneCall> Calls;
  std::map<std::string, IssuedTicket> Tickets;
  std::map<std::string, std::uint64_t> Runs; // At endpoints, by request or key.
  ClaimTable Table;
  TableFault Fault = TableFault::None;
  Duration TableDelay = std::chrono::milliseconds(2);
  std::vector<TableAnswer> Answers;
  std::uint64_t LastNumber = 0;
};

/// Adds the verbs; docs/SCENARIOS.md lists them.
void addDispatchVerbs(VerbTable &t);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_DISPATCH_VERBS_H
