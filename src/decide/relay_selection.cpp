// Selects relay peers.
#include "zinniagauge/decide/relay_selection.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <tuple>

namespace zinniagauge {

std::vector<RelayPeer> selectRelays(std::span<const RelayPeer> all,
                                    std::uint64_t seed, std::size_t count) {
  struct Candidate {
    const RelayPeer *Peer;
    std::uint64_t Hash;
    std::size_t Rank; // Among the fronts of its zone.
  };
  std::vector<Candidate> order;
  order.reserve(all.size());
  for (const RelayPeer &p : all)
    order.push_back({&p, mix64(p.Node ^ mix64(seed)), 0});
  if (all.size() > count) {
    std::sort(
        order.begin(), order.end(), [](const Candidate &a, const Candidate &b) {
          return std::tuple(a.Peer->Zone, !a.Peer->Unreached.empty(), a.Hash) <
                 std::tuple(b.Peer->Zone, !b.Peer->Unreached.empty(), b.Hash);
        });
    for (std::size_t n = 1; n < order.size(); ++n)
      if (order[n].Peer->Zone == order[n - 1].Peer->Zone)
        order[n].Rank = order[n - 1].Rank + 1;
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
        order.end(), [](const Candidate &a, const Candidate &b) {
          return std::tuple(a.Rank > 0, !a.Peer->Unreached.empty(), a.Rank,
                            a.Hash) < std::tuple(b.Rank > 0,
                                                 !b.Peer->Unreached.empty(),
                                                 b.Rank, b.Hash);
        });
    order.resize(count);
  }
  std::vector<RelayPeer> out;
  out.reserve(order.size());
  for (const Candidate &c : order)
    out.push_back(*c.Peer);
  std::sort(out.begin(), out.end(), [](const RelayPeer &a, const RelayPeer &b) {
    return a.Node < b.Node;
  });
  return out;
}

} // namespace zinniagauge
