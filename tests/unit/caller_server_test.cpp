// Tests of the front end for callers: admission, refusals and their errors.
#include "zinniagauge/adapt/caller_server.h"
#include "zinniagauge/adapt/digest.h"
#include "zinniagauge/adapt/problem.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>
#include <vector>

using namespace zinniagauge;

namespace {

constexpr std::string_view CallerKey = "caller-key";

Bundle smallBundle() {
  Bundle b;
  b.Version = 1;
  b.Tiers = {{"cue", {0}, std::chrono::seconds(5), {}, 0.99},
             {"act", {1}, std::chrono::seconds(60), {}, 0.9}};
  WorkspaceSpec ws;
  ws.Name = "archivo";
  ws.Id = WorkspaceId::of(ws.Name);
  ws.KeyDigests = {sha256Hex(CallerKey)};
  ws.HighestTier = {1};
  b.Workspaces = {ws};
  RouteSpec model;
  model.Name = model.Model = "surtitle";
  model.Pool = PoolId::of("surtitle");
  RouteSpec desk;
  desk.Name = "fire-cue";
  desk.PathPrefix = "/desk/fire-cue";
  desk.Pool = PoolId::of("desk");
  desk.DefaultTier = {1};
  desk.Idempotent = false;
  b.Routes = {model, desk};
  indexBundle(b);
  return b;
}

/// A front end whose worker responds to each admitted request immediately.
struct Fixture {
  Board SharedBoard;
  std::atomic<int> Admitted{0};
  Admission LastAdmission;
  Result<HttpServer> Server = startCallerServer(options());

  CallerServerOptions options() {
    CallerServerOptions opt;
    opt.SharedBoard = &SharedBoard;
    opt.Http.MaxBodyBytes = 4096;
    opt.SendToWorker = [this](AdmittedRequest msg) {
      LastAdmission = msg.Admitted;
      ++Admitted;
      msg.Responder.send(200, {}, "done");
    };
    opt.OnDisconnect = [](std::uint64_t) {};
    opt.IsStopping = [] { return false; };
    return opt;
  }

  [[nodiscard]] HttpResponse call(std::string_view path, std::string_view body,
                                  std::vector<HttpHeader> headers = {}) const {
    if (headers.empty() || headers[0].Name != "Authorization")
      headers.push_back({"Authorization", "Bearer " + std::string(CallerKey)});
    const std::string url =
        "http://127.0.0.1:" + std::to_string(Server->port()) +
        std::string(path);
    HttpCall req;
    req.Method = "POST";
    req.Url = url;
    req.Headers = headers;
    req.Body = body;
    return handleResult([&] { return httpCall(req); },
                        [](const HttpResponse &resp) { return resp; },
                        [](const Error &) { return HttpResponse{}; });
  }

  /// Checks that the call was refused with \p status at \p step and not run.
  void checkRefused(int status, std::string_view step,
                    const HttpResponse &resp) const {
    const auto body = nlohmann::json::parse(resp.Body, nullptr, false);
    INFO(resp.Body);
    REQUIRE(body.is_object());
    CHECK(resp.Status == status);
    CHECK(body.value("step", "") == step);
    CHECK(body.value("outcome", "") == "not_run");
    CHECK(parseRequestId(body.value("request_id", "")));
    CHECK(Admitted == 0);
  }
};

constexpr std::string_view ChatPath = "/v1/chat/completions";

} // namespace

TEST_CASE("requests are refused without a bundle", "[front]") {
  const Fixture f;
  f.checkRefused(503, "bundle", f.call(ChatPath, R"({"model": "surtitle"})"));
}

TEST_CASE("an invalid request is refused with the step that failed",
          "[front]") {
  Fixture f;
  f.SharedBoard.ActiveBundle.publish(smallBundle());
  f.checkRefused(400, "receive", f.call(ChatPath, "{"));
  f.checkRefused(400, "receive", f.call(ChatPath, "[]"));
  f.checkRefused(400, "receive", f.call(ChatPath, R"({"model": 7})"));
  f.checkRefused(
      400, "receive",
      f.call(ChatPath, R"({"model": "surtitle", "max_tokens": -1})"));
  f.checkRefused(400, "receive",
                 f.call(ChatPath, R"({"model": "surtitle", "stream": "yes"})"));
  f.checkRefused(400, "receive",
                 f.call("/desk/fire-cue", "", {{"Zinnia-Timeout-Ms", "soon"}}));
  f.checkRefused(404, "route", f.call(ChatPath, R"({"model": "other"})"));
  f.checkRefused(404, "route", f.call("/desk/fire-cues", ""));
  f.checkRefused(400, "route",
                 f.call("/desk/fire-cue", "", {{"Zinnia-Tier", "none"}}));
}

TEST_CASE("callers without permission are refused", "[front]") {
  Fixture f;
  f.SharedBoard.ActiveBundle.publish(smallBundle());
  f.checkRefused(
      401, "authorise",
      f.call("/desk/fire-cue", "", {{"Authorization", "Bearer wrong"}}));
  f.checkRefused(401, "authorise",
                 f.call("/desk/fire-cue", "", {{"Authorization", "Basic x"}}));
  f.checkRefused(401, "authorise",
                 f.call("/desk/fire-cue", "", {{"Zinnia-Tier", "cue"}}));
}

TEST_CASE("a body over the limit is refused before it is read", "[front]") {
  Fixture f;
  f.SharedBoard.ActiveBundle.publish(smallBundle());
  CHECK(f.call(ChatPath, std::string(9000, 'x')).Status == 413);
  CHECK(f.Admitted == 0);
}

TEST_CASE("an admitted request carries the fields for scheduling", "[front]") {
  Fixture f;
  f.SharedBoard.ActiveBundle.publish(smallBundle());
  const std::string_view body =
      R"({"model": "surtitle", "max_tokens": 9, "stream": true,)"
      R"( "messages": [{"role": "user", "content": "twelve bytes"}]})";
  CHECK(f.call(ChatPath, body).Body == "done");
  CHECK(f.LastAdmission.Pool == PoolId::of("surtitle"));
  // Lowered to the highest tier that the workspace may use.
  CHECK(f.LastAdmission.Rank.Rank == 1);
  CHECK(f.LastAdmission.OutputTokens == 9);
  CHECK(f.LastAdmission.Stream);
  CHECK(f.call("/desk/fire-cue/7", "{}").Body == "done");
  CHECK_FALSE(f.LastAdmission.Idempotent);
}
