// A service whose traffic is moved to a new version: engines of several
// versions, the operator, clients and two fronts.
#pragma once

#include "world.h"

namespace review {

// The site's bounds.
constexpr double ExposureShare = 0.1;
constexpr int ExposureSlack = 50;
constexpr int RollbackMs = 5000;

struct EngineRun {
  Clock::time_point At;
  Clock::time_point ClientSentAt;
  std::string Version;
  bool Bad = false;
};

struct RolloutWorld {
  explicit RolloutWorld(const std::string &record) : Log(record) {}

  // Returns the status, given the number of the request and how many the
  // engine runs.
  using Behaviour = std::function<int(int request, int running)>;

  Record Log;
  Folder Files;
  Store Table;
  std::mutex Mutex;
  std::vector<EngineRun> Runs;
  std::map<std::string, Clock::time_point> SentAt; // By attempt id.
  std::map<std::string, std::vector<std::unique_ptr<Server>>> Engines;
  std::vector<std::unique_ptr<Front>> Fronts;
  std::vector<std::thread> Clients;
  std::atomic<bool> Ended{false};
  std::atomic<int> Served{0};
  std::atomic<int> NotServed{0};

  static constexpr int EnginesPerVersion = 2;
  static constexpr int Slots = 6;

  void startEngines(const std::string &version, Behaviour behaviour) {
    auto count = std::make_shared<std::atomic<int>>(0);
    for (int n = 0; n < EnginesPerVersion; ++n) {
      auto running = std::make_shared<std::atomic<int>>(0);
      Engines[version].push_back(std::make_unique<Server>(
          [this, version, behaviour, count, running](int fd) {
            Reader in(fd);
            while (const auto msg = in.read(false, 60000)) {
              if (!msg->Whole)
                return;
              const int busy = ++*running;
              sleepMs(30);
              const int status = behaviour((*count)++, busy);
              --*running;
              const std::string id = msg->field("Zinniagauge-Attempt-Id");
              {
                const std::lock_guard<std::mutex> lock(Mutex);
                Runs.push_back({Clock::now(), SentAt[id], version,
                                status / 100 != 2});
              }
              Log.line("engine of %s ran %s: %d", version.c_str(), id.c_str(),
                       status);
              const std::string body = "ran " + id;
              if (!sendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                                   " X\r\nZinniagauge-Attempt-Id: " + id +
                                   "\r\nZinniagauge-Response-Seal: s-" + id +
                                   "\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body))
                return;
            }
          }));
    }
    list(version, "ready");
  }

  // Writes the entries of a version's engines.
  void list(const std::string &version, const std::string &state) {
    static int sequence = 0;
    ++sequence;
    for (int n = 0; n < EnginesPerVersion; ++n) {
      const std::string id = "i-" + version + "-" + std::to_string(n);
      if (state == "gone")
        Table.remove("servers", id);
      else
        Table.put("servers", id,
                  engineEntry(Engines[version][n]->Port, "mesa", Slots,
                              1000 + n, sequence, state, version));
    }
    Log.line("engines of %s: %s", version.c_str(), state.c_str());
  }

  bool start(int fronts) {
    Table.put("op", "config",
              config(7,
                     Json::array({route("r-disparo", "/disparo/", "unsafe",
                                        "mesa", 800, 100, 1, false)}),
                     Json::array({service("mesa")}),
                     Json::array({tenant("teatro", "k1")})));
    for (int n = 0; n < fronts; ++n) {
      Fronts.push_back(std::make_unique<Front>(
          "front-" + std::to_string(n + 1), Table.port(), Files.Path));
      if (!Fronts.back()->start() || !Fronts.back()->waitReady(15000))
        return false;
    }
    return true;
  }

  void startClients(int perfront, int pausems) {
    for (std::size_t n = 0; n < Fronts.size(); ++n)
      for (int k = 0; k < perfront; ++k)
        Clients.emplace_back([this, n, k, pausems] {
          runClient("c" + std::to_string(n) + std::to_string(k),
                    Fronts[n]->Callers, pausems);
        });
  }

  void runClient(const std::string &client, int port, int pausems) {
    int fd = -1;
    std::unique_ptr<Reader> in;
    for (int n = 0; !Ended; ++n) {
      if (fd < 0) {
        fd = connectTo(port);
        in = std::make_unique<Reader>(fd);
      }
      const std::string id = client + "-" + std::to_string(n);
      {
        const std::lock_guard<std::mutex> lock(Mutex);
        SentAt[id] = Clock::now();
      }
      sendAll(fd, "POST /disparo/" + id +
                      " HTTP/1.1\r\nHost: review.example\r\n"
                      "Zinniagauge-Attempt-Id: " +
                      id +
                      "\r\nZinniagauge-Deadline-Ms: 1500\r\n"
                      "Zinniagauge-Credential: k1\r\n"
                      "Content-Length: 2\r\n\r\nhi");
      const auto msg = in->read(true, 3000);
      const bool served = msg && msg->Whole && msg->status() == 200;
      ++(served ? Served : NotServed);
      if (!msg || !msg->Whole || lower(msg->field("Connection")) == "close") {
        ::close(fd);
        fd = -1;
      }
      sleepMs(pausems);
    }
    if (fd >= 0)
      ::close(fd);
  }

  Clock::time_point order(const std::string &target, int seconds) {
    Json doc = Json::object();
    doc["service"] = "mesa";
    doc["target"] = target;
    doc["duration_s"] = seconds;
    Table.put("op", "rollout/mesa", doc);
    Log.line("operator orders %s within %d s", target.c_str(), seconds);
    return Clock::now();
  }

  // The state that the system reports of the move to target; empty if none.
  std::string state(const std::string &target) {
    const auto doc = Table.get("status", "rollout/mesa");
    if (!doc || !doc->is_object() || doc->value("target", "") != target)
      return {};
    return doc->value("state", "");
  }

  bool waitForState(const std::string &target, const std::string &wanted,
                    int ms) {
    for (const auto end = Clock::now() + Ms(ms); Clock::now() < end;
         sleepMs(20))
      if (state(target) == wanted) {
        Log.line("status of %s: %s", target.c_str(), wanted.c_str());
        return true;
      }
    Log.line("status of %s isn't %s but \"%s\"", target.c_str(),
             wanted.c_str(), state(target).c_str());
    return false;
  }

  void stop() {
    Ended = true;
    for (std::thread &t : Clients)
      t.join();
    for (const auto &front : Fronts)
      front->kill(SIGKILL);
    for (auto &[version, list] : Engines)
      for (const auto &engine : list)
        engine->stop();
    Table.stop();
  }

  // Whether EXPOSURE was broken by the bad version, whose order was written at
  // ordered. Logs the figures.
  bool exposureBroken(const std::string &version, Clock::time_point ordered,
                      int seconds) {
    const std::lock_guard<std::mutex> lock(Mutex);
    int all = 0;
    int atbad = 0;
    int bad = 0;
    std::optional<Clock::time_point> fiftieth;
    for (const EngineRun &run : Runs) {
      const bool within =
          run.At >= ordered && run.At <= ordered + std::chrono::seconds(seconds);
      all += within ? 1 : 0;
      if (run.Version != version)
        continue;
      atbad += within ? 1 : 0;
      if (run.Bad && ++bad == 50)
        fiftieth = run.At;
    }
    int late = 0;
    for (const EngineRun &run : Runs)
      if (run.Version == version && fiftieth &&
          run.ClientSentAt > *fiftieth + Ms(RollbackMs))
        ++late;
    const double most = ExposureShare * all + ExposureSlack;
    Log.line("of %d requests within the time limit %s got %d, allowed %.0f",
             all, version.c_str(), atbad, most);
    Log.line("bad answers of %s: %d; requests sent later than %d ms after the "
             "50th that it got: %d",
             version.c_str(), bad, RollbackMs, late);
    Log.line("served %d, not served %d", Served.load(), NotServed.load());
    return bad >= 1 && (atbad > most || late > 0);
  }
};

} // namespace review
