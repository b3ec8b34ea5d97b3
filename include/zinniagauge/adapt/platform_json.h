// The platform's messages as JSON, for both ends of its HTTP protocol.
#ifndef ZINNIAGAUGE_ADAPT_PLATFORM_JSON_H
#define ZINNIAGAUGE_ADAPT_PLATFORM_JSON_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/table.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// The JSON text of a transaction.
[[nodiscard]] std::string encodeTransaction(const TableTransaction &tx);

/// The inverse of encodeTransaction; fails with Invalid.
[[nodiscard]] Result<TableTransaction> decodeTransaction(std::string_view text);

/// The JSON text of a transaction's result.
[[nodiscard]] std::string encodeResult(const TableResult &res);

/// The inverse of encodeResult; fails with Broken.
[[nodiscard]] Result<TableResult> decodeResult(std::string_view text);

/// The JSON text of a VM list.
[[nodiscard]] std::string encodeVms(std::span<const VmEntry> vms);

/// The inverse of encodeVms; fails with Broken.
[[nodiscard]] Result<std::vector<VmEntry>> decodeVms(std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PLATFORM_JSON_H
