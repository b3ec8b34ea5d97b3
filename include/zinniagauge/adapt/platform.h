// The interface to the platform: a plain struct of functions, which an adapter
// for another platform fills with its own.
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

/// The platform's services. Each call blocks until its response or timeout, so
/// only control threads may make one; concurrent calls are safe. All fail with
/// Unavailable if the call had no effect, and with TimedOut or Broken if it may
/// have had an effect or may still have one later.
struct Platform {
  /// Applies a transaction to the table.
  std::function<Result<TableResult>(const TableTransaction &)> Transact;
  /// Reads an object. Fails with NotFound if no object has that name.
  std::function<Result<std::string>(std::string_view name)> GetObject;
  /// Writes an object.
  std::function<Result<void>(std::string_view name, std::string_view text)>
      PutObject;
  /// Reads the list of live and leaving VMs, which may be out of date.
  std::function<Result<std::vector<VmEntry>>()> ListVms;
};

/// Returns a client of the platform at \p url ("http://ip:port"). \p timeout
/// bounds each call.
[[nodiscard]] Platform makeHttpPlatform(std::string url, Duration timeout);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PLATFORM_H
