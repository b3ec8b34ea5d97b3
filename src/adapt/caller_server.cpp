#include "zinniagauge/adapt/caller_server.h"

#include "zinniagauge/adapt/digest.h"
#include "zinniagauge/adapt/problem.h"
#include "zinniagauge/decide/admit.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace zinniagauge {

namespace {

constexpr std::string_view TierHeader = "Zinnia-Tier";
constexpr std::string_view TimeoutHeader = "Zinnia-Timeout-Ms";
constexpr std::string_view TicketHeader = "Zinnia-Issued-Ticket";
constexpr std::string_view IdempotencyHeader = "Idempotency-Key";
/// A POST to this path issues a ticket.
constexpr std::string_view TicketPath = "/zinnia/tickets";

/// The fields of a model request's body that admission uses.
struct ModelCall {
  std::string Model;
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  bool Stream = false;
};

struct CallerServer {
  CallerServerOptions Opt;
  std::atomic<std::uint64_t> NextId{1};
};

bool isModelPath(std::string_view path) noexcept {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

std::string_view bearerKey(const HttpRequest &req) noexcept {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view val = req.header("Authorization");
  return val.starts_with(Scheme) ? val.substr(Scheme.size())
                                 : std::string_view{};
}

boost::leaf::error_id invalid(std::string detail) {
  return fail({ErrorCode::Invalid, Step::Receive, {}, std::move(detail)});
}

/// Returns the prompt, or the text of all messages in order. Engines cache
/// prefixes of this text.
std::string promptText(const nlohmann::json &body) {
  if (const auto it = body.find("prompt"); it != body.end() && it->is_string())
    return it->get<std::string>();
  std::string text;
  const auto it = body.find("messages");
  if (it == body.end() || !it->is_array())
    return text;
  for (const nlohmann::json &msg : *it) {
    if (!msg.is_object())
      continue;
    const auto content = msg.find("content");
    if (content != msg.end() && content->is_string())
      text.append(content->get_ref<const std::string &>()).push_back('\n');
  }
  return text;
}

Result<std::uint32_t> maxTokens(const nlohmann::json &body) {
  const auto it = body.find("max_tokens");
  if (it == body.end() || it->is_null())
    return 0U;
  constexpr std::uint64_t MaxTokensLimit = 1'000'000;
  if (!it->is_number_unsigned() || it->get<std::uint64_t>() > MaxTokensLimit)
    return invalid("max_tokens must be a whole number up to 1000000");
  return it->get<std::uint32_t>();
}

Result<ModelCall> readModelCall(std::string_view text) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (body.is_discarded())
    return invalid("the body is not valid JSON");
  if (!body.is_object())
    return invalid("the body is not a JSON object");
  ModelCall call;
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string())
    return invalid("model must be a string");
  call.Model = model->get<std::string>();
  call.Prompt = promptText(body);
  BOOST_LEAF_ASSIGN(call.MaxTokens, maxTokens(body));
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean())
    return invalid("stream must be true or false");
  call.Stream = stream != body.end() && stream->get<bool>();
  return call;
}

Result<std::optional<Duration>> timeoutOf(const HttpRequest &req) {
  const std::string_view text = req.header(TimeoutHeader);
  if (text.empty())
    return std::optional<Duration>{};
  std::uint32_t ms = 0;
  const auto *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, ms);
  if (res.ec != std::errc() || res.ptr != end || ms == 0)
    return invalid("Zinnia-Timeout-Ms must be a positive whole number");
  return std::optional<Duration>(std::chrono::milliseconds(ms));
}

