// Stand-ins of the cases of the second review: the users' store, engines and
// clients, and the start of fronts by the deploy file. They follow the users'
// pages (SYSTEM, PROTOCOL, DEPLOY) and use loopback addresses only.
#ifndef REVIEW_WORLD_2_H
#define REVIEW_WORLD_2_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point Start = Clock::now();

inline double secondsSinceStart() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

/// The file record.txt: one line for each event.
class Record {
public:
  explicit Record(const std::string &path) : Out(std::fopen(path.c_str(), "w")) {
    if (!Out)
      throw std::runtime_error("can't write " + path);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  ~Record() { std::fclose(Out); }
  void line(const std::string &text) {
    const std::lock_guard lk(Mutex);
    std::fprintf(Out, "%8.3f s  %s\n", secondsSinceStart(), text.c_str());
    std::fflush(Out);
  }

private:
  std::FILE *Out;
  std::mutex Mutex;
};

// Sockets ---------------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(port);
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return sa;
}

inline std::string addressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Listens at \p port of 127.0.0.1; -1 if that port is taken.
inline int listenAt(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in sa = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) == 0 &&
      ::listen(fd, 256) == 0)
    return fd;
  ::close(fd);
  return -1;
}

/// A port below the ephemeral range on which nothing listens.
inline std::uint16_t freePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::map<std::uint16_t, bool> used;
  for (int n = 0; n < 1000; ++n) {
    const auto port = static_cast<std::uint16_t>(20000 + random() % 12000);
    if (used[port])
      continue;
    const int fd = listenAt(port);
    if (fd < 0)
      continue;
    ::close(fd);
    used[port] = true;
    return port;
  }
  throw std::runtime_error("no free port");
}

/// Connects to \p port within a second, as clients do; -1 on failure.
inline int connectTo(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in sa = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool sendAll(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// HTTP ------------------------------------------------------------------------

/// One message. The names of its fields are in lower case.
struct Message {
  std::string First; // The request line or the status line.
  std::map<std::string, std::string> Fields;
  std::string Body;
  [[nodiscard]] std::string field(const std::string &name) const {
    const auto it = Fields.find(name);
    return it == Fields.end() ? std::string() : it->second;
  }
  /// The n-th word of the first line, from zero.
  [[nodiscard]] std::string word(int n) const {
    std::size_t at = 0;
    for (; n > 0 && at != std::string::npos; --n)
      at = First.find(' ', at) == std::string::npos ? std::string::npos
                                                    : First.find(' ', at) + 1;
    return at == std::string::npos
               ? std::string()
               : First.substr(at, First.find(' ', at) - at);
  }
  [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

enum class ReadEnd { Whole, Closed, Reset, TimedOut };

/// Reads one message with a Content-Length or none into \p out. Bytes after it
/// stay in \p rest. Ends at \p until. The answer to a HEAD request has no body,
/// whatever its Content-Length says.
inline ReadEnd readMessage(int fd, Message &out, std::string &rest,
                           Clock::time_point until, bool tohead = false) {
  out = {};
  std::size_t need = std::string::npos;
  for (;;) {
    const std::size_t end = rest.find("\r\n\r\n");
    if (end != std::string::npos && need == std::string::npos) {
      std::size_t at = rest.find("\r\n");
      out.First = rest.substr(0, at);
      while (at < end) {
        const std::size_t next = rest.find("\r\n", at + 2);
        const std::string line = rest.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char &c : name)
          c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const std::size_t val = line.find_first_not_of(' ', colon + 1);
        out.Fields[name] = val == std::string::npos ? "" : line.substr(val);
        at = next;
      }
      const std::string len = out.field("content-length");
      need = end + 4 + (len.empty() || tohead ? 0 : std::stoul(len));
    }
    if (need != std::string::npos && rest.size() >= need) {
      out.Body = rest.substr(end + 4, need - end - 4);
      rest.erase(0, need);
      return ReadEnd::Whole;
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd pfd{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&pfd, 1, static_cast<int>(left)) == 0)
      return ReadEnd::TimedOut;
    char buf[16384];
    const ssize_t n = ::recv(fd, buf, sizeof buf, 0);
    if (n == 0)
      return ReadEnd::Closed;
    if (n < 0)
      return ReadEnd::Reset;
    rest.append(buf, static_cast<std::size_t>(n));
  }
}

inline Clock::time_point far() { return Clock::now() + std::chrono::hours(1); }

inline std::string responseText(int status, const std::string &fields,
                                const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server with one thread for each connection. Serve handles one request and
/// returns false if the connection is to be closed.
class Server {
public:
  using Handler = std::function<bool(int fd, const Message &)>;
  Server(std::uint16_t port, Handler serve)
      : Port(port), Serve(std::move(serve)), Fd(listenAt(port)) {
    if (Fd < 0)
      throw std::runtime_error("port is taken");
    std::thread([this] { accept(); }).detach();
  }
  const std::uint16_t Port;

private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        std::string rest;
        Message msg;
        while (readMessage(fd, msg, rest, far()) == ReadEnd::Whole &&
               Serve(fd, msg)) {
        }
        ::close(fd);
      }).detach();
    }
  }

  Handler Serve;
  int Fd;
};

