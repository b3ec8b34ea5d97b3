// A TCP proxy on loopback that injects faults into the connections through it.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_RELAY_H
#define ZINNIAGAUGE_TESTS_SUPPORT_RELAY_H

#include "zinniagauge/net/tcp_connection.h"

#include <cstdint>
#include <map>
#include <memory>

namespace zinniagauge::testing {

/// What a relay does with the bytes that it receives.
enum class RelayMode : std::uint8_t {
  Pass,
  Delay,          ///< Bytes are forwarded late.
  Reset,          ///< Open and new connections are reset.
  DropFromCaller, ///< Bytes from callers are discarded.
  DropFromTarget, ///< Bytes from the target are discarded.
  DropAll,        ///< Bytes of both directions are discarded.
};
inline constexpr std::size_t RelayModeCount = 6;

struct Relay;

/// The two connections between which a relay forwards bytes.
struct RelayPair {
  Relay *Owner = nullptr;
  TcpConnection CallerSide; // Accepted from a caller.
  TcpConnection TargetSide; // Opened to the target.
  LoopTimer Timer;
  std::string DelayedToTarget; // Received from the caller.
  std::string DelayedToCaller; // Received from the target.
  bool HasLostBytes = false;   // No byte that follows may be forwarded.
};

/// One relay. It must not move while its loop runs, since the loop holds
/// pointers to it.
struct Relay {
  Loop *Lp = nullptr;
  Watch Listener;
  PeerAddress Target;
  RelayMode Mode = RelayMode::Pass;
  Duration Delay = Duration::zero();
  std::map<RelayPair *, std::shared_ptr<RelayPair>> Pairs;
};

/// Listens at \p at for connections to \p target. Fails with Unavailable.
[[nodiscard]] Result<void> startRelay(Relay &r, Loop &lp, PeerAddress at,
                                      PeerAddress target);

/// Changes the mode. Connections that have lost bytes are reset when the mode
/// returns to Pass, as they would be on a network when TCP's retransmissions
/// have run out.
void setMode(Relay &r, RelayMode mode, Duration delay);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_RELAY_H