Result<Admission> admitRequest(const Board &b, const HttpRequest &req,
                               Time now) {
  RequestHead head;
  ModelCall call;
  if (isModelPath(req.Path)) {
    BOOST_LEAF_ASSIGN(call, readModelCall(req.Body));
    head.Model = call.Model;
    head.PrefixText = call.Prompt;
    head.PromptBytes = static_cast<std::uint32_t>(call.Prompt.size());
    head.MaxTokens = call.MaxTokens;
    head.Stream = call.Stream;
  } else {
    head.PromptBytes = static_cast<std::uint32_t>(req.Body.size());
    head.MaxTokens = 1;
  }
  head.Key = bearerKey(req);
  head.Path = req.Path;
  head.TierName = req.header(TierHeader);
  BOOST_LEAF_ASSIGN(head.Timeout, timeoutOf(req));
  const std::string digest = sha256Hex(head.Key);
  const ReadGuard guard;
  const Bundle &bundle = b.ActiveBundle.read(guard);
  if (bundle.Version == 0)
    return fail({ErrorCode::Unavailable,
                 Step::Bundle,
                 {},
                 "no bundle is in force here yet"});
  return admit(bundle, head, digest, now);
}

/// Reads the idempotency key or the issued ticket of a request. If they are
/// invalid, sends the error to the caller and returns false.
bool readIdempotencyKey(AdmittedRequest &admitted) {
  const std::string_view key = admitted.Request.header(IdempotencyHeader);
  const std::string_view ticket = admitted.Request.header(TicketHeader);
  return handleResult([&] { return readCallKey(key, ticket); },
                      [&](const CallKey &read) {
                        admitted.Ticket = read.Ticket;
                        admitted.IdempotencyKey =
                            read.Ticket ? toString(*read.Ticket) : read.Key;
                        return true;
                      },
                      [&](const Error &err) {
                        sendProblem(admitted.Responder, err, Outcome::NotRun,
                                    admitted.Id);
                        return false;
                      });
}

/// Issues a ticket to a caller that has a workspace's key.
void onTicketRequest(CallerServer &srv, const HttpRequest &req,
                     HttpResponder responder, RequestId id) {
  const ReadGuard guard;
  const Bundle &b = srv.Opt.SharedBoard->ActiveBundle.read(guard);
  if (findWorkspace(b, sha256Hex(bearerKey(req))))
    srv.Opt.SendToClaims(IssueTicket{id, std::move(responder)});
  else
    sendProblem(responder,
                {ErrorCode::Denied, Step::Authorise, {}, "unknown key"},
                Outcome::NotRun, id);
}

void onRequest(CallerServer &srv, HttpRequest req, HttpResponder responder) {
  const RequestId id{srv.Opt.RequestIdHigh,
                     srv.NextId.fetch_add(1, std::memory_order_relaxed)};
  if (srv.Opt.IsStopping()) {
    sendProblem(responder,
                {ErrorCode::Stopping, Step::Receive, {}, "this VM is stopping"},
                Outcome::NotRun, id);
    return;
  }
  if (req.Path == TicketPath && req.Method == "POST") {
    onTicketRequest(srv, req, std::move(responder), id);
    return;
  }
  const Time now = monotonicNow();
  std::optional<Admission> admission;
  handleResult([&] { return admitRequest(*srv.Opt.SharedBoard, req, now); },
               [&](Admission a) {
                 admission = a;
                 return true;
               },
               [&](const Error &err) {
                 sendProblem(responder, err, Outcome::NotRun, id);
                 return false;
               });
  if (!admission)
    return;
  AdmittedRequest admitted{
      id, *admission, std::move(req), std::move(responder), now, {}, {}};
  if (readIdempotencyKey(admitted))
    srv.Opt.SendToWorker(std::move(admitted));
}

} // namespace

Result<HttpServer> startCallerServer(CallerServerOptions opt) {
  // Both handlers of the server share ownership of this object, so it exists as
  // long as the server does.
  auto srv = std::make_shared<CallerServer>();
  srv->Opt = std::move(opt);
  HttpHandlers handlers;
  handlers.OnRequest = [srv](HttpRequest req, HttpResponder responder) {
    onRequest(*srv, std::move(req), std::move(responder));
  };
  handlers.OnDisconnect = [srv](std::uint64_t conn) {
    srv->Opt.OnDisconnect(conn);
  };
  return HttpServer::start(srv->Opt.Http, std::move(handlers));
}

} // namespace zinniagauge
