// Connections to the entries of other VMs. Each has a heartbeat of its own, and
// is replaced when that stays silent though the connection still looks open.
#ifndef ZINNIAGAUGE_ADAPT_PEER_LINKS_H
#define ZINNIAGAUGE_ADAPT_PEER_LINKS_H

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
class PeerLinks {
public:
  explicit PeerLinks(kj::AsyncIoContext &io);
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks() noexcept(false);

  /// The scheduler capability of the entry of \p vm at \p address. Connects if
  /// there is no link; calls made before it stands wait for it, and fail if it
  /// can't be made.
  [[nodiscard]] wire::Scheduler::Client scheduler(VmId vm,
                                                  const std::string &address);

  /// How far the clock of \p vm can have come, by its last heartbeat.
  [[nodiscard]] ClockBound clockOf(VmId vm) const noexcept;

  /// The VMs whose links broke or could not be made within the last seconds.
  [[nodiscard]] std::vector<VmId> outOfReach(Time now);

private:
  struct Link;

  void dropLater(VmId vm, const Link *link);
  kj::Promise<void> beat(VmId vm, Link &link);

  kj::AsyncIoContext &Io;
  std::map<VmId, std::unique_ptr<Link>> Links;
  std::map<VmId, Time> LostAt;
  std::unique_ptr<kj::TaskSet::ErrorHandler> OnError;
  kj::TaskSet Tasks;
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_PEER_LINKS_H
