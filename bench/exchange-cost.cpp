// Measures the bytes and CPU time of one exchange between two VMs of a zone,
// with 6, 60 and 570 members. Prints, for each number of members, the cost of
// one exchange and the cost per second of a node, which starts one exchange per
// period and on average handles one of another node.

#include "zinniagauge/adapt/exchange_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstdio>
#include <string>

using namespace zinniagauge;

namespace {

constexpr int Zones = 5;
constexpr int Rounds = 2000;
constexpr int EndpointsPerMember = 3;

Member memberNamed(int n) {
  Member m;
  m.Name = "vm-" + std::to_string(n);
  m.Id = VmId::of(m.Name);
  m.ZoneName = "zone-" + std::to_string(n % Zones);
  m.Zone = ZoneId::of(m.ZoneName);
  m.EntryAddress = "10.20.30." + std::to_string(n) + ":9001";
  m.AgentAddress = "10.20.30." + std::to_string(n) + ":9002";
  m.Incarnation = 1764800000000ULL + static_cast<std::uint64_t>(n);
  m.Heartbeat = 100000;
  return m;
}

Bundle bundleOf(int members) {
  Bundle b;
  b.Version = 1;
  for (int n = 0; n < members * EndpointsPerMember; ++n)
    b.Endpoints.emplace_back().Id =
        EndpointId::of("engine-" + std::to_string(n));
  return b;
}

/// The state of a VM that knows all \p members and a report of each endpoint.
Exchange fullExchange(int self, int members, Time now) {
  Exchange ex = startExchange(memberNamed(self), {}, 1, now);
  const Bundle b = bundleOf(members);
  activateBundle(ex, b);
  for (int n = 0; n < members; ++n)
    mergeMember(ex.Members, {memberNamed(n), false, 0}, now);
  for (const EndpointSpec &ep : b.Endpoints)
    recordEndpoint(ex, {ep.Id, 1, false, false, 1, VersionId::of("v")});
  return ex;
}

/// Encodes \p message, adds its size to \p bytes and decodes it again.
ExchangeMessage encodeAndDecode(const ExchangeMessage &message,
                                const Member &from, std::size_t &bytes) {
  capnp::MallocMessageBuilder msg;
  writeExchangeMessage(message, from, msg.initRoot<wire::ExchangeSwap>());
  bytes += capnp::computeSerializedSizeInWords(msg) * sizeof(capnp::word);
  return readExchangeMessage(msg.getRoot<wire::ExchangeSwap>().asReader())
      .value();
}

struct Cost {
  double Bytes = 0;      // Per exchange, both directions.
  double Micros = 0;     // Per exchange, both sides.
  double StepMicros = 0; // Per step that starts an exchange, without it.
};

/// In every \p changeevery-th exchange one VM has an endpoint report that the
/// other lacks; 0: in none.
Cost measure(int members, int changeevery) {
  Time now{std::chrono::hours(1)};
  Exchange a = fullExchange(0, members, now);
  Exchange b = fullExchange(Zones, members, now);
  std::vector<ExchangeTarget> targets;
  ExchangeUpdates updates;
  std::size_t bytes = 0;
  Duration steps{};
  const Time begin = monotonicNow();
  for (int n = 0; n < Rounds; ++n) {
    const Time before = monotonicNow();
    now += std::chrono::milliseconds(1);
    a.NextExchangeAt = now;
    step(a, now, targets);
    targets.clear();
    steps += monotonicNow() - before;
    if (changeevery != 0 && n % changeevery == 0)
      recordEndpoint(a, {EndpointId::of("engine-0"),
                         1,
                         false,
                         false,
                         static_cast<std::uint64_t>(n) + 2,
                         {}});
    const ExchangeMessage request = encodeAndDecode(
        makeExchangeRequest(a, a.Members.Zone, now), memberNamed(0), bytes);
    const ExchangeMessage response =
        encodeAndDecode(handleExchangeRequest(b, request, now, updates),
                        memberNamed(Zones), bytes);
    if (const auto push = handleExchangeResponse(a, response, now, updates))
      static_cast<void>(handleExchangeRequest(
          b, encodeAndDecode(*push, memberNamed(0), bytes), now, updates));
  }
  const auto total =
      std::chrono::duration<double, std::micro>(monotonicNow() - begin - steps)
          .count();
  return {static_cast<double>(bytes) / Rounds, total / Rounds,
          std::chrono::duration<double, std::micro>(steps).count() / Rounds};
}

void report(int members, int changeevery) {
  const Cost c = measure(members, changeevery);
  const double persecond =
      1.0 / std::chrono::duration<double>(ExchangePeriod).count();
  // A node starts one exchange per period and handles one: twice the bytes, and
  // the work of one exchange, as each side does half of the work.
  std::printf(
      "%5d members, a change in %4d exchanges: %7.0f bytes and %7.1f us an "
      "exchange, %6.1f us a step; a node: %5.2f KB/s, %5.3f %% of a core\n",
      members, changeevery, c.Bytes, c.Micros, c.StepMicros,
      2 * c.Bytes * persecond / 1000,
      (c.Micros + c.StepMicros) * persecond / 1e6 * 100);
}

} // namespace

int main() {
  for (const int members : {6, 60, 570})
    for (const int changeevery : {0, 10})
      report(members, changeevery);
  return 0;
}
