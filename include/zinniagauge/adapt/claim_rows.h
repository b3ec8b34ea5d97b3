// Claims as rows of the platform's table.
#ifndef ZINNIAGAUGE_ADAPT_CLAIM_ROWS_H
#define ZINNIAGAUGE_ADAPT_CLAIM_ROWS_H

#include "zinniagauge/board/table.h"
#include "zinniagauge/decide/claim.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// The row's name: "claims/" and the key in hexadecimal.
[[nodiscard]] std::string claimRowName(const ClaimKey &key);

/// The row's value: a JSON object.
[[nodiscard]] std::string encodeClaimRow(const ClaimRow &row);

/// The inverse of encodeRow. What can't be read is the row of a holder that is
/// no request, so that nobody takes it for its own.
[[nodiscard]] ClaimRow decodeClaimRow(std::string_view text);

/// The transaction of \p batch: each operation by itself.
[[nodiscard]] TableTransaction toTransaction(const ClaimBatch &batch);

/// The answer to \p batch, from what the table said.
[[nodiscard]] ClaimBatchResult toBatchResult(const ClaimBatch &batch,
                                             const TableResult &res);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_CLAIM_ROWS_H