// The store -------------------------------------------------------------------

inline std::string base64(const std::string &raw) {
  static const char *digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < raw.size(); n += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k)
      word = word << 8U |
             (n + k < raw.size() ? static_cast<unsigned char>(raw[n + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out += n + k > raw.size() ? '=' : digits[word >> (18 - 6 * k) & 63U];
  }
  return out;
}

/// The platform's store: rows-get, rows-feed and rows-tx, each answered after
/// 4 ms, as the sheets say. In a drill it is away, then back from a copy.
class Store {
public:
  explicit Store(std::uint16_t port)
      : Listener(port, [this](int fd, const Message &m) { return serve(fd, m); }) {}

  /// What the operator and the engines write.
  void put(const std::string &table, const std::string &key, const json &value) {
    const std::lock_guard lk(Mutex);
    putRow({{"table", table},
            {"part", ""},
            {"key", key},
            {"value", base64(value.dump())}});
  }
  void drop(const std::string &table, const std::string &key) {
    const std::lock_guard lk(Mutex);
    putRow({{"table", table}, {"part", ""}, {"key", key}, {"deleted", true}});
  }
  [[nodiscard]] std::string address() const { return addressOf(Listener.Port); }
  /// Copies all rows, for a later restore.
  void copy() {
    const std::lock_guard lk(Mutex);
    CopiedRows = Rows;
    CopiedVersion = Version;
  }
  /// The store is away: its channels are reset and new ones get nothing.
  void leave() {
    const std::lock_guard lk(Mutex);
    Away = true;
    Changed.notify_all();
  }
  /// The store is back from the copy. Versions go back, the era rises by one.
  void restore() {
    const std::lock_guard lk(Mutex);
    Rows = CopiedRows;
    Version = CopiedVersion;
    ++Era;
    Away = false;
  }

private:
  void putRow(json row) {
    row["schema_version"] = ++Version;
    const std::pair<std::string, std::string> at(row.at("table"), row.at("key"));
    Rows[at] = std::move(row);
    Changed.notify_all();
  }
  static std::string query(const std::string &target, const std::string &name) {
    for (std::size_t at = target.find('?'); at != std::string::npos;
         at = target.find('&', at + 1))
      if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
        const std::size_t val = at + name.size() + 2;
        return target.substr(val, target.find('&', val) - val);
      }
    return {};
  }
  json rowsAfter(const std::string &table, std::uint64_t after) const {
    json rows = json::array();
    for (const auto &[key, row] : Rows)
      if (key.first == table && row.at("schema_version") > after &&
          (after > 0 || !row.contains("deleted")))
        rows.push_back(row);
    return rows;
  }
  json answer(json rows) const {
    return {{"rows", std::move(rows)},
            {"has_more", false},
            {"schema_version", Version},
            {"now_ms", std::chrono::duration_cast<milliseconds>(
                           Clock::now().time_since_epoch())
                           .count()}};
  }
  bool transact(const json &doc, json &out) {
    for (const json &cond : doc.at("expected_revision")) {
      const auto it = Rows.find({cond.at("table"), cond.at("key")});
      const std::uint64_t known =
          it == Rows.end() || it->second.contains("deleted")
              ? 0
              : it->second.at("schema_version").get<std::uint64_t>();
      if (known != cond.at("schema_version").get<std::uint64_t>()) {
        out = answer(rowsAfter(cond.at("table"), 0));
        return false;
      }
    }
    for (const json &row : doc.at("writes"))
      putRow(row);
    for (json row : doc.at("remove")) {
      row["deleted"] = true;
      putRow(row);
    }
    out = answer(json::array());
    return true;
  }
  bool serve(int fd, const Message &msg) {
    std::this_thread::sleep_for(milliseconds(4));
    const std::string target = msg.word(1);
    const std::string path = target.substr(0, target.find('?'));
    int status = 200;
    json out;
    std::unique_lock lk(Mutex);
    const std::uint64_t era = Era;
    if (Away)
      return false;
    if (path == "/v1/rows-feed" &&
        std::stoull(query(target, "after_revision")) > Version) {
      status = 410;
    } else if (path == "/v1/rows-get") {
      out = answer(rowsAfter(query(target, "table"), 0));
    } else if (path == "/v1/rows-feed") {
      const std::string table = query(target, "table");
      const std::uint64_t after = std::stoull(query(target, "after_revision"));
      const auto until =
          Clock::now() + milliseconds(std::stoll(query(target, "wait_ms")));
      while (!Away && era == Era && rowsAfter(table, after).empty() &&
             Changed.wait_until(lk, until) != std::cv_status::timeout) {
      }
      if (Away || era != Era)
        return false;
      // After version 0 a feed has all rows; a sound reader never asks that.
      out = answer(rowsAfter(table, after));
    } else if (path == "/v1/rows-tx") {
      status = transact(json::parse(msg.Body), out) ? 200 : 412;
    } else {
      status = 404;
    }
    lk.unlock();
    return sendAll(fd, responseText(status,
                                    "Content-Type: application/json\r\n"
                                    "Store-Era: " +
                                        std::to_string(era) + "\r\n",
                                    out.dump()));
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::pair<std::string, std::string>, json> Rows;
  std::uint64_t Version = 1;
  std::map<std::pair<std::string, std::string>, json> CopiedRows;
  std::uint64_t CopiedVersion = 0;
  std::uint64_t Era = 1;
  bool Away = false;
  Server Listener;
};

// Engines ---------------------------------------------------------------------

/// What happened to one request at the engines.
struct RunInfo {
  int Runs = 0;
  int Ended = 0; // Runs whose answer was made and sent.
  double BegunAt = 0;
  double EndedAt = 0;
};

/// The runs of all engines, by Zinniagauge-Attempt-Id.
struct RunLog {
  std::mutex Mutex;
  std::map<std::string, RunInfo> Runs;
  [[nodiscard]] RunInfo of(const std::string &id) {
    const std::lock_guard lk(Mutex);
    return Runs[id];
  }
};

/// An engine of a plain service: each run takes \p work, and its answer echoes
/// the id and bears a seal. It registers itself and renews its entry.
class Engine {
public:
  Engine(Store &store, RunLog &runs, Record &rec, std::string id,
         std::string service, std::string zone, milliseconds work)
      : TheStore(store), Runs(runs), Rec(rec), Id(std::move(id)),
        Service(std::move(service)), Zone(std::move(zone)), Work(work),
        Listener(freePort(), [this](int fd, const Message &m) {
          return serve(fd, m);
        }) {
    std::thread([this] {
      for (int seq = 1;; ++seq) {
        TheStore.put("servers", Id,
                     {{"service", Service},
                      {"address", addressOf(Listener.Port)},
                      {"zone", Zone},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", seq},
                      {"born", 1700000000000}});
        std::this_thread::sleep_for(milliseconds(1200));
      }
    }).detach();
  }

private:
  bool serve(int fd, const Message &msg) {
    const std::string id = msg.field("zinniagauge-attempt-id");
    const std::string echo = "Zinniagauge-Attempt-Id: " + id + "\r\n";
    const std::string expected = msg.field("zinniagauge-expect-instance");
    if (!expected.empty() && expected != Id)
      return sendAll(fd, responseText(421, echo + "Zinniagauge-Instance-Id: " +
                                               Id + "\r\n",
                                      ""));
    {
      const std::lock_guard lk(Runs.Mutex);
      RunInfo &run = Runs.Runs[id];
      ++run.Runs;
      run.BegunAt = secondsSinceStart();
    }
    Rec.line("engine " + Id + " runs " + id);
    std::this_thread::sleep_for(Work);
    {
      const std::lock_guard lk(Runs.Mutex);
      RunInfo &run = Runs.Runs[id];
      ++run.Ended;
      run.EndedAt = secondsSinceStart();
    }
    std::string text =
        responseText(200,
                     echo + "Zinniagauge-Response-Seal: " + Id + "." + id +
                         "\r\nKeep-Alive: timeout=20\r\n",
                     "done " + id);
    if (msg.word(0) == "HEAD") // Its answer has the length but no body.
      text.resize(text.find("\r\n\r\n") + 4);
    const bool sent = sendAll(fd, text);
    Rec.line("engine " + Id + " answers " + id + (sent ? "" : ", channel gone"));
    return sent;
  }

  Store &TheStore;
  RunLog &Runs;
  Record &Rec;
  const std::string Id, Service, Zone;
  const milliseconds Work;
  Server Listener;
};

// Fronts ----------------------------------------------------------------------

/// Fills in a settings template: {{a}}, {{a.b}}, {{a.0}}, each also with
/// "|json", and sections, which are left out where there is no value.
inline std::string fillTemplate(std::string text, const json &fields) {
  const auto find = [&](const std::string &name) -> json {
    json at = fields;
    for (std::size_t from = 0; from <= name.size();) {
      const std::size_t dot = std::min(name.find('.', from), name.size());
      const std::string part = name.substr(from, dot - from);
      if (at.is_object() && at.contains(part))
        at = json(at.at(part));
      else if (at.is_array() && !part.empty() && std::isdigit(part[0]) != 0)
        at = json(at.at(std::stoul(part)));
      else
        return {};
      from = dot + 1;
    }
    return at;
  };
  for (std::size_t at = text.find("{{"); at != std::string::npos;
       at = text.find("{{", at)) {
    const std::size_t end = text.find("}}", at);
    std::string name = text.substr(at + 2, end - at - 2);
    if (name[0] == '#') {
      const std::string close = "{{/" + name.substr(1) + "}}";
      const std::size_t last = text.find(close, end);
      const bool present = !find(name.substr(1)).is_null();
      const std::string inner = text.substr(end + 2, last - end - 2);
      text.replace(at, last + close.size() - at, present ? inner : "");
      continue;
    }
    const bool asjson = name.ends_with("|json");
    if (asjson)
      name.resize(name.size() - 5);
    const json val = find(name);
    const std::string shown = asjson || !val.is_string()
                                  ? (val.is_null() && !asjson ? "" : val.dump())
                                  : val.get<std::string>();
    text.replace(at, end + 2 - at, shown);
    at += shown.size();
  }
  return text;
}

/// A front, started by the deploy file's command with a settings file filled in
/// from its template.
class Front {
public:
  Front(const std::string &root, const std::string &folder,
        const std::string &node, const std::string &zone,
        const std::string &store, const json &bounds)
      : Node(node), Callers(freePort()), Ready(freePort()) {
    const std::uint16_t first = freePort();
    const std::uint16_t second = freePort();
    const json fields = {
        {"node_name", node},
        {"zone", zone},
        {"ip_address", "127.0.0.1"},
        {"internal_port_range", {first, second}},
        {"listen_addresses",
         {{"front", addressOf(Callers)}, {"ready", addressOf(Ready)}}},
        {"platform", {{"address", store}}},
        {"limits",
         {{"memory_mb", 260}, {"cpu_share", 0.25}, {"file_descriptors", 4100}}},
        {"bounds", bounds}};
    std::ifstream in(root + "/platform/settings.json.tmpl");
    std::string text((std::istreambuf_iterator<char>(in)),
                     std::istreambuf_iterator<char>());
    if (text.empty())
      throw std::runtime_error("no settings template");
    const std::string path = folder + "/" + node + ".json";
    std::ofstream(path) << fillTemplate(text, fields);
    const std::string log = folder + "/" + node + ".log";
    const std::string program = root + "/target/zinnia-front";
    Id = ::fork();
    if (Id == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::chdir(root.c_str()) != 0 || !std::freopen(log.c_str(), "w", stdout))
        ::_exit(126);
      ::dup2(STDOUT_FILENO, STDERR_FILENO);
      ::setenv("ZINNIAGAUGE_CONFIG", path.c_str(), 1);
      ::execl(program.c_str(), program.c_str(), nullptr);
      ::_exit(127);
    }
    if (Id < 0)
      throw std::runtime_error("can't fork");
  }
  Front(const Front &) = delete;
  Front &operator=(const Front &) = delete;
  ~Front() {
    if (Id > 0 && ::waitpid(Id, nullptr, WNOHANG) == 0) {
      ::kill(Id, SIGKILL);
      ::waitpid(Id, nullptr, 0);
    }
  }

  /// One readiness check.
  [[nodiscard]] bool isReady() const {
    const int fd = connectTo(Ready);
    if (fd < 0)
      return false;
    std::string rest;
    Message msg;
    const bool ok =
        sendAll(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: "
                    "close\r\n\r\n") &&
        readMessage(fd, msg, rest, Clock::now() + milliseconds(800)) ==
            ReadEnd::Whole &&
        msg.status() == 200;
    ::close(fd);
    return ok;
  }
  [[nodiscard]] bool waitUntilReady() const {
    for (int n = 0; n < 100; ++n) {
      if (isReady())
        return true;
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }
  void signal(int sig) const { ::kill(Id, sig); }
  /// Whether the process has ended by itself.
  [[nodiscard]] bool hasEnded() {
    if (Id > 0 && ::waitpid(Id, nullptr, WNOHANG) == Id)
      Id = 0;
    return Id == 0;
  }

  const std::string Node;
  const std::uint16_t Callers;
  const std::uint16_t Ready;

private:
  pid_t Id = 0;
};

/// The platform's way in: a new channel goes to the first front in rotation. A
/// front leaves it after two misses of its readiness check, once a second.
class Ingress {
public:
  explicit Ingress(std::vector<Front *> fronts) : Fronts(std::move(fronts)) {
    for (std::size_t n = 0; n < Fronts.size(); ++n)
      Misses.push_back(std::make_unique<std::atomic<int>>(0));
  }
  /// Checks all fronts once.
  void check() {
    for (std::size_t n = 0; n < Fronts.size(); ++n)
      *Misses[n] = Fronts[n]->isReady() ? 0 : *Misses[n] + 1;
  }
  /// The front for a new channel; null if none is in rotation.
  [[nodiscard]] Front *next() const {
    for (std::size_t n = 0; n < Fronts.size(); ++n)
      if (*Misses[n] < 2)
        return Fronts[n];
    return nullptr;
  }

private:
  std::vector<Front *> Fronts;
  std::vector<std::unique_ptr<std::atomic<int>>> Misses;
};

/// A temporary folder, removed at the end.
class Folder {
public:
  Folder() {
    const char *tmp = std::getenv("TMPDIR");
    std::string name = std::string(tmp ? tmp : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(name.data()))
      throw std::runtime_error("no temporary folder");
    Path = name;
  }
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;
  ~Folder() {
    const std::string cmd = "rm -rf '" + Path + "'";
    static_cast<void>(std::system(cmd.c_str()));
  }
  std::string Path;
};

} // namespace review

#endif // REVIEW_WORLD_2_H
