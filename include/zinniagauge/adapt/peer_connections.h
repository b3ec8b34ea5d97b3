// Connections to the entries of other VMs. Each has a heartbeat of its own, and
// is replaced when that stays silent though the connection still looks open.
#ifndef ZINNIAGAUGE_ADAPT_PEER_CONNECTIONS_H
#define ZINNIAGAUGE_ADAPT_PEER_CONNECTIONS_H

#include "zinniagauge/board/ids.h"
#include "zinniagauge/decide/clock_bound.h"

#include "zinnia.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace zinniagauge {

/// The links of one RPC thread; used on that thread only.
class PeerConnections {
public:
  explicit PeerConnections(kj::AsyncIoContext &io);
  PeerConnections(const PeerConnections &) = delete;
  PeerConnections &operator=(const PeerConnections &) = delete;
  ~PeerConnections() noexcept(false);

  /// The scheduler capability of the entry of \p vm at \p address. Connects if
  /// there is no link; calls made before it stands wait for it, and fail if it
  /// can't be made.
  [[nodiscard]] wire::Scheduler::Client scheduler(VmId vm,
                                                  const std::string &address);

  /// How far the clock of \p vm can have come, by its last heartbeat.
  [[nodiscard]] ClockBound clockOf(VmId vm) const noexcept;

  /// The VMs whose links broke or could not be made within the last seconds.
  [[nodiscard]] std::vector<VmId> unreachablePeers(Time now);

private:
  struct Connection;

  void dropLater(VmId vm, const Connection *link);
  kj::Promise<void> runHeartbeat(VmId vm, Connection &link);

  kj::AsyncIoContext &Io;
  std::map<VmId, std::unique_ptr<Connection>> Connections;
  std::map<VmId, Time> LostAt;
  std::unique_ptr<kj::TaskSet::ErrorHandler> OnError;
  kj::TaskSet Tasks;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PEER_CONNECTIONS_H
