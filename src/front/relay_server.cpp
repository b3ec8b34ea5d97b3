// Serves calls that other fronts relay.
#include "zinniagauge/front/relay.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace zinniagauge {

namespace {

/// The parts of the descriptors that the connections of other fronts and the
/// relayed calls may use. Callers always find room.
constexpr std::size_t DescriptorsPerConnection = 4;
constexpr std::size_t DescriptorsPerCall = 8;

/// The longest time in a relayed plan.
constexpr std::uint64_t MaxPlanMs = 24ULL * 3600 * 1000;

void onPeerConnection(void *ctx, int fd) {
  RequestLoop &rl = *static_cast<RequestLoop *>(ctx);
  if (rl.PeerConnections >=
          rl.Settings.MaxDescriptors / DescriptorsPerConnection &&
      !closeLongestIdle(rl, true)) {
    ::close(fd);
    return;
  }
  addCaller(rl, fd, true);
}

bool freePeerConnection(void *ctx) {
  return closeLongestIdle(*static_cast<RequestLoop *>(ctx), true);
}

const ListenerHandlers PeerListener = {onPeerConnection, freePeerConnection};

/// Parses all of \p text as a number; nothing if it isn't one.
std::optional<std::uint64_t> parseWhole(std::string_view text,
                                        int base) noexcept {
  std::uint64_t val = 0;
  const auto res =
      std::from_chars(text.data(), text.data() + text.size(), val, base);
  if (res.ec != std::errc() || res.ptr != text.data() + text.size())
    return std::nullopt;
  return val;
}

using PlanNumbers = std::array<std::uint64_t, relay::PlanNumberCount>;

/// Parses the field Plan; nothing if a number is missing, one too many or out
/// of range.
std::optional<PlanNumbers> parsePlanNumbers(std::string_view text) noexcept {
  PlanNumbers out{};
  for (std::size_t n = 0; n < out.size(); ++n) {
    const std::size_t comma = text.find(',');
    if ((comma == std::string_view::npos) != (n + 1 == out.size()))
      return std::nullopt;
    const auto num = parseWhole(text.substr(0, comma), 10);
    if (!num)
      return std::nullopt;
    out.at(n) = *num;
    text.remove_prefix(std::min(comma, text.size() - 1) + 1);
  }
  PlanNumbers max{};
  max.fill(UINT32_MAX);
  max[relay::Kind] = static_cast<std::uint64_t>(CallKind::Stream);
  max[relay::Resumable] = max[relay::KeepsOne] = max[relay::MostUrgent] = 1;
  max[relay::TimeoutMs] = max[relay::AgeMs] = MaxPlanMs;
  max[relay::LatencyTargetMs] = max[relay::GapTargetMs] = MaxPlanMs;
  max[relay::PlanVersion] = UINT64_MAX;
  for (std::size_t n = 0; n < out.size(); ++n)
    if (out.at(n) > max.at(n))
      return std::nullopt;
  if (out[relay::MaxAttempts] == 0 || out[relay::TimeoutMs] == 0)
    return std::nullopt;
  return out;
}

/// The fields of a relayed call.
struct RelayFields {
  std::optional<std::string_view> Token;
  std::optional<std::string_view> Plan;
  std::optional<std::string_view> Pool;
  std::optional<std::string_view> Route;
  std::optional<std::string_view> Workspace; // Optional.
};

/// Finds the fields between fronts. Returns a fault, or nothing.
std::string_view findRelayFields(const HeaderList &list, RelayFields &out) {
  const std::array<
      std::pair<std::string_view, std::optional<std::string_view> *>, 5>
      known = {{{relay::Token, &out.Token},
                {relay::Plan, &out.Plan},
                {relay::Pool, &out.Pool},
                {relay::Route, &out.Route},
                {relay::Workspace, &out.Workspace}}};
  for (std::size_t n = 0; n < list.Spans.size(); ++n) {
    const HeaderField f = fieldAt(list, n);
    if (!isRelayField(f.Name))
      continue;
    const auto *const it =
        std::find_if(known.begin(), known.end(), [&](const auto &entry) {
          return equalsIgnoreCase(entry.first, f.Name);
        });
    if (it == known.end())
      return "unknown relay field";
    if (*it->second)
      return "relay field given twice";
    *it->second = f.Value;
  }
  if (!out.Token)
    return "no relayed call: token missing";
  if (!out.Plan || !out.Pool || !out.Route)
    return "relay field missing";
  return {};
}

void fillPlan(Call &call, const PlanNumbers &nums, const RelayFields &fields,
              PoolId pool) {
  const auto millis = [&](relay::PlanNumber n) {
    return Duration(std::chrono::milliseconds(nums.at(n)));
  };
  CallPlan &cp = call.Plan;
  cp.Version = nums[relay::PlanVersion];
  cp.Route = *fields.Route;
  cp.Pool = pool;
  cp.Timeout = millis(relay::TimeoutMs);
  cp.LatencyTarget = millis(relay::LatencyTargetMs);
  cp.GapTarget = millis(relay::GapTargetMs);
  cp.Priority = static_cast<std::uint32_t>(nums[relay::Priority]);
  cp.RoutePriority = static_cast<std::uint32_t>(nums[relay::RoutePriority]);
  cp.MostUrgent = nums[relay::MostUrgent] == 1;
  cp.HasWorkspace = fields.Workspace.has_value();
  if (fields.Workspace) {
    cp.WorkspaceName = *fields.Workspace;
    cp.Workspace = WorkspaceId::of(cp.WorkspaceName);
  }
  call.Facts.Kind = static_cast<CallKind>(nums[relay::Kind]);
  call.Facts.Resumable = nums[relay::Resumable] == 1;
  call.Facts.MaxAttempts = static_cast<std::uint32_t>(nums[relay::MaxAttempts]);
  call.SenderKeepsAttempt = nums[relay::KeepsOne] == 1;
  call.Arrived -= millis(relay::AgeMs);
}

/// Whether the bound of relayed calls or of descriptors is reached, so that
/// only the front's own callers are served.
bool isFull(const RequestLoop &rl) {
  const std::size_t most = rl.Settings.MaxDescriptors;
  return rl.RelayedCalls >
             std::max<std::size_t>(most / DescriptorsPerCall, 1) ||
         rl.Callers.size() + rl.BackendConnections.size() >
             most - most / DescriptorsPerConnection;
}

} // namespace

