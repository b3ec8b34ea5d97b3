// The operator API's routes for proposing, approving and reading bundles.
#ifndef ZINNIAGAUGE_ADAPT_BUNDLE_ROUTES_H
#define ZINNIAGAUGE_ADAPT_BUNDLE_ROUTES_H

#include "zinniagauge/adapt/operator_api.h"
#include "zinniagauge/adapt/platform.h"
#include "zinniagauge/board/bundle.h"

#include <functional>
#include <vector>

namespace zinniagauge {

/// What the bundle routes work with; \p Services outlives the routes.
struct BundleRouteOptions {
  const Platform *Services = nullptr;
  std::function<void(Bundle)> OnApproved; // Called with each approved bundle.
};

/// Returns the routes:
///
///   POST /v1/proposals?parent=N   the body is the bundle's text; the default
///                                 parent is the current head's version
///   POST /v1/approvals/DIGEST
///   GET /v1/bundles/NAME          "head", a version or a digest
///   GET /v1/history?limit=N       newest first
[[nodiscard]] std::vector<OperatorRoute> bundleRoutes(BundleRouteOptions opt);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_BUNDLE_ROUTES_H
