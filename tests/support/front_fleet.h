// Several fronts of one zone with a stand-in for the users' platform, for
// process tests.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_FRONT_FLEET_H
#define ZINNIAGAUGE_TESTS_SUPPORT_FRONT_FLEET_H

#include "support/front_deployment.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace zinniagauge::testing {

/// The links over which the fronts but the first one reach the store.
enum class FleetLinks : std::uint8_t { Wide, Narrow };

/// The front of FrontDeployment and four more. The constructor waits until all
/// are ready.
struct FrontFleet {
  explicit FrontFleet(FleetLinks links = FleetLinks::Wide);

  [[nodiscard]] static bool holdsSlot(const Process &front);
  /// The fronts that hold a coordinator's slot.
  [[nodiscard]] std::size_t holders() const;
  /// Whether a call of \p path with \p key gets \p status at the first front
  /// and at each of the others that runs.
  [[nodiscard]] bool allRespond(const char *key, int status,
                                const char *path = "/unsafe/a") const;

  /// What the fronts logged of plans and of who reads the store.
  [[nodiscard]] std::string planLines() const;

  FrontDeployment D;
  std::vector<std::vector<std::uint16_t>> Ports; // Empty: it was ended.
  std::vector<std::unique_ptr<Process>> More;
};

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_FRONT_FLEET_H
