// A drill of the store beside a machine that is added: a key that the operator
// has taken away is in use again.
#include "../world-2.h"

using namespace review;

namespace {

constexpr milliseconds Work{15};
/// The store is away for so long, and comes back from a copy so old.
constexpr milliseconds AwayTime{1000};
constexpr milliseconds CopyAge{8000};
/// The operator writes again what the copy lacks so long after the return.
constexpr milliseconds RewriteDelay{1800};
/// bounds.revocation_ms.
constexpr milliseconds RevocationTime{5000};

json configOf(int version, const json &keys) {
  return {{"version", version},
          {"routes",
           {{{"name", "disparo"},
             {"host", "cues.example"},
             {"prefix", "/fire/"},
             {"kind", "unsafe"},
             {"timeout_ms", 1500},
             {"target_latency_ms", 100},
             {"priority", 0},
             {"service", "mesa"},
             {"max_attempts", 1}}}},
          {"services", {{{"name", "mesa"}, {"connection_limit", 96}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 10000}}},
          {"tenants",
           {{{"name", "stage"},
             {"api_keys", keys},
             {"rate_per_s", 0},
             {"burst", 0}}}}};
}

const json Bounds = {{"config_apply_ms", 2000},
                     {"revocation_ms", 5000},
                     {"fail_closed", true},
                     {"retry_budget_ratio", 0.2},
                     {"retry_budget_slack", 52},
                     {"budget_window_s", 10},
                     {"quota_window_s", 8},
                     {"quota_overage", 0.1},
                     {"quota_slack", 140000},
                     {"exposure_share", 0.1},
                     {"exposure_slack", 50},
                     {"grace_period_s", 8}};

/// Sends one request with \p key to \p to. Returns the status; 0 if none.
int request(const Front &to, const std::string &id, const std::string &key) {
  const int fd = connectTo(to.Callers);
  if (fd < 0)
    return 0;
  std::string rest;
  Message msg;
  const bool sent = sendAll(fd, "POST /fire/1 HTTP/1.1\r\nHost: cues.example\r\n"
                                "Zinniagauge-Attempt-Id: " +
                                    id +
                                    "\r\nZinniagauge-Deadline-Ms: 1500\r\n"
                                    "Zinniagauge-Credential: " +
                                    key + "\r\nContent-Length: 3\r\n\r\ncue");
  const bool whole =
      sent && readMessage(fd, msg, rest, Clock::now() + milliseconds(1500)) ==
                  ReadEnd::Whole;
  ::close(fd);
  return whole ? msg.status() : 0;
}

int play(const std::string &root, bool trouble, Record &rec) {
  const Folder folder;
  // The stand-ins' threads run until the process ends, so these stay.
  Store &store = *new Store(freePort());
  RunLog &runs = *new RunLog;
  store.put("op", "config", configOf(3, {"key-kept", "key-withdrawn"}));
  for (int n = 0; n < 4; ++n)
    new Engine(store, runs, rec, "i-mesa-" + std::to_string(n), "mesa", "zone-a",
               Work);
  const auto start = [&](int n) {
    return std::make_unique<Front>(root, folder.Path,
                                   "front-" + std::to_string(n), "zone-a",
                                   store.address(), Bounds);
  };
  std::vector<std::unique_ptr<Front>> fronts;
  fronts.push_back(start(1));
  fronts.push_back(start(2));
  for (const auto &f : fronts)
    if (!f->waitUntilReady())
      return 2;
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (const auto &f : fronts)
    if (request(*f, "before-" + f->Node, "key-withdrawn") != 200)
      return 2;

  store.copy();
  const auto copied = Clock::now();
  std::this_thread::sleep_for(milliseconds(500));
  const json newest = configOf(7, {"key-kept"});
  store.put("op", "config", newest);
  const auto acked = Clock::now();
  rec.line("the store acknowledges config 7, which takes key-withdrawn away");
  std::this_thread::sleep_until(copied + CopyAge - AwayTime);
  if (trouble) {
    rec.line("the store is away");
    store.leave();
  }
  rec.line("machine front-3 is added");
  fronts.push_back(start(3));
  std::this_thread::sleep_until(copied + CopyAge);
  if (trouble) {
    store.restore();
    rec.line("the store is back from a copy");
  }
  const auto back = Clock::now();
  bool rewritten = !trouble;
  int broken = 0;
  int servedbyadded = 0;
  for (int n = 0; Clock::now() < back + std::chrono::seconds(5); ++n) {
    if (!rewritten && Clock::now() >= back + RewriteDelay) {
      store.put("op", "config", newest);
      rec.line("the operator has written config 7 again");
      rewritten = true;
    }
    for (const auto &f : fronts)
      for (const std::string key : {"key-withdrawn", "key-kept"}) {
        const std::string id =
            key + "-" + f->Node + "-" + std::to_string(n);
        const bool late = Clock::now() > acked + RevocationTime;
        const int status = request(*f, id, key);
        if (status == 200 && key == "key-kept" && f->Node == "front-3")
          ++servedbyadded;
        if (runs.of(id).Runs == 0 || key != "key-withdrawn" || !late)
          continue;
        ++broken;
        rec.line("CONFIG: " + id + " was sent over 5 s after its key was taken "
                                   "away, and an engine ran it; status " +
                 std::to_string(status));
      }
    std::this_thread::sleep_for(milliseconds(50));
  }
  rec.line("requests with the withdrawn key that ran: " +
           std::to_string(broken) + "; served by the added machine with the "
                                    "other key: " +
           std::to_string(servedbyadded));
  if (servedbyadded == 0)
    return 2;
  return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  const char *trouble = std::getenv("TROUBLE");
  try {
    Record &rec = *new Record(argv[2]);
    ::_exit(play(argv[1], !trouble || std::string(trouble) != "0", rec));
  } catch (const std::exception &ex) {
    std::fprintf(stderr, "%s\n", ex.what());
    return 2;
  }
}
