// Identifies a request that comes again, whatever the id of its call.
#ifndef ZINNIAGAUGE_FRONT_CALL_FINGERPRINT_H
#define ZINNIAGAUGE_FRONT_CALL_FINGERPRINT_H

#include "zinniagauge/front/call.h"

namespace zinniagauge {

/// The trait that only calls with the route, workspace, method, target and body
/// of \p call have. It is part of a SHA-1, so that no caller can choose a
/// request with the fingerprint of another one. The call must have been routed.
[[nodiscard]] CallTraitId fingerprintOf(const Call &call);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_CALL_FINGERPRINT_H
