// Look-up of an endpoint's state.
#include "zinniagauge/board/endpoint.h"

#include <algorithm>

namespace zinniagauge {

const EndpointState *findEndpointState(const EndpointList &list,
                                       EndpointId id) noexcept {
  const auto it = std::lower_bound(
      list.Endpoints.begin(), list.Endpoints.end(), id,
      [](const EndpointState &s, EndpointId key) { return s.Id < key; });
  if (it == list.Endpoints.end() || it->Id != id)
    return nullptr;
  return &*it;
}

} // namespace zinniagauge
