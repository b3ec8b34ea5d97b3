#include "zinniagauge/adapt/problem.h"

#include <nlohmann/json.hpp>

#include <array>

namespace zinniagauge {

int httpStatusOf(ErrorCode code) noexcept {
  switch (code) {
  case ErrorCode::Invalid:
    return 400;
  case ErrorCode::Denied:
    return 401;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::TooLarge:
    return 413;
  case ErrorCode::Overloaded:
    return 429;
  case ErrorCode::Unavailable:
  case ErrorCode::Stopping:
    return 503;
  case ErrorCode::TimedOut:
    return 504;
  case ErrorCode::Broken:
  case ErrorCode::Disconnected:
    break;
  }
  return 502;
}

std::string problemJson(const Error &err, Outcome oc, RequestId id) {
  nlohmann::ordered_json body;
  body["type"] = "about:blank";
  body["title"] = toString(err.Code);
  body["status"] = httpStatusOf(err.Code);
  body["detail"] = err.Detail;
  body["outcome"] = toString(oc);
  body["step"] = toString(err.FailedStep);
  body["peer"] = err.Peer;
  body["request_id"] = toString(id);
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void sendProblem(HttpResponder &responder, const Error &err, Outcome oc,
                 RequestId id) {
  const std::array<HttpHeader, 3> headers = {
      {{"Content-Type", "application/problem+json"},
       {std::string(RequestIdHeader), toString(id)},
       {std::string(OutcomeHeader), std::string(toString(oc))}}};
  responder.send(httpStatusOf(err.Code), headers, problemJson(err, oc, id));
}

} // namespace zinniagauge
