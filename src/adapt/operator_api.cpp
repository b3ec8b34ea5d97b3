#include "zinniagauge/adapt/operator_api.h"

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/digest.h"
#include "zinniagauge/adapt/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace zinniagauge {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr std::string_view Bearer = "Bearer ";

std::string errorJson(const Error &err) {
  return json{{"title", toString(err.Code)},
              {"status", httpStatusOf(err.Code)},
              {"step", toString(err.FailedStep)},
              {"peer", err.Peer},
              {"detail", err.Detail}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void sendJson(HttpResponder &responder, int status, const char *type,
              std::string_view body) {
  const HttpHeader header{"Content-Type", type};
  responder.send(status, {&header, 1}, body);
}

void sendError(HttpResponder &responder, const Error &err) {
  sendJson(responder, httpStatusOf(err.Code), "application/problem+json",
           errorJson(err));
}

/// Returns the name of the operator whose key the request carries, or nullopt
/// if the key is missing or unknown.
std::optional<std::string> operatorOf(const std::vector<OperatorKey> &keys,
                                      const HttpRequest &req) {
  const std::string_view auth = req.header("Authorization");
  if (!auth.starts_with(Bearer))
    return std::nullopt;
  const std::string digest = sha256Hex(auth.substr(Bearer.size()));
  const auto it =
      std::find_if(keys.begin(), keys.end(),
                   [&](const OperatorKey &k) { return k.Digest == digest; });
  if (it == keys.end())
    return std::nullopt;
  return it->Name;
}

bool matchesRoute(const OperatorRoute &r, const HttpRequest &req) {
  if (r.Method != req.Method)
    return false;
  return r.Path.back() == '/' ? req.Path.starts_with(r.Path)
                              : req.Path == r.Path;
}

} // namespace

std::string_view OperatorCall::parameter(std::string_view name) const {
  std::string_view rest = Query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t eq = pair.find('=');
    if (eq != std::string_view::npos && pair.substr(0, eq) == name)
      return pair.substr(eq + 1);
  }
  return {};
}

/// The destructor stops the queue before it destroys the server, since queued
/// tasks hold responders of the server.
struct OperatorApi::State {
  State() = default;
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() { Queue.stop(); }

  OperatorApiOptions Opt;
  WorkQueue Queue;
  std::optional<HttpServer> Http;

  void onRequest(HttpRequest req, HttpResponder responder);
};

void OperatorApi::State::onRequest(HttpRequest req, HttpResponder responder) {
  const auto name = operatorOf(Opt.Keys, req);
  if (!name)
    return sendError(responder,
                     {ErrorCode::Denied,
                      Step::Authorise,
                      {},
                      "no operator has this key: give one of the agent's "
                      "operator_keys"});
  const auto r = std::find_if(
      Opt.Routes.begin(), Opt.Routes.end(),
      [&](const OperatorRoute &it) { return matchesRoute(it, req); });
  if (r == Opt.Routes.end())
    return sendError(responder,
                     {ErrorCode::NotFound,
                      Step::Receive,
                      {},
                      "nothing is done for " + req.Method + " " + req.Path});
  OperatorCall call{*name, req.Path.substr(r->Path.size()),
                    std::move(req.Query), std::move(req.Body)};
  // Shared since a task must be copyable, but a responder isn't.
  const auto shared = std::make_shared<HttpResponder>(std::move(responder));
  Queue.post([call = std::move(call), &run = r->Handle, shared] {
    const auto err =
        handleResult([&] { return run(call); },
                     [&](const std::string &body) {
                       sendJson(*shared, StatusOk, "application/json", body);
                       return std::optional<Error>();
                     },
                     [](const Error &it) { return std::optional<Error>(it); });
    if (err)
      sendError(*shared, *err);
  });
}

OperatorApi::OperatorApi(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
OperatorApi::OperatorApi(OperatorApi &&) noexcept = default;
OperatorApi &OperatorApi::operator=(OperatorApi &&) noexcept = default;
OperatorApi::~OperatorApi() = default;

Result<OperatorApi> OperatorApi::start(OperatorApiOptions opt) {
  auto st = std::make_unique<State>();
  st->Opt = std::move(opt);
  const IpPort addr = splitAddress(st->Opt.Address);
  HttpServerOptions http;
  http.Host = addr.Host;
  http.Port = addr.Port;
  http.MaxBodyBytes = 2 * MaxBundleBytes;
  HttpHandlers handlers;
  handlers.OnRequest = [s = st.get()](HttpRequest req,
                                      HttpResponder responder) {
    s->onRequest(std::move(req), std::move(responder));
  };
  BOOST_LEAF_AUTO(server, HttpServer::start(http, std::move(handlers)));
  st->Http.emplace(std::move(server));
  return OperatorApi(std::move(st));
}

} // namespace zinniagauge
