// A loopback proxy that disturbs the connections that go through it.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_RELAY_H
#define ZINNIAGAUGE_TESTS_SUPPORT_RELAY_H

#include "zinniagauge/net/tcp_connection.h"

#include <cstdint>
#include <map>
#include <memory>

namespace zinniagauge::testing {

/// What a relay does with what passes.
enum class RelayMode : std::uint8_t {
  Pass,
  Delay,   ///< Each part comes later.
  Reset,   ///< Connections are reset, new ones too.
  CutUp,   ///< What callers send is lost.
  CutDown, ///< What they are answered is lost.
  Silence, ///< Both are.
};
inline constexpr std::size_t RelayModeCount = 6;

struct Relay;

/// Two joined connections.
struct RelayPair {
  Relay *Owner = nullptr;
  TcpConnection Up;   // From a caller.
  TcpConnection Down; // To the target.
  LoopTimer Timer;
  std::string UpHeld;   // Came from the caller, and waits to go on.
  std::string DownHeld; // Likewise from the target.
  bool Cut = false;     // Lost bytes: nothing that follows may pass.
};

/// One relay. It stays where it is while its loop runs.
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

/// Changes what happens. Connections that lost bytes are reset when a cut ends,
/// as they would be on a network where retries had run out.
void setMode(Relay &r, RelayMode mode, Duration delay);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_RELAY_H
