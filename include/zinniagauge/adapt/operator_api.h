// The HTTP API for operators: authentication and routing.
#ifndef ZINNIAGAUGE_ADAPT_OPERATOR_API_H
#define ZINNIAGAUGE_ADAPT_OPERATOR_API_H

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/adapt/work_queue.h"
#include "zinniagauge/board/error.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// An authenticated call by an operator.
struct OperatorCall {
  std::string OperatorName; // The name that belongs to the key.
  std::string PathSuffix;   // The path after the route's path.
  std::string Query;        // Without the '?'.
  std::string Body;

  /// Returns the value of \p name in the query, or an empty view.
  [[nodiscard]] std::string_view parameter(std::string_view name) const;
};

/// A handler for a method and a path. A path that ends with '/' matches all
/// paths that begin with it.
struct OperatorRoute {
  std::string Method;
  std::string Path;
  /// Returns the response's JSON text. May block.
  std::function<Result<std::string>(const OperatorCall &)> Handle;
};

/// The address, keys and routes of the API.
struct OperatorApiOptions {
  std::string Address; // "ip:port".
  std::vector<OperatorKey> Keys;
  std::vector<OperatorRoute> Routes;
};

/// Serves from start to destruction. Calls run one at a time, so that changes
/// made through this VM never run concurrently.
class OperatorApi {
public:
  /// Fails with Unavailable if the address is in use.
  [[nodiscard]] static Result<OperatorApi> start(OperatorApiOptions opt);

  struct State;
  explicit OperatorApi(std::unique_ptr<State> st) noexcept;
  OperatorApi(OperatorApi &&) noexcept;
  OperatorApi &operator=(OperatorApi &&) noexcept;
  ~OperatorApi();

private:
  std::unique_ptr<State> St;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_OPERATOR_API_H
