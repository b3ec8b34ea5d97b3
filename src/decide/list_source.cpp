#include "zinniagauge/decide/list_source.h"

namespace zinniagauge {

ListSource nextListSource(const ListState &st) noexcept {
  if (st.IsStoreReader || st.StoreUnreachable || !st.HasReading ||
      st.Age >= MaxListAge)
    return ListSource::TableService;
  if (!st.OtherReported)
    return ListSource::Wait;
  // A peer that doesn't respond in time must leave enough of it.
  const bool intime = st.Age + PeerResponseTimeout < MaxListAge;
  return st.HasPeer && !st.PeerFailed && intime ? ListSource::Peer
                                                : ListSource::TableService;
}

} // namespace zinniagauge
