// The platform's services as a plain struct of functions. Another platform
// fits by filling the struct in another way.
#ifndef ZINNIAGAUGE_ADAPT_PLATFORM_H
#define ZINNIAGAUGE_ADAPT_PLATFORM_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/table.h"
#include "zinniagauge/time/clock.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The platform's services. Each call blocks until its answer or time-out, so
/// only control threads make one; any thread may, and several at once. All fail
/// with Unavailable if the call had no effect, and with TimedOut or Broken if
/// it may have had one, now or later.
struct Platform {
  /// Applies a transaction to the table.
  std::function<Result<TableResult>(const TableTransaction &)> Transact;
  /// Reads an object. Fails with NotFound if there is none of that name.
  std::function<Result<std::string>(std::string_view name)> GetObject;
  /// Writes an object.
  std::function<Result<void>(std::string_view name, std::string_view text)>
      PutObject;
  /// Reads the list of live and leaving VMs, which lags.
  std::function<Result<std::vector<VmEntry>>()> ListVms;
};

/// The platform that answers at \p url ("http://ip:port"), each call bounded by
/// \p timeout.
[[nodiscard]] Platform makeHttpPlatform(std::string url, Duration timeout);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PLATFORM_H
