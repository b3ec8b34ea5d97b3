// A stand-in for the platform: a transactional table, an object store and a
// lagging VM list over HTTP, with faults that are set over HTTP as well.
//
//   POST /table            a transaction; the response is its result
//   GET, PUT /objects/NAME
//   GET /vms               the list as it was `lag_ms` ago
//   POST /vms              adds or replaces an entry, {"name", ...}
//   DELETE /vms/NAME
//   POST /faults           {"service": "table" | "objects" | "vms", "outage":
//                          true, "slowness_ms": 0, "lost_answers": 0, "silent":
//                          false, "lag_ms": 0}; omitted fields keep their value
//   GET /counts            requests, writes and lost responses by service
//
// During an outage every call gets 503. A slow call takes effect, and gets its
// response, after the delay. Each of the next `lost_answers` writes takes
// effect, but instead of a response the connection is closed, or with "silent"
// left open without a response.

#include "../support/table_model.h"

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/adapt/platform_json.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/time/timer_service.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

using namespace zinniagauge;
using nlohmann::json;

namespace {

/// The faults and counts of one service.
struct Service {
  bool Outage = false;
  bool Silent = false;
  std::int64_t SlownessMs = 0;
  std::int64_t LostResponses = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Lost = 0;
};

/// A version of the VM list, which is current from a point in time on.
struct VmListAt {
  Time From;
  std::map<std::string, VmEntry> Vms;
};

/// The whole state; its mutex guards all of it.
struct State {
  std::mutex Mutex;
  testing::TableModel Table;
  std::map<std::string, std::string> Objects;
  std::deque<VmListAt> Vms{{Time::min(), {}}};
  std::vector<HttpResponder> Unanswered; // Kept open, never answered.
  std::int64_t LagMs = 0;
  std::map<std::string, Service> Services{
      {"table", {}}, {"objects", {}}, {"vms", {}}};
};

/// The response to a request, and whether the request wrote anything.
struct Response {
  int Status = 200;
  std::string Body;
  bool Wrote = false;
};

Response errorResponse(int status, std::string why) {
  return {status, json{{"error", std::move(why)}}.dump(), false};
}

Response onTable(State &st, const HttpRequest &req) {
  if (req.Method != "POST")
    return errorResponse(405, "POST a transaction");
  return handleResult(
      [&] { return decodeTransaction(req.Body); },
      [&](const TableTransaction &tx) {
        const bool wrote =
            std::any_of(tx.Ops.begin(), tx.Ops.end(),
                        [](const auto &op) { return testing::writes(op); });
        return Response{200, encodeResult(testing::apply(st.Table, tx)), wrote};
      },
      [](const Error &err) { return errorResponse(400, describe(err)); });
}

Response onObject(State &st, const HttpRequest &req) {
  const std::string name = req.Path.substr(std::string("/objects/").size());
  if (req.Method == "PUT") {
    st.Objects[name] = req.Body;
    return {200, "{}", true};
  }
  const auto it = st.Objects.find(name);
  if (it == st.Objects.end())
    return errorResponse(404, "no such object");
  return {200, it->second, false};
}

/// Adds a new version of the VM list, a copy of the latest, for changes.
std::map<std::string, VmEntry> &latestVms(State &st, Time now) {
  st.Vms.push_back({now, st.Vms.back().Vms});
  return st.Vms.back().Vms;
}

Response listVms(State &st, Time now) {
  const Time as_of = now - std::chrono::milliseconds(st.LagMs);
  while (st.Vms.size() > 1 && st.Vms[1].From <= as_of)
    st.Vms.pop_front();
  std::vector<VmEntry> vms;
  for (const auto &it : st.Vms.front().Vms)
    vms.push_back(it.second);
  return {200, encodeVms(vms), false};
}

Response onVms(State &st, const HttpRequest &req, Time now) {
  if (req.Method == "GET")
    return listVms(st, now);
  if (req.Method == "DELETE") {
    latestVms(st, now).erase(req.Path.substr(std::string("/vms/").size()));
    return {200, "{}", true};
  }
  return handleResult(
      [&] { return decodeVms("[" + req.Body + "]"); },
      [&](const std::vector<VmEntry> &vms) {
        for (const VmEntry &vm : vms)
          latestVms(st, now)[vm.Name] = vm;
        return Response{200, "{}", true};
      },
      [](const Error &err) { return errorResponse(400, describe(err)); });
}

Response setFaults(State &st, const std::string &body) {
  try {
    const json val = json::parse(body);
    const auto name = val.at("service").get<std::string>();
    const auto it = st.Services.find(name);
    if (it == st.Services.end())
      return errorResponse(400, "unknown service");
    Service &s = it->second;
    s.Outage = val.value("outage", s.Outage);
    s.Silent = val.value("silent", s.Silent);
    s.SlownessMs = val.value("slowness_ms", s.SlownessMs);
    s.LostResponses = val.value("lost_answers", s.LostResponses);
    if (name == "vms")
      st.LagMs = val.value("lag_ms", st.LagMs);
    return {200, "{}", false};
  } catch (const json::exception &ex) {
    return errorResponse(400, ex.what());
  }
}

Response counts(const State &st) {
  json out;
  for (const auto &it : st.Services)
    out[it.first] = {{"requests", it.second.Requests},
                     {"writes", it.second.Writes},
                     {"lost", it.second.Lost}};
  return {200, out.dump(), false};
}

/// The service that \p path belongs to, or empty.
std::string serviceOf(const std::string &path) {
  if (path == "/table")
    return "table";
  if (path.starts_with("/objects/"))
    return "objects";
  return path == "/vms" || path.starts_with("/vms/") ? "vms" : "";
}

Response serve(State &st, const std::string &name, const HttpRequest &req) {
  if (name == "table")
    return onTable(st, req);
  if (name == "objects")
    return onObject(st, req);
  return onVms(st, req, monotonicNow());
}

void reply(HttpResponder &to, const Response &res) {
  const HttpHeader type{"Content-Type", "application/json"};
  to.send(res.Status, {&type, 1}, res.Body);
}

/// Applies the call, and sends its response unless that is to be lost.
void finishRequest(State &st, const std::string &name, const HttpRequest &req,
                   HttpResponder &to) {
  const std::lock_guard lk(st.Mutex);
  Service &s = st.Services[name];
  const Response res =
      s.Outage ? errorResponse(503, "outage") : serve(st, name, req);
  if (res.Wrote)
    ++s.Writes;
  if (!res.Wrote || s.LostResponses == 0)
    return reply(to, res);
  --s.LostResponses;
  ++s.Lost;
  if (s.Silent)
    st.Unanswered.push_back(std::move(to));
  else
    to.abort();
}

void onRequest(State &st, TimerService &timers, HttpRequest req,
               HttpResponder to) {
  const std::string name = serviceOf(req.Path);
  std::int64_t slowness = 0;
  {
    const std::lock_guard lk(st.Mutex);
    if (req.Path == "/faults")
      return reply(to, setFaults(st, req.Body));
    if (req.Path == "/counts")
      return reply(to, counts(st));
    if (name.empty())
      return reply(to, errorResponse(404, "no such path"));
    ++st.Services[name].Requests;
    slowness = st.Services[name].SlownessMs;
  }
  if (slowness == 0)
    return finishRequest(st, name, req, to);
  // A timer's callback must be copyable, and HttpResponder is not.
  const auto shared = std::make_shared<HttpResponder>(std::move(to));
  timers.after(std::chrono::milliseconds(slowness),
               [&st, name, req = std::move(req), shared](Time) {
                 finishRequest(st, name, req, *shared);
               });
}

/// The value of --listen; empty if the command line is invalid.
std::string listenAddress(int argc, const char **argv) {
  const char *listen = nullptr;
  const poptOption options[] = {{"listen", 'l', POPT_ARG_STRING, &listen, 0,
                                 "address to serve", "IP:PORT"},
                                POPT_AUTOHELP POPT_TABLEEND};
  poptContext con = poptGetContext(nullptr, argc, argv, options, 0);
  const int rc = poptGetNextOpt(con);
  poptFreeContext(con);
  return rc == -1 && listen ? listen : "";
}

} // namespace

int main(int argc, const char **argv) {
  const IpPort at = splitAddress(listenAddress(argc, argv));
  if (at.Host.empty()) {
    std::fprintf(stderr, "usage: standin-platform --listen IP:PORT\n");
    return 2;
  }
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  State st;
  TimerService timers;
  HttpServerOptions opt;
  opt.Host = at.Host;
  opt.Port = at.Port;
  HttpHandlers handlers;
  handlers.OnRequest = [&](HttpRequest req, HttpResponder to) {
    onRequest(st, timers, std::move(req), std::move(to));
  };
  return handleResult([&] { return HttpServer::start(opt, handlers); },
                      [&](const HttpServer &server) {
                        std::printf("standin-platform serves %s:%u\n",
                                    at.Host.c_str(), unsigned{server.port()});
                        std::fflush(stdout);
                        int sig = 0;
                        sigwait(&stop, &sig);
                        return 0;
                      },
                      [](const Error &err) {
                        std::fprintf(stderr, "%s\n", describe(err).c_str());
                        return 3;
                      });
}
