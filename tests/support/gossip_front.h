// Fronts that exchange reports by real datagrams on fake time.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_GOSSIP_FRONT_H
#define ZINNIAGAUGE_TESTS_SUPPORT_GOSSIP_FRONT_H

#include "zinniagauge/store/controllers.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace zinniagauge::testing {

/// Another front: a UDP socket on a port that the system chooses.
struct OtherFront {
  std::string Name;
  int Fd = -1;
  PeerAddress Address;
  std::uint64_t Heartbeat = 0;

  explicit OtherFront(std::string name);
  OtherFront(const OtherFront &) = delete;
  OtherFront &operator=(const OtherFront &) = delete;
  ~OtherFront();

  /// Receives all pending reports.
  [[nodiscard]] std::vector<GossipReport> takeReports() const;

  /// A report of two running calls at back end 7.
  [[nodiscard]] GossipReport report(ReportKind kind);
};

/// The row of a coordinator of zone "z" in slot \p slot.
[[nodiscard]] CoordinatorRow rowOf(const std::string &name, PeerAddress address,
                                   std::uint32_t slot);
[[nodiscard]] CoordinatorRow rowOf(const OtherFront &front, std::uint32_t slot);

/// The front under test.
struct TestedFront {
  FrontBoard Board;
  FrontSettings Settings;
  EventLog Log{"front", EventLevel::Changes};
  FrontMetrics Metrics;
  StoreProtocol Protocol;
  std::unique_ptr<Controllers> Ct;
  PeerAddress Address;
  int Changes = 0; // Calls of OnChange.

  /// Starts it at second 100 of the fake time. Calls are relayed to port
  /// \p relayport; zero: it accepts none.
  explicit TestedFront(const std::string &name = "front-1",
                       std::uint16_t relayport = 0);

  void setCoordinators(std::span<const CoordinatorRow> rows, bool holdsslot);

  void receive(const OtherFront &from, const GossipReport &rep) const;

  /// Applies all datagrams that have arrived.
  void receiveAll() const;

  /// Advances the fake time by \p span and runs the timers that are due.
  void advance(Duration span) const;

  [[nodiscard]] std::uint32_t runningAt(std::uint64_t backend) const;
};

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_GOSSIP_FRONT_H
