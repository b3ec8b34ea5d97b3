// Encodes the messages of swaps as Cap'n Proto, and decodes them.
#ifndef ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H
#define ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/exchange.h"

#include <exchange.capnp.h>

#include <string>

namespace zinniagauge {

/// Writes \p s into \p out, with the names of the sender \p from and its zone.
void writeSwap(const ExchangeMessage &s, const Member &from,
               wire::ExchangeSwap::Builder out);

/// Reads a message of a swap. Fails with Broken if parallel lists differ in
/// length, a digest has the wrong number of buckets or an enum value is out of
/// range.
[[nodiscard]] Result<ExchangeMessage> readSwap(wire::ExchangeSwap::Reader in);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H
