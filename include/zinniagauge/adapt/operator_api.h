// The operators' HTTP API: who asks, and what is done.
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

/// One call of an operator whose key is known.
struct OperatorCall {
  std::string OperatorName; // The name of the key's holder.
  std::string PathSuffix;   // The path after the route's own.
  std::string Query;        // Without the '?'.
  std::string Body;

  /// The value of \p name in the query, or empty.
  [[nodiscard]] std::string_view parameter(std::string_view name) const;
};

/// What is done for a method and a path. A path that ends with '/' takes all
/// that begins with it.
struct OperatorRoute {
  std::string Method;
  std::string Path;
  /// Returns the answer's JSON text. May block.
  std::function<Result<std::string>(const OperatorCall &)> Handle;
};

/// What the API works with.
struct OperatorApiOptions {
  std::string Address; // "ip:port".
  std::vector<OperatorKey> Keys;
  std::vector<OperatorRoute> Routes;
};

/// Serves from start to destruction. Calls are done one after another, so that
/// one operator's changes through this VM never cross.
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
