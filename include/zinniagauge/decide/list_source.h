// Decides where a front reads the list of back ends from, and when. A back end
// that leaves serves for two more seconds, so each front has to learn of it
// within that time, whichever of the sources fails.
#ifndef ZINNIAGAUGE_DECIDE_LIST_SOURCE_H
#define ZINNIAGAUGE_DECIDE_LIST_SOURCE_H

#include "zinniagauge/time/clock.h"

#include <cstdint>

namespace zinniagauge {

/// The age of the list at which a front that doesn't read for others reads it
/// from the table service.
inline constexpr Duration MaxListAge = std::chrono::milliseconds(1600);

/// Another front responds within some round trips.
inline constexpr Duration PeerResponseTimeout = std::chrono::milliseconds(300);

/// What a front knows of its list and of its sources.
struct ListState {
  bool IsStoreReader = false;    // This front reads for others.
  bool StoreUnreachable = false; // Its last request to the service failed.
  bool HasReading = false;
  Duration Age = Duration::zero(); // Since the list was last confirmed.
  bool OtherReported = false; // A newer list with other entries was reported.
  bool HasPeer = false;       // A front that has the reported list is known.
  bool PeerFailed = false;    // It didn't respond since the list was confirmed.
};

/// What to do next.
enum class ListSource : std::uint8_t {
  Wait,         ///< The list is recent enough.
  Peer,         ///< Read the list from the front that reported it.
  TableService, ///< Read the list from the table service.
};

/// The source of the next reading.
[[nodiscard]] ListSource nextListSource(const ListState &st) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_LIST_SOURCE_H
