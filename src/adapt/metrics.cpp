// Builds the metric families from the board and serves them, the probes and the
// burn counts.

#include "zinniagauge/adapt/metrics.h"

#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/burn.h"

#include <nlohmann/json.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <sstream>
#include <utility>

namespace zinniagauge {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

namespace {

/// Interval at which the burn controller reads the counters.
constexpr Duration BurnPeriod = std::chrono::seconds(5);

/// The process is reported as not live if the timer service hasn't run the burn
/// controller for this long.
constexpr Duration TimerStallTimeout = std::chrono::seconds(60);

constexpr double MicrosPerSecond = 1e6;
constexpr double MsPerSecond = 1e3;
constexpr double PerMille = 1e3;

using Labels = std::vector<ClientMetric::Label>;

MetricFamily makeFamily(MetricType type, std::string name, std::string help) {
  MetricFamily fam;
  fam.name = std::move(name);
  fam.help = std::move(help);
  fam.type = type;
  return fam;
}

void addCount(MetricFamily &to, Labels labels, std::uint64_t n) {
  ClientMetric m;
  m.label = std::move(labels);
  m.counter.value = static_cast<double>(n);
  to.metric.push_back(std::move(m));
}

void addGauge(MetricFamily &to, Labels labels, double val) {
  ClientMetric m;
  m.label = std::move(labels);
  m.gauge.value = val;
  to.metric.push_back(std::move(m));
}

void addHistogram(MetricFamily &to, Labels labels, const LatencyHistogram &h) {
  ClientMetric m;
  m.label = std::move(labels);
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < LatencyBoundsMs.size(); ++i) {
    sum += h.Buckets[i].get();
    m.histogram.bucket.push_back({sum, LatencyBoundsMs[i] / MsPerSecond});
  }
  m.histogram.sample_count = sum + h.Buckets.back().get();
  m.histogram.sample_sum =
      static_cast<double>(h.SumMicros.get()) / MicrosPerSecond;
  to.metric.push_back(std::move(m));
}

/// A family with a single counter that has no labels.
MetricFamily counterFamily(std::string name, std::string help,
                           const Counter &n) {
  auto fam = makeFamily(MetricType::Counter, std::move(name), std::move(help));
  addCount(fam, {}, n.get());
  return fam;
}

using Families = std::vector<MetricFamily>;

void addRequests(Families &to, const Bundle &bundle, const Counters &counts) {
  auto requests =
      makeFamily(MetricType::Counter, "zinnia_requests_total",
                 "Requests that ended, by tier and outcome (requests).");
  auto good = makeFamily(
      MetricType::Counter, "zinnia_requests_good_total",
      "Requests that completed within their tier's objective (requests).");
  auto wait = makeFamily(MetricType::Histogram, "zinnia_wait_seconds",
                         "From a request's arrival to its grant (seconds).");
  auto first = makeFamily(MetricType::Histogram, "zinnia_first_token_seconds",
                          "From arrival to the answer's first byte (seconds).");
  auto total = makeFamily(MetricType::Histogram, "zinnia_request_seconds",
                          "From arrival to the answer's end (seconds).");
  for (const TierSpec &tier : bundle.Tiers) {
    const TierCounters &c = counts.ByTier[tier.Rank.Rank];
    const Labels labels = {{"tier", tier.Name}};
    for (std::size_t i = 0; i < OutcomeCount; ++i)
      addCount(requests,
               {{"tier", tier.Name},
                {"outcome", std::string(toString(static_cast<Outcome>(i)))}},
               c.ByOutcome[i].get());
    addCount(good, labels, c.Good.get());
    addHistogram(wait, labels, c.QueueTime);
    addHistogram(first, labels, c.FirstTokenTime);
    addHistogram(total, labels, c.TotalTime);
  }
  for (MetricFamily *fam : {&requests, &good, &wait, &first, &total})
    to.push_back(std::move(*fam));
}

void addScheduling(Families &to, const Counters &c) {
  to.push_back(counterFamily("zinnia_grants_total",
                             "Leaves to dispatch that were given (grants).",
                             c.Grants));
  to.push_back(counterFamily("zinnia_grants_lapsed_total",
                             "Grants that ended unused or unreturned (grants).",
                             c.GrantsExpired));
  to.push_back(counterFamily("zinnia_refusals_total",
                             "Tickets that a scheduler refused (tickets).",
                             c.Refusals));
  to.push_back(counterFamily("zinnia_retries_total",
                             "Attempts after a first one that did not run "
                             "(attempts).",
                             c.Retries));
  to.push_back(counterFamily("zinnia_callers_gone_total",
                             "Callers that left before their answer's end "
                             "(requests).",
                             c.CallersDisconnected));
}

void addClaims(Families &to, const Counters &c) {
  auto claims = makeFamily(MetricType::Counter, "zinnia_claims_total",
                           "Claims of idempotency keys, by result (claims).");
  addCount(claims, {{"result", "taken"}}, c.ClaimsAcquired.get());
  addCount(claims, {{"result", "refused"}}, c.ClaimsDenied.get());
  addCount(claims, {{"result", "unknown"}}, c.ClaimsUndetermined.get());
  to.push_back(std::move(claims));
}

void addTokens(Families &to, const Counters &c) {
  auto tokens = makeFamily(MetricType::Counter, "zinnia_tokens_total",
                           "Tokens of prompts and of answers (tokens).");
  addCount(tokens, {{"kind", "prompt"}}, c.PromptTokens.get());
  addCount(tokens, {{"kind", "output"}}, c.OutputTokens.get());
  to.push_back(std::move(tokens));
  to.push_back(
      counterFamily("zinnia_wasted_prefill_tokens_total",
                    "Prompt tokens prefilled though an engine had them "
                    "cached (tokens).",
                    c.WastedPrefillTokens));
}

void addExchange(Families &to, const Counters &c) {
  auto bytes = makeFamily(MetricType::Counter, "zinnia_exchange_bytes_total",
                          "State exchanged with other VMs (bytes).");
  addCount(bytes, {{"direction", "out"}}, c.ExchangeBytesSent.get());
  addCount(bytes, {{"direction", "in"}}, c.ExchangeBytesReceived.get());
  to.push_back(std::move(bytes));
}

void addInvariants(Families &to) {
  auto failed =
      makeFamily(MetricType::Counter, "zinnia_invariant_failures_total",
                 "What must always hold and did not (failures).");
  for (std::size_t i = 0; i < InvariantCount; ++i) {
    const auto inv = static_cast<Invariant>(i);
    addCount(failed, {{"invariant", std::string(toString(inv))}},
             failures(inv));
  }
  to.push_back(std::move(failed));
}

std::string_view nameOf(MoveStage stage) noexcept {
  constexpr std::array<std::string_view, 4> Names = {"waiting", "moving",
                                                     "completed", "taken_back"};
  return Names[static_cast<std::size_t>(stage)];
}

/// The name of move \p id in \p bundle, or the id if the bundle doesn't contain
/// the move.
std::string moveName(const Bundle &bundle, MoveId id) {
  for (const MoveSpec &spec : bundle.Moves)
    if (spec.Id == id)
      return spec.Name;
  return std::to_string(id.Value);
}

void addMoves(Families &to, const Bundle &bundle, const MoveList &list) {
  auto share = makeFamily(MetricType::Gauge, "zinnia_move_share",
                          "Share of traffic on a move's new version (ratio).");
  auto stage = makeFamily(MetricType::Gauge, "zinnia_move_stage",
                          "1 for the stage that a version move is in.");
  auto bad = makeFamily(MetricType::Gauge, "zinnia_move_bad",
                        "1 if a move's new version was seen to be bad.");
  for (const MoveState &it : list.Moves) {
    const std::string name = moveName(bundle, it.Id);
    addGauge(share, {{"move", name}}, it.SharePermille / PerMille);
    addGauge(stage, {{"move", name}, {"stage", std::string(nameOf(it.Stage))}},
             1);
    addGauge(bad, {{"move", name}}, it.VersionIsBad ? 1 : 0);
  }
  for (MetricFamily *fam : {&share, &stage, &bad})
    to.push_back(std::move(*fam));
}

void addMembers(Families &to, const MemberList &list) {
  constexpr std::array<std::string_view, 4> Names = {"alive", "suspect",
                                                     "leaving", "dead"};
  std::array<std::uint64_t, Names.size()> counts{};
  for (const Member &it : list.Members)
    ++counts[static_cast<std::size_t>(it.State)];
  auto members = makeFamily(MetricType::Gauge, "zinnia_members",
                            "VMs that this one knows of, by state (VMs).");
  for (std::size_t i = 0; i < Names.size(); ++i)
    addGauge(members, {{"state", std::string(Names[i])}},
             static_cast<double>(counts[i]));
  to.push_back(std::move(members));
}

void addEndpoints(Families &to, const EndpointList &list) {
  const auto n = std::count_if(
      list.Endpoints.begin(), list.Endpoints.end(),
      [](const EndpointState &it) { return it.Leaving || it.Draining; });
  auto leaving = makeFamily(MetricType::Gauge, "zinnia_endpoints_leaving",
                            "Endpoints that get no new work (endpoints).");
  addGauge(leaving, {}, static_cast<double>(n));
  to.push_back(std::move(leaving));
}

void addVersion(Families &to, const Bundle &bundle) {
  auto version = makeFamily(MetricType::Gauge, "zinnia_bundle_version",
                            "Version of the bundle in force; 0: none.");
  addGauge(version, {}, static_cast<double>(bundle.Version));
  to.push_back(std::move(version));
}

nlohmann::json tierJson(const TierSpec &tier, const BurnHistory &hist) {
  const WindowCounts counts = windowCounts(hist, tier.Rank);
  nlohmann::json windows = nlohmann::json::array();
  for (std::size_t i = 0; i < BurnWindowMinutes.size(); ++i)
    windows.push_back({{"minutes", BurnWindowMinutes[i]},
                       {"total", counts[i].Total},
                       {"good", counts[i].Good}});
  return {{"name", tier.Name},
          {"objective", tier.Objective},
          {"windows", std::move(windows)}};
}

nlohmann::json moveJson(const MoveState &move, const Bundle &bundle) {
  nlohmann::json doc = {{"name", moveName(bundle, move.Id)},
                        {"stage", nameOf(move.Stage)},
                        {"share_permille", move.SharePermille},
                        {"bad", move.VersionIsBad},
                        {"evidence", move.BadReason}};
  for (const MoveSpec &spec : bundle.Moves) {
    if (spec.Id != move.Id)
      continue;
    doc["from"] = spec.OldVersionLabel;
    doc["to"] = spec.NewVersionLabel;
  }
  return doc;
}

} // namespace

