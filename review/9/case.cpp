// A part of prompts crashes each engine that begins to write an answer on it, two
// events after the start of the answer. Do the fronts stop sending it?
#include "../world-2.h"

#include <set>

using namespace review;

namespace {

constexpr int Engines = 6;
constexpr int Events = 12;
constexpr int EventsBeforeCrash = 2;
constexpr milliseconds EventTime{40};
/// A crashed engine is back after so long.
constexpr milliseconds Downtime{2000};
constexpr milliseconds BadEvery{1500};
constexpr milliseconds Length{27000};
/// bounds.contact_window_ms.
constexpr milliseconds ContactWindow{3000};
constexpr int MostRequests = 3;
const std::string BadPart = "91bd3f06";

json configOf() {
  return {{"version", 3},
          {"routes", json::array({{{"name", "escena"},
                                   {"host", "scenes.example"},
                                   {"prefix", "/scene/"},
                                   {"kind", "streaming"},
                                   {"timeout_ms", 12000},
                                   {"target_latency_ms", 1000},
                                   {"target_gap_ms", 500},
                                   {"priority", 0},
                                   {"service", "traduce"},
                                   {"max_attempts", 1},
                                   {"sticky_sessions", true}}})},
          {"services",
           json::array({{{"name", "traduce"}, {"connection_limit", 360}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 10000}}},
          {"tenants", json::array({{{"name", "teatro"},
                                    {"api_keys", json::array({"key-teatro"})},
                                    {"rate_per_s", 0},
                                    {"burst", 0}}})}};
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

/// What the engines saw of the bad part.
struct Seen {
  std::mutex Mutex;
  std::vector<Clock::time_point> Crashes;
  std::vector<std::string> Arrived; // Ids, one for each arrival.
};

std::string chunk(const std::string &text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

/// An engine that the bad part crashes: it stops listening, resets its channels,
/// and is back under its id, as another lifetime, after Downtime.
class Engine {
public:
  Engine(Store &store, Seen &seen, Record &rec, std::string id, bool trouble)
      : TheStore(store), What(seen), Rec(rec), Id(std::move(id)),
        Trouble(trouble), Port(freePort()) {
    std::thread([this] { run(); }).detach();
    std::thread([this] {
      for (int seq = 1;; ++seq) {
        if (!Down)
          TheStore.put("servers", Id,
                       {{"service", "traduce"},
                        {"address", addressOf(Port)},
                        {"zone", "zone-a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"sequence", seq},
                        {"born", 1700000000000 + Lives.load()}});
        std::this_thread::sleep_for(milliseconds(1200));
      }
    }).detach();
  }

private:
  /// One lifetime after the other.
  void run() {
    for (;;) {
      const int listening = listenAt(Port);
      if (listening < 0) {
        std::this_thread::sleep_for(milliseconds(20));
        continue;
      }
      ++Lives;
      Down = false;
      const int life = Lives;
      while (!Down) {
        pollfd pfd{listening, POLLIN, 0};
        if (::poll(&pfd, 1, 5) <= 0)
          continue;
        const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd, life] { serve(fd, life); }).detach();
      }
      ::close(listening); // Before its channels are reset.
      {
        const std::lock_guard lk(Mutex);
        for (const int fd : Channels) {
          const linger opt{1, 0};
          ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &opt, sizeof opt);
          ::shutdown(fd, SHUT_RD); // Its thread closes it.
        }
      }
      std::this_thread::sleep_for(Downtime);
    }
  }
  [[nodiscard]] bool isOver(int life) const { return Down || Lives != life; }
  /// Waits; false if the channel is closed or the engine crashes meanwhile.
  static bool waitOpen(int fd, milliseconds time) {
    pollfd pfd{fd, POLLIN, 0};
    char c = 0;
    return ::poll(&pfd, 1, static_cast<int>(time.count())) == 0 ||
           ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  void serve(int fd, int life) {
    {
      const std::lock_guard lk(Mutex);
      Channels.insert(fd);
    }
    std::string rest;
    Message msg;
    bool ok = true;
    while (ok && readMessage(fd, msg, rest, far()) == ReadEnd::Whole) {
      const std::string id = msg.field("zinniagauge-attempt-id");
      const bool bad = msg.field("zinniagauge-prompt-prefix").find(BadPart) !=
                       std::string::npos;
      if (bad) {
        const std::lock_guard lk(What.Mutex);
        What.Arrived.push_back(id);
      }
      Rec.line("engine " + Id + " runs " + id);
      ok = sendAll(fd, "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " + id +
                           "\r\nZinniagauge-Response-Seal: " + Id + "." + id +
                           "\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
      for (int n = 1; n <= Events && ok; ++n) {
        ok = waitOpen(fd, EventTime) && !isOver(life);
        if (ok && bad && Trouble && n > EventsBeforeCrash) {
          Rec.line("engine " + Id + " crashes on " + id);
          const std::lock_guard lk(What.Mutex);
          What.Crashes.push_back(Clock::now());
          Down = true;
          ok = false;
          break;
        }
        ok = ok && sendAll(fd, chunk("id: " + std::to_string(n) +
                                     "\ndata: piece\n\n"));
      }
      ok = ok && sendAll(fd, "0\r\n\r\n");
    }
    while (Down && !isReset(fd))
      std::this_thread::sleep_for(milliseconds(2));
    const std::lock_guard lk(Mutex);
    Channels.erase(fd);
    ::close(fd);
  }
  /// Whether run() has prepared the channel for its reset.
  static bool isReset(int fd) {
    linger opt{};
    socklen_t len = sizeof opt;
    return ::getsockopt(fd, SOL_SOCKET, SO_LINGER, &opt, &len) == 0 &&
           opt.l_onoff != 0;
  }

  Store &TheStore;
  Seen &What;
  Record &Rec;
  const std::string Id;
  const bool Trouble;
  const std::uint16_t Port;
  std::atomic<bool> Down{true};
  std::atomic<int> Lives{0};
  std::mutex Mutex;
  std::set<int> Channels;
};

/// Sends one request over a new channel. Returns the status; negative if its
/// stream was cut.
int ask(const Front &to, const std::string &id, const std::string &parts) {
  const int fd = connectTo(to.Callers);
  if (fd < 0)
    return 0;
  const auto until = Clock::now() + std::chrono::seconds(12);
  bool ok = sendAll(fd, "POST /scene/1 HTTP/1.1\r\nHost: scenes.example\r\n"
                        "Zinniagauge-Attempt-Id: " +
                            id +
                            "\r\nZinniagauge-Model-Name: m\r\n"
                            "Zinniagauge-Token-Counts: 688,28\r\n"
                            "Zinniagauge-Prompt-Prefix: " +
                            parts +
                            "\r\nZinniagauge-Deadline-Ms: 12000\r\n"
                            "Zinniagauge-Credential: key-teatro\r\n"
                            "Content-Length: 2\r\n\r\nhi");
  std::string text;
  int status = 0;
  while (ok && Clock::now() < until) {
    pollfd pfd{fd, POLLIN, 0};
    if (::poll(&pfd, 1, 200) == 0)
      continue;
    char buf[4096];
    const ssize_t n = ::recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      status = -std::max(status, 1);
      break;
    }
    text.append(buf, static_cast<std::size_t>(n));
    if (status == 0 && text.find("\r\n\r\n") != std::string::npos)
      status = std::atoi(text.substr(9, 3).c_str());
    if (status != 0 && (status != 200 || text.ends_with("\r\n0\r\n\r\n")))
      break;
  }
  ::close(fd);
  return status;
}

int play(const std::string &root, bool trouble, Record &rec) {
  const Folder folder;
  // The stand-ins' threads run until the process ends, so these stay.
  Store &store = *new Store(freePort());
  Seen &seen = *new Seen;
  store.put("op", "config", configOf());
  for (int n = 0; n < Engines; ++n)
    new Engine(store, seen, rec, "i-model-" + std::to_string(n), trouble);
  std::vector<std::unique_ptr<Front>> fronts;
  for (int n = 1; n <= 2; ++n)
    fronts.push_back(std::make_unique<Front>(root, folder.Path,
                                             "front-" + std::to_string(n),
                                             "zone-a", store.address(), Bounds));
  for (const auto &f : fronts)
    if (!f->waitUntilReady())
      return 2;
  std::this_thread::sleep_for(std::chrono::seconds(2));

  std::atomic<bool> done{false};
  std::atomic<int> served{0};
  std::atomic<int> cut{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> clients;
  // Sound requests share the caller and the other parts.
  for (int k = 0; k < 20; ++k)
    clients.emplace_back([&, k] {
      for (int n = 0; !done; ++n) {
        const std::string id =
            "sound-" + std::to_string(k) + "-" + std::to_string(n);
        const int status =
            ask(*fronts[static_cast<std::size_t>(k) % 2], id,
                "5c1e07a2:60,a7" + std::to_string(n % 9) + ":400,e" +
                    std::to_string(k) + std::to_string(n) + ":168");
        ++(status == 200 ? served : status < 0 ? cut : refused);
        if (status < 0)
          rec.line("the stream of " + id + ", a sound request, is cut");
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto begun = Clock::now();
  std::map<std::string, Clock::time_point> sent;
  std::vector<std::thread> bad;
  for (int n = 0; Clock::now() - begun < Length; ++n) {
    const std::string id = "bad-" + std::to_string(n);
    sent[id] = Clock::now();
    bad.emplace_back([&, id, n] {
      const int status = ask(*fronts[static_cast<std::size_t>(n) % 2], id,
                             "5c1e07a2:60," + BadPart + ":400,f" +
                                 std::to_string(n) + ":168");
      rec.line("client of " + id + ": " + std::to_string(status));
    });
    std::this_thread::sleep_until(begun + BadEvery * (n + 1));
  }
  for (std::thread &t : bad)
    t.join();
  done = true;
  for (std::thread &t : clients)
    t.join();

  const std::lock_guard lk(seen.Mutex);
  int late = 0;
  if (seen.Crashes.size() >= 5)
    for (const std::string &id : seen.Arrived)
      if (sent[id] > seen.Crashes[4] + ContactWindow) {
        ++late;
        rec.line("BUDGET: " + id + " reaches an engine, sent over 3 s after the "
                                   "fifth crash");
      }
  rec.line("requests with the bad part that reached engines " +
           std::to_string(seen.Arrived.size()) + ", crashes " +
           std::to_string(seen.Crashes.size()) + ", sent too late " +
           std::to_string(late) + "; sound requests: served " +
           std::to_string(served) + ", cut " + std::to_string(cut) +
           ", refused " + std::to_string(refused));
  if (served == 0 || seen.Arrived.empty())
    return 2;
  return late > MostRequests ? 1 : 0;
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
