// An engine in trouble sends bytes without end in place of an event. Does the
// front keep to its memory, and does it go on serving others?
#include "../world.h"

using namespace review;

namespace {

// The site's figures: memory of a machine, and the largest dose of engines that
// hand out wrong bytes.
constexpr double MemoryMb = 110;
constexpr int Engines = 6;
constexpr int EnginesInTrouble = 2; // 0.35 of them, rounded down.
constexpr int AnswersPerBadOne = 50; // 0.02 of their answers.
constexpr int TroubleMs = 5500;
constexpr int PauseMs = 4500;

// Bytes that an engine in trouble sends in a second, a third of a machine's
// link of 1,000 Mbit/s.
constexpr int BadBytesPerMs = 40'000;

constexpr int Fronts = 2;
constexpr int EndsPerFront = 3;
constexpr int ClientsPerFront = 6;
constexpr int LongestMs = 85'000;

struct World {
  explicit World(const std::string &path) : Log(path) {}
  Record Log;
  std::atomic<bool> Ended{false};
  std::atomic<bool> Troubled{false};
  std::atomic<int> BadAnswers{0};
  std::atomic<int> Served{0};
  std::atomic<int> Failed{0};
};

void sendWithoutEnd(World &w, int fd, const Message &msg) {
  ++w.BadAnswers;
  w.Log.line("engine answers %s with bytes without end",
             msg.field("Zinniagauge-Attempt-Id").c_str());
  if (!sendAll(fd, sealedHead(msg, "Content-Type: text/event-stream\r\n") +
                       "id: 1\ndata: "))
    return;
  const std::string part(BadBytesPerMs * 5, '\x7e');
  const auto start = Clock::now();
  for (int n = 1; !w.Ended && sendAll(fd, part); ++n)
    std::this_thread::sleep_until(start + Ms(5) * n);
}

void serveEngine(World &w, int fd, bool introuble) {
  static std::atomic<int> answers{0};
  Reader in(fd);
  while (const auto msg = in.read(false, 60000)) {
    if (!msg->Whole)
      return;
    if (introuble && w.Troubled && ++answers % AnswersPerBadOne == 0) {
      sendWithoutEnd(w, fd, *msg);
      return;
    }
    sleepMs(20);
    std::string body;
    for (int n = 1; n <= 3; ++n) {
      const std::string event =
          "id: " + std::to_string(n) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      body += size + event + "\r\n";
    }
    if (!sendAll(fd, sealedHead(*msg, "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n") +
                         body + "0\r\n\r\n"))
      return;
  }
}

// Sends one stream after the other, each over a channel of its own.
void runClient(World &w, int client, int port) {
  for (int n = 0; !w.Ended; ++n) {
    const std::string id =
        "c" + std::to_string(client) + "-" + std::to_string(n);
    const int fd = connectTo(port);
    if (fd < 0) {
      sleepMs(100);
      continue;
    }
    sendAll(fd, "POST /etiqueta/" + id +
                    " HTTP/1.1\r\nHost: review.example\r\n"
                    "Zinniagauge-Attempt-Id: " +
                    id +
                    "\r\nZinniagauge-Model-Name: m\r\n"
                    "Zinniagauge-Token-Counts: 1800,21\r\n"
                    "Zinniagauge-Prompt-Prefix: 5c1e07a2:60,91bd3f06:1740\r\n"
                    "Zinniagauge-Deadline-Ms: 12000\r\n"
                    "Zinniagauge-Credential: k1\r\n"
                    "Content-Length: 2\r\n\r\nhi");
    Reader in(fd);
    const auto msg = in.read(true, 13000);
    if (msg && msg->status() == 200 && msg->Whole)
      ++w.Served;
    else {
      ++w.Failed;
      w.Log.line("%s: answer %d, whole: %d", id.c_str(),
                 msg ? msg->status() : 0, msg && msg->Whole ? 1 : 0);
    }
    ::close(fd);
    sleepMs(20);
  }
}

// A machine: ends its front when it exceeds the machine's memory, and starts it
// again, as the platform does.
void runMachine(World &w, Front &front, int &ends, double &most) {
  while (!w.Ended && ends < EndsPerFront) {
    if (front.ended()) {
      ++ends;
      w.Log.line("%s ended by itself, status %d", front.Name.c_str(),
                 front.Ended);
    } else if (const double mb = front.residentMb(); mb > MemoryMb) {
      most = std::max(most, mb);
      ++ends;
      w.Log.line("%s has %.0f MB of memory, more than %.0f: killed",
                 front.Name.c_str(), mb, MemoryMb);
      front.kill(SIGKILL);
    } else {
      most = std::max(most, mb);
      sleepMs(10);
      continue;
    }
    sleepMs(500);
    if (!front.start())
      return;
  }
}

} // namespace

int main(int, char **argv) {
  const bool trouble = hasTrouble();
  World w(argv[1]);
  Folder folder;
  Store store;
  std::vector<std::unique_ptr<Server>> engines;
  for (int n = 0; n < Engines; ++n) {
    engines.push_back(std::make_unique<Server>(
        [&w, n](int fd) { serveEngine(w, fd, n < EnginesInTrouble); }));
    store.put("servers", "i-" + std::to_string(n),
              engineEntry(engines.back()->Port, "traduce", 8, 1000 + n, 1));
  }
  store.put("op", "config",
            config(7,
                   Json::array({route("r-etiqueta", "/etiqueta/", "streaming",
                                      "traduce", 12000, 1000, 2, true)}),
                   Json::array({service("traduce")}),
                   Json::array({tenant("teatro", "k1")})));
  std::vector<std::unique_ptr<Front>> fronts;
  for (int n = 0; n < Fronts; ++n) {
    fronts.push_back(std::make_unique<Front>("front-" + std::to_string(n + 1),
                                             store.port(), folder.Path));
    if (!fronts.back()->start() || !fronts.back()->waitReady(15000)) {
      w.Log.line("a front didn't start");
      return CantRun;
    }
  }
  int ends[Fronts] = {};
  double most[Fronts] = {};
  std::vector<std::thread> threads;
  for (int n = 0; n < Fronts; ++n) {
    threads.emplace_back(
        [&, n] { runMachine(w, *fronts[n], ends[n], most[n]); });
    for (int k = 0; k < ClientsPerFront; ++k)
      threads.emplace_back(
          [&, n, k] { runClient(w, n * 10 + k, fronts[n]->Callers); });
  }
  const auto start = Clock::now();
  const auto enough = [&] {
    return std::all_of(ends, ends + Fronts,
                       [](int n) { return n >= EndsPerFront; });
  };
  while (!enough() && Clock::now() - start < Ms(LongestMs)) {
    const auto ms =
        std::chrono::duration_cast<Ms>(Clock::now() - start).count();
    w.Troubled = trouble && ms % (TroubleMs + PauseMs) >= PauseMs;
    sleepMs(20);
  }
  w.Ended = true;
  for (std::thread &t : threads)
    t.join();
  for (const auto &front : fronts)
    front->kill(SIGKILL);
  for (const auto &engine : engines)
    engine->stop();
  store.stop();
  for (int n = 0; n < Fronts; ++n)
    w.Log.line("front-%d: ended %d times, most memory %.0f MB", n + 1, ends[n],
               most[n]);
  w.Log.line("served %d, failed %d, answers without end %d", w.Served.load(),
             w.Failed.load(), w.BadAnswers.load());
  if (w.Served == 0)
    return CantRun;
  return enough() ? Broken : Held;
}