std::string metricsText(const Board &b) {
  const ReadGuard guard;
  const Bundle &bundle = b.ActiveBundle.read(guard);
  Families all;
  addRequests(all, bundle, b.Counts);
  addScheduling(all, b.Counts);
  addClaims(all, b.Counts);
  addTokens(all, b.Counts);
  addExchange(all, b.Counts);
  addVersion(all, bundle);
  addMoves(all, bundle, b.Moves.read(guard));
  addMembers(all, b.Members.read(guard));
  addEndpoints(all, b.Endpoints.read(guard));
  addInvariants(all);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, all);
  return out.str();
}

std::string burnJson(const MetricsOptions &opt) {
  const ReadGuard guard;
  const Bundle &bundle = opt.SharedBoard->ActiveBundle.read(guard);
  const BurnHistory &hist = opt.SharedBoard->Burn.read(guard);
  nlohmann::json tiers = nlohmann::json::array();
  for (const TierSpec &tier : bundle.Tiers)
    tiers.push_back(tierJson(tier, hist));
  nlohmann::json moves = nlohmann::json::array();
  for (const MoveState &move : opt.SharedBoard->Moves.read(guard).Moves)
    moves.push_back(moveJson(move, bundle));
  return nlohmann::json{{"vm", opt.VmName},
                        {"zone", opt.ZoneName},
                        {"program", opt.Program},
                        {"bundle_version", bundle.Version},
                        {"history_minutes", historyMinutes(hist)},
                        {"tiers", std::move(tiers)},
                        {"moves", std::move(moves)}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct MetricsServer::State {
  explicit State(MetricsOptions opt) : Opt(std::move(opt)) {}
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() {
    Http.reset();
    Opt.Timers->cancel(Timer);
  }

  const MetricsOptions Opt;
  std::atomic<std::int64_t> LastStepNanos{toNanos(monotonicNow())};
  TimerId Timer;
  std::optional<HttpServer> Http;
};

namespace {

void sendText(HttpResponder &reply, int status, std::string_view type,
              std::string_view body) {
  const HttpHeader header{"Content-Type", std::string(type)};
  reply.send(status, {&header, 1}, body);
}

/// One step of the burn controller: adds the requests counted since the last
/// step to the current minute of the history.
void updateBurn(MetricsServer::State &st, Time now) {
  Board &b = *st.Opt.SharedBoard;
  BurnHistory hist = b.Burn.copy();
  updateBurnHistory(hist, readTierCounts(b.Counts), now);
  b.Burn.publish(hist);
  st.LastStepNanos.store(toNanos(now));
}

void sendProbe(HttpResponder &reply, std::string_view problem) {
  constexpr int Ok = 200;
  constexpr int Unavailable = 503;
  sendText(reply, problem.empty() ? Ok : Unavailable, "text/plain",
           problem.empty() ? "ok\n" : std::string(problem) + "\n");
}

std::string_view livenessProblem(const MetricsServer::State &st) {
  const Duration sincelast =
      monotonicNow() - fromNanos(st.LastStepNanos.load());
  return sincelast > TimerStallTimeout ? "the timer service is stuck" : "";
}

std::string_view readinessProblem(const MetricsServer::State &st) {
  if (st.Opt.IsStopping && st.Opt.IsStopping())
    return "stopping";
  const ReadGuard guard;
  if (st.Opt.SharedBoard->ActiveBundle.read(guard).Version == 0)
    return "no bundle is in force yet";
  return "";
}

void onRequest(const MetricsServer::State &st, const HttpRequest &req,
               HttpResponder reply) {
  if (req.Path == "/metrics")
    sendText(reply, 200, "text/plain; version=0.0.4; charset=utf-8",
             metricsText(*st.Opt.SharedBoard));
  else if (req.Path == "/burn")
    sendText(reply, 200, "application/json", burnJson(st.Opt));
  else if (req.Path == "/livez")
    sendProbe(reply, livenessProblem(st));
  else if (req.Path == "/startupz")
    sendProbe(reply, {});
  else if (req.Path == "/readyz")
    sendProbe(reply, readinessProblem(st));
  else
    sendText(reply, 404, "text/plain",
             "try /metrics, /burn, /livez, /startupz or /readyz\n");
}

} // namespace

MetricsServer::MetricsServer(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
MetricsServer::MetricsServer(MetricsServer &&) noexcept = default;
MetricsServer &MetricsServer::operator=(MetricsServer &&) noexcept = default;
MetricsServer::~MetricsServer() = default;

std::uint16_t MetricsServer::port() const noexcept { return St->Http->port(); }

Result<MetricsServer> serveMetrics(MetricsOptions opt) {
  const IpPort at = splitAddress(opt.Address);
  HttpServerOptions http;
  http.Host = at.Host;
  http.Port = at.Port;
  http.Threads = 1;
  auto st = std::make_unique<MetricsServer::State>(std::move(opt));
  MetricsServer::State &shared = *st;
  HttpHandlers handlers;
  handlers.OnRequest = [&shared](const HttpRequest &req, HttpResponder reply) {
    onRequest(shared, req, std::move(reply));
  };
  BOOST_LEAF_AUTO(server, HttpServer::start(http, std::move(handlers)));
  st->Http.emplace(std::move(server));
  st->Timer = st->Opt.Timers->every(
      BurnPeriod, [&shared](Time now) { updateBurn(shared, now); });
  return MetricsServer(std::move(st));
}

} // namespace zinniagauge