Result<void> listenForPeers(RequestLoop &rl) {
  if (rl.Settings.RelayAddress.Port == 0)
    return {};
  return startListening(rl.PeerListening, rl.EventLoop,
                        rl.Settings.RelayAddress, PeerListener, &rl);
}

std::optional<Denial> readRelayedPlan(RequestLoop &rl, Call &call) {
  constexpr int Hex = 16;
  const HeaderList &list = call.Head.Fields;
  RelayFields fields;
  if (const std::string_view fault = findRelayFields(list, fields);
      !fault.empty())
    return Denial{400, fault, {}};
  const auto token = parseWhole(*fields.Token, Hex);
  if (!token)
    return Denial{400, "relay token unreadable", {}};
  if (*token != rl.Board.RelayToken || *token == 0)
    return Denial{421, "call for another process", {}};
  const auto nums = parsePlanNumbers(*fields.Plan);
  const auto pool = parseWhole(*fields.Pool, Hex);
  const auto lefttext = findField(list, rl.Names.TimeLeft);
  const auto left = lefttext ? parseWhole(*lefttext, 10) : std::nullopt;
  if (!nums)
    return Denial{400, "relay plan unreadable", {}};
  if (!pool)
    return Denial{400, "relay pool unreadable", {}};
  if (fields.Route->empty())
    return Denial{400, "relay route empty", {}};
  if (!left)
    return Denial{400, "time left missing or unreadable", {}};
  fillPlan(call, *nums, fields, PoolId{*pool});
  call.Deadline =
      rl.EventLoop.Now +
      std::min(Duration(std::chrono::milliseconds(std::min(*left, MaxPlanMs))),
               call.Plan.Timeout);
  const auto it = rl.Pools.find(call.Plan.Pool);
  if (it == rl.Pools.end() || it->second.Backends.empty())
    return Denial{503, "unknown pool", DefaultRetryAfter};
  if (isFull(rl))
    return Denial{503, "too many relayed calls", DefaultRetryAfter};
  if (call.Facts.Kind == CallKind::Stream) {
    const ReadGuard guard;
    estimateEvents(call.Work,
                   findPool(rl.Board.Plan.read(guard), call.Plan.Pool));
  }
  return std::nullopt;
}

bool closesPeer(int status) noexcept { return status == 400 || status == 421; }

void writeRelayOutcome(std::string &out, const RequestLoop &rl,
                       const Call *call, int status) {
  constexpr int FirstServerError = 500;
  constexpr int Unavailable = 503;
  const bool notrun = status < FirstServerError || status == Unavailable;
  writeField(out, relay::Outcome, notrun ? "not_run" : "unknown");
  writeField(out, relay::Attempts,
             std::uint64_t{call ? call->Facts.SentAttempts : 0});
  const auto pool = call ? rl.Pools.find(call->Plan.Pool) : rl.Pools.end();
  if (pool != rl.Pools.end() && pool->second.Reach.State != PoolReach::Reached)
    writeField(out, relay::Unreached, "1");
  if (call && !call->Id.empty())
    writeField(out, rl.Names.CallId, call->Id);
}

} // namespace zinniagauge
