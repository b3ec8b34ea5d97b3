// Connections to the entries of other VMs. Each connection has its own
// heartbeat, and is replaced when the heartbeat times out, even if the
// connection still looks open.
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

/// The connections of one RPC thread; used on that thread only.
class PeerConnections {
public:
  explicit PeerConnections(kj::AsyncIoContext &io);
  PeerConnections(const PeerConnections &) = delete;
  PeerConnections &operator=(const PeerConnections &) = delete;
  ~PeerConnections() noexcept(false);

  /// The scheduler capability of the entry of \p vm at \p address. Connects if
  /// there is no connection to that address. Calls made before the connection
  /// is established wait for it, and fail if it can't be established.
  [[nodiscard]] wire::Scheduler::Client scheduler(VmId vm,
                                                  const std::string &address);

  /// The bound on the clock of \p vm from its heartbeats; default-constructed
  /// if there is no connection.
  [[nodiscard]] ClockBound clockOf(VmId vm) const noexcept;

  /// The VMs whose connections failed or could not be established within the
  /// last 3 s (UnreachablePeriod).
  [[nodiscard]] std::vector<VmId> unreachablePeers(Time now);

private:
  struct Connection;

  void closeLater(VmId vm, const Connection *connection);
  kj::Promise<void> runHeartbeat(VmId vm, Connection &connection);

  kj::AsyncIoContext &Io;
  std::map<VmId, std::unique_ptr<Connection>> Connections;
  std::map<VmId, Time> UnreachableSince;
  std::unique_ptr<kj::TaskSet::ErrorHandler> OnError;
  kj::TaskSet Tasks;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PEER_CONNECTIONS_H
