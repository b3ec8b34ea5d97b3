// Translates swaps to Cap'n Proto messages and back.
#ifndef ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H
#define ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/exchange.h"

#include <exchange.capnp.h>

#include <string>

namespace zinniagauge {

/// Writes \p s, sent by a VM and zone of these names, into \p out.
void writeSwap(const ExchangeMessage &s, const Member &from,
               wire::ExchangeSwap::Builder out);

/// Reads a swap. Fails with Broken if lists that belong together differ in
/// length or a number is out of range.
[[nodiscard]] Result<ExchangeMessage> readSwap(wire::ExchangeSwap::Reader in);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H
