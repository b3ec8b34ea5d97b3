// Encodes the messages of an exchange as Cap'n Proto, and decodes them.
#ifndef ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H
#define ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/decide/exchange.h"

#include <exchange.capnp.h>

#include <string>

namespace zinniagauge {

/// Writes \p message into \p out, with the names of the sender \p from and its
/// zone.
void writeExchangeMessage(const ExchangeMessage &message, const Member &from,
                          wire::ExchangeSwap::Builder out);

/// Reads a message of an exchange. Fails with Broken if parallel lists differ
/// in length, a digest has the wrong number of buckets or an enum value is out
/// of range.
[[nodiscard]] Result<ExchangeMessage>
readExchangeMessage(wire::ExchangeSwap::Reader in);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_EXCHANGE_CODEC_H
