// Encodes and decodes the platform's messages as JSON, for the client and the
// server of its HTTP protocol.
#ifndef ZINNIAGAUGE_ADAPT_PLATFORM_JSON_H
#define ZINNIAGAUGE_ADAPT_PLATFORM_JSON_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/table.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// Encodes a transaction.
[[nodiscard]] std::string encodeTransaction(const TableTransaction &tx);

/// Decodes a transaction. Fails with Invalid if \p text is malformed.
[[nodiscard]] Result<TableTransaction> decodeTransaction(std::string_view text);

/// Encodes the result of a transaction.
[[nodiscard]] std::string encodeResult(const TableResult &res);

/// Decodes the result of a transaction. Fails with Broken if \p text is
/// malformed.
[[nodiscard]] Result<TableResult> decodeResult(std::string_view text);

/// Encodes a VM list.
[[nodiscard]] std::string encodeVms(std::span<const VmEntry> vms);

/// Decodes a VM list. Fails with Broken if \p text is malformed.
[[nodiscard]] Result<std::vector<VmEntry>> decodeVms(std::string_view text);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PLATFORM_JSON_H
