// Decides from where a front reads the operators' rows.
#ifndef ZINNIAGAUGE_DECIDE_ROW_SOURCE_H
#define ZINNIAGAUGE_DECIDE_ROW_SOURCE_H

#include <cstdint>

namespace zinniagauge {

/// What a front knows of the operators' rows and of those who have them.
struct RowSourceState {
  bool IsStoreReader = false;  // This front reads for others.
  bool HasFullReading = false; // Of the current era.
  bool NewerReported = false;  // Another front has read later rows.
  bool LacksOrders = false; // Some that a restore lost may still be in force.
  bool HasPeer = false;     // The address of that front is known.
  bool PeerFailed = false;  // It couldn't pass these rows on.
};

/// Where to read next.
enum class RowSource : std::uint8_t {
  TableService, ///< The only one that proves rows to be the newest.
  Peer,         ///< Passes on what changed, in fewer bytes.
};

/// The source of the next reading. Whatever fails, the next one is from the
/// table service.
[[nodiscard]] constexpr RowSource
nextRowSource(const RowSourceState &st) noexcept {
  const bool bypeer = !st.IsStoreReader && st.HasFullReading &&
                      st.NewerReported && !st.LacksOrders && st.HasPeer &&
                      !st.PeerFailed;
  return bypeer ? RowSource::Peer : RowSource::TableService;
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_ROW_SOURCE_H
