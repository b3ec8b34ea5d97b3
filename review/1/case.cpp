// Kept channels over a link that loses packets: does each request get its own
// answer?
#include "../world.h"

using namespace review;

namespace {

constexpr int Clients = 4;
constexpr int RequestsPerClient = 250;
constexpr double LostShare = 0.025;

// A query that makes the request line longer than a packet.
std::string longQuery(int request) {
  std::string out = "?r=" + std::to_string(request) + "&cues=";
  for (int n = 0; n < 240; ++n)
    out += std::to_string(1000000 + n) + ",";
  return out + "1";
}

struct Counts {
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  std::atomic<int> NotFound{0};
  std::atomic<int> Other{0};
  std::atomic<int> Foreign{0};
};

// Sends requests over one channel after the other. Each fourth is for a path
// that no route has.
void runClient(int client, int port, Record &record, Counts &counts) {
  int fd = -1;
  std::unique_ptr<Reader> in;
  for (int n = 0; n < RequestsPerClient; ++n) {
    if (fd < 0) {
      fd = connectTo(port);
      in = std::make_unique<Reader>(fd);
    }
    const std::string id =
        "c" + std::to_string(client) + "-" + std::to_string(n);
    const bool known = n % 4 != 1;
    const std::string body = known ? "cue " + id : "";
    const std::string request =
        (known ? "POST /disparo/" : "GET /never/") + id +
        longQuery(client * 1000 + n) +
        " HTTP/1.1\r\nHost: review.example\r\nZinniagauge-Attempt-Id: " + id +
        "\r\nZinniagauge-Deadline-Ms: 1500\r\nZinniagauge-Credential: k1\r\n" +
        (known ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
               : "") +
        "\r\n" + body;
    ++counts.Sent;
    sendAll(fd, request);
    const auto msg = in->read(true, 3000);
    const int status = msg ? msg->status() : 0;
    const std::string of = msg ? msg->field("Zinniagauge-Attempt-Id") : "";
    bool foreign = false;
    if (status / 100 == 2) {
      foreign = of != id || msg->Body != "ran " + id;
      ++counts.Served;
    } else if (status / 100 == 4) {
      foreign = known; // Its route and key are in each config.
      ++counts.NotFound;
    } else {
      ++counts.Other;
    }
    record.line("%s sent for %s: answer %d, names %s%s", id.c_str(),
                known ? "/disparo/" : "/never/", status,
                of.empty() ? "no request" : of.c_str(),
                foreign ? " - ANOTHER REQUEST'S ANSWER" : "");
    if (foreign)
      ++counts.Foreign;
    // A client can't know that a failure isn't its own; it gives the channel
    // up once an answer names another request.
    if ((foreign && status / 100 == 2) || !msg || !msg->Whole ||
        lower(msg->field("Connection")) == "close") {
      ::close(fd);
      fd = -1;
    }
    sleepMs(2);
  }
  if (fd >= 0)
    ::close(fd);
}

} // namespace

int main(int, char **argv) {
  const bool trouble = hasTrouble();
  Record record(argv[1]);
  Folder folder;
  Store store;
  Server engine([&](int fd) {
    Reader in(fd);
    while (const auto msg = in.read(false, 60000)) {
      if (!msg->Whole)
        return;
      const std::string id = msg->field("Zinniagauge-Attempt-Id");
      record.line("engine ran %s", id.c_str());
      const std::string body = "ran " + id;
      if (!sendAll(fd, sealedHead(*msg, "Content-Length: " +
                                            std::to_string(body.size()) +
                                            "\r\n") +
                           body))
        return;
    }
  });
  store.put("op", "config",
            config(7,
                   Json::array({route("r-disparo", "/disparo/", "unsafe",
                                      "mesa", 800, 100, 1, false)}),
                   Json::array({service("mesa")}),
                   Json::array({tenant("teatro", "k1")})));
  store.put("servers", "i-1", engineEntry(engine.Port, "mesa", 6, 1000, 1));
  Front front("front-1", store.port(), folder.Path);
  if (!front.start() || !front.waitReady(15000)) {
    record.line("the front didn't start");
    return CantRun;
  }
  LossyLink link(front.Callers, trouble ? LostShare : 0, 7);
  Counts counts;
  std::vector<std::thread> clients;
  for (int n = 0; n < Clients; ++n)
    clients.emplace_back(
        [&, n] { runClient(n, link.port(), record, counts); });
  for (std::thread &t : clients)
    t.join();
  const bool lived = !front.ended();
  front.kill(SIGKILL);
  link.stop();
  record.line("packets lost %d; sent %d, served %d, 4xx %d, other %d; another "
              "request's answer %d; front lived: %d",
              link.lost(), counts.Sent.load(), counts.Served.load(),
              counts.NotFound.load(), counts.Other.load(),
              counts.Foreign.load(), lived ? 1 : 0);
  store.stop();
  engine.stop();
  if (counts.Served == 0)
    return CantRun;
  return counts.Foreign > 0 ? Broken : Held;
}
