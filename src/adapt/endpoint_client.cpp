#include "zinniagauge/adapt/endpoint_client.h"

#include "zinniagauge/adapt/http_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace zinniagauge {

using nlohmann::json;

namespace {

constexpr int Ok = 200;
constexpr int Conflict = 409;

boost::leaf::error_id broken(std::string detail) {
  return fail({ErrorCode::Broken, Step::Exchange, {}, std::move(detail)});
}

/// Makes one call to \p ep: POST if there is a body, else GET. Returns the body
/// of the response; fails with Conflict on status 409, and with Broken on any
/// other status except 200.
Result<std::string> callEndpoint(const EndpointSpec &ep, std::string_view path,
                                 std::string_view body, Duration timeout) {
  const std::string url =
      "http://" + ep.Host + ":" + std::to_string(ep.Port) + std::string(path);
  HttpCall call;
  call.Method = body.empty() ? "GET" : "POST";
  call.Url = url;
  call.Body = body;
  call.Timeout = timeout;
  call.ErrorStep = body.empty() ? Step::Exchange : Step::Move;
  BOOST_LEAF_AUTO(response, httpCall(call));
  if (response.Status == Ok)
    return std::move(response.Body);
  const ErrorCode code =
      response.Status == Conflict ? ErrorCode::Conflict : ErrorCode::Broken;
  return fail({code, call.ErrorStep, ep.Name,
               "status " + std::to_string(response.Status) + " to " +
                   std::string(path)});
}

/// The unsigned number at \p key, limited to the range of T; nothing if there
/// is no such number.
template <typename T>
std::optional<T> numberAt(const json &doc, const char *key) {
  const auto it = doc.find(key);
  if (it == doc.end() || !it->is_number_unsigned())
    return std::nullopt;
  const auto max = std::uint64_t{std::numeric_limits<T>::max()};
  return static_cast<T>(std::min(it->get<std::uint64_t>(), max));
}

} // namespace

Result<EndpointStatus> decodeStatus(std::string_view text) {
  const json doc = json::parse(text, nullptr, false);
  if (!doc.is_object())
    return broken("the status is no JSON object");
  const auto version = doc.find("version");
  const auto inc = numberAt<std::uint64_t>(doc, "incarnation");
  if (version == doc.end() || !version->is_string() || !inc)
    return broken("the status lacks version or incarnation");
  EndpointStatus out;
  out.VersionLabel = version->get<std::string>();
  out.Incarnation = *inc;
  const auto leaving = doc.find("leaving");
  out.Leaving = leaving != doc.end() && *leaving == true;
  return out;
}

Result<EndpointLoad> decodeLoad(std::string_view text) {
  const json doc = json::parse(text, nullptr, false);
  if (!doc.is_object())
    return broken("the load is no JSON object");
  const auto running = numberAt<std::uint32_t>(doc, "running");
  const auto age = numberAt<std::uint32_t>(doc, "age_ms");
  if (!running || !age)
    return broken("the load lacks running or age_ms");
  EndpointLoad out;
  out.Running = *running;
  out.Waiting = numberAt<std::uint32_t>(doc, "waiting").value_or(0);
  out.TokensInFlight =
      numberAt<std::uint32_t>(doc, "tokens_in_flight").value_or(0);
  out.Age = std::chrono::milliseconds(*age);
  return out;
}

std::string encodeOrder(const EndpointOrder &order) {
  return json{{"version", order.VersionLabel}, {"fence", order.FencingToken}}
      .dump();
}

EndpointClient httpEndpointClient(Duration timeout) {
  EndpointClient out;
  out.Status = [timeout](const EndpointSpec &ep) -> Result<EndpointStatus> {
    BOOST_LEAF_AUTO(body, callEndpoint(ep, "/status", {}, timeout));
    return decodeStatus(body);
  };
  out.Load = [timeout](const EndpointSpec &ep) -> Result<EndpointLoad> {
    BOOST_LEAF_AUTO(body, callEndpoint(ep, "/load", {}, timeout));
    return decodeLoad(body);
  };
  out.Order = [timeout](const EndpointSpec &ep,
                        const EndpointOrder &order) -> Result<void> {
    BOOST_LEAF_CHECK(callEndpoint(ep, "/order", encodeOrder(order), timeout));
    return {};
  };
  return out;
}

} // namespace zinniagauge
