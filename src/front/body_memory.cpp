// The limit of the memory for requests and responses that are buffered whole.
#include "zinniagauge/front/request_loop.h"

namespace zinniagauge {

namespace {

/// A growing body is checked each time that it passes a multiple of this.
constexpr std::uint64_t CheckedBytes = std::uint64_t{256} << 10U;

/// The part of the process's memory that bodies may use. A response is copied
/// when it is passed on, and the rest of the process needs memory too.
constexpr double BodyMemoryFraction = 0.25;

/// Bytes of bodies that are being read, of calls in progress, and of responses
/// that aren't sent yet.
std::uint64_t bufferedBytes(const RequestLoop &rl) {
  std::uint64_t out = 0;
  for (const auto &[key, c] : rl.Callers)
    out += c->Body.size() + pendingBytes(c->Tcp) +
           (c->ActiveCall ? c->ActiveCall->Body.size() : 0);
  for (const auto &[key, conn] : rl.BackendConnections)
    out += conn->Body.size();
  return out;
}

} // namespace

bool exceedsBodyMemory(const RequestLoop &rl, std::uint64_t before,
                       std::uint64_t now) {
  constexpr double BytesPerMb = 1e6;
  return before / CheckedBytes != now / CheckedBytes &&
         static_cast<double>(bufferedBytes(rl)) >
             rl.Settings.MemoryMb * BytesPerMb * BodyMemoryFraction;
}

} // namespace zinniagauge
