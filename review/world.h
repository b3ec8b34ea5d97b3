// Stand-ins of the platform, engines, clients and the network for the scripts
// of this review. Everything listens on loopback and runs on threads of one
// process; the front runs as a process of its own.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Exit codes of a script.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CantRun = 2;

inline void sleepMs(int ms) { std::this_thread::sleep_for(Ms(ms)); }

// The record of a case: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &path)
      : File(std::fopen(path.c_str(), "w")), Start(Clock::now()) {}
  ~Record() {
    if (File)
      std::fclose(File);
  }
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (!File)
      return;
    const auto ms =
        std::chrono::duration_cast<Ms>(Clock::now() - Start).count();
    std::fprintf(File, "%7.3f ", static_cast<double>(ms) / 1000);
    va_list args;
    va_start(args, format);
    std::vfprintf(File, format, args);
    va_end(args);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::FILE *File;
  std::mutex Mutex;
  Clock::time_point Start;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(static_cast<std::uint16_t>(port));
  sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return sa;
}

// Listens on a free port; returns the socket.
inline int listenOnLoopback(int &port, int receivebuffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (receivebuffer > 0)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receivebuffer,
                 sizeof receivebuffer);
  sockaddr_in sa = loopback(port);
  socklen_t len = sizeof sa;
  if (::bind(fd, reinterpret_cast<sockaddr *>(&sa), sizeof sa) != 0 ||
      ::listen(fd, 256) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr *>(&sa), &len) != 0) {
    std::perror("listen");
    std::exit(CantRun);
  }
  port = ntohs(sa.sin_port);
  return fd;
}

// Ports that were free a moment ago, for the front.
inline std::vector<int> freePorts(int count) {
  std::vector<int> ports;
  std::vector<int> fds;
  for (int n = 0; n < count; ++n) {
    int port = 0;
    fds.push_back(listenOnLoopback(port));
    ports.push_back(port);
  }
  for (int fd : fds)
    ::close(fd);
  return ports;
}

inline int connectTo(int port, int receivebuffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receivebuffer > 0)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receivebuffer,
                 sizeof receivebuffer);
  const sockaddr_in sa = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&sa), sizeof sa) != 0) {
    ::close(fd);
    return -1;
  }
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
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

inline std::string lower(std::string text) {
  for (char &c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

// An HTTP/1.1 message.
struct Message {
  std::string FirstLine;
  std::map<std::string, std::string> Fields; // Names in lowercase.
  std::string Body;
  bool Whole = false; // False: the channel ended or fell silent before its end.

  std::string field(const std::string &name) const {
    const auto it = Fields.find(lower(name));
    return it == Fields.end() ? std::string() : it->second;
  }
  int status() const {
    return FirstLine.size() > 12 ? std::atoi(FirstLine.c_str() + 9) : 0;
  }
  std::string method() const { return FirstLine.substr(0, FirstLine.find(' ')); }
  std::string target() const {
    const auto at = FirstLine.find(' ') + 1;
    return FirstLine.substr(at, FirstLine.find(' ', at) - at);
  }
};

// Reads messages from a socket.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}
  std::string Buffer;
  bool TimedOut = false;
  // Called before each read of the socket; may slow the reader down.
  std::function<void()> BeforeRead;
  std::size_t ReadSize = 65536;

  bool fill(int waitms) {
    pollfd p{Fd, POLLIN, 0};
    const int ready = ::poll(&p, 1, waitms);
    if (ready <= 0) {
      TimedOut = ready == 0;
      return false;
    }
    if (BeforeRead)
      BeforeRead();
    std::vector<char> part(ReadSize);
    const ssize_t n = ::recv(Fd, part.data(), part.size(), 0);
    if (n <= 0)
      return false;
    Buffer.append(part.data(), static_cast<std::size_t>(n));
    return true;
  }

  // Reads one message; nullopt if the channel ended before its first byte.
  std::optional<Message> read(bool response, int waitms) {
    Message msg;
    TimedOut = false;
    std::size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(waitms)) {
        if (Buffer.empty())
          return std::nullopt;
        msg.FirstLine = Buffer.substr(0, Buffer.find("\r\n"));
        return msg;
      }
    std::istringstream head(Buffer.substr(0, end));
    Buffer.erase(0, end + 4);
    std::getline(head, msg.FirstLine);
    if (!msg.FirstLine.empty() && msg.FirstLine.back() == '\r')
      msg.FirstLine.pop_back();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      auto at = colon + 1;
      while (at < line.size() && line[at] == ' ')
        ++at;
      msg.Fields[lower(line.substr(0, colon))] = line.substr(at);
    }
    if (lower(msg.field("transfer-encoding")) == "chunked") {
      for (;;) {
        std::size_t eol = 0;
        while ((eol = Buffer.find("\r\n")) == std::string::npos)
          if (!fill(waitms))
            return msg;
        const std::size_t size =
            std::strtoul(Buffer.substr(0, eol).c_str(), nullptr, 16);
        while (Buffer.size() < eol + 2 + size + 2)
          if (!fill(waitms)) {
            msg.Body += Buffer.substr(std::min(eol + 2, Buffer.size()));
            return msg;
          }
        msg.Body += Buffer.substr(eol + 2, size);
        Buffer.erase(0, eol + 2 + size + 2);
        if (size == 0) {
          msg.Whole = true;
          return msg;
        }
      }
    }
    const std::string length = msg.field("content-length");
    if (length.empty() && response) {
      while (fill(waitms)) {
      }
      msg.Whole = !TimedOut;
      msg.Body = std::move(Buffer);
      Buffer.clear();
      return msg;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (Buffer.size() < size)
      if (!fill(waitms)) {
        msg.Body = std::move(Buffer);
        Buffer.clear();
        return msg;
      }
    msg.Body = Buffer.substr(0, size);
    Buffer.erase(0, size);
    msg.Whole = true;
    return msg;
  }

private:
  int Fd;
};

// A server with a thread for each channel.
class Server {
public:
  using Handler = std::function<void(int fd)>;
  int Port = 0;

  explicit Server(Handler handler, int port = 0) : Serve(std::move(handler)) {
    Port = port;
    Listener = listenOnLoopback(Port);
    Thread = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  void stop() {
    if (Stopping.exchange(true))
      return;
    Thread.join();
    ::close(Listener);
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      for (const auto &[fd, open] : Channels)
        if (open)
          ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread &t : Threads)
      t.join();
    for (const auto &[fd, open] : Channels)
      ::close(fd);
  }

private:
  void accept() {
    while (!Stopping) {
      pollfd p{Listener, POLLIN, 0};
      if (::poll(&p, 1, 50) <= 0)
        continue;
      const int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      const std::lock_guard<std::mutex> lock(Mutex);
      Channels.emplace_back(fd, true);
      const std::size_t index = Channels.size() - 1;
      Threads.emplace_back([this, fd, index] {
        Serve(fd);
        ::shutdown(fd, SHUT_RDWR);
        const std::lock_guard<std::mutex> inner(Mutex);
        Channels[index].second = false;
      });
    }
  }
  Handler Serve;
  int Listener = -1;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<std::pair<int, bool>> Channels;
  std::vector<std::thread> Threads;
  std::thread Thread;
};

inline std::string base64(const std::string &raw) {
  static const char digits[] =
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

inline std::string decode64(const std::string &text) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t word = 0;
  int bits = 0;
  for (const char c : text) {
    const auto at = digits.find(c);
    if (at == std::string::npos)
      break;
    word = word << 6U | static_cast<std::uint32_t>(at);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(word >> bits & 255U);
    }
  }
  return out;
}

// The platform's metadata store, as far as a front uses it.
class Store {
public:
  Store() : Listening([this](int fd) { serve(fd); }) {}
  int port() const { return Listening.Port; }
  void put(const std::string &table, const std::string &key,
           const Json &value) {
    const std::lock_guard<std::mutex> lock(Mutex);
    putRow(table, key, base64(value.dump()));
  }
  std::optional<Json> get(const std::string &table, const std::string &key) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const auto it = Rows.find({table, key});
    if (it == Rows.end() || it->second.Deleted)
      return std::nullopt;
    return Json::parse(decode64(it->second.Value), nullptr, false);
  }
  void remove(const std::string &table, const std::string &key) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Rows[{table, key}] = {"", ++Version, true};
  }
  // A drill: the store is away for a moment, then comes back from the copy that
  // was taken last, in a new era.
  void takeCopy() {
    const std::lock_guard<std::mutex> lock(Mutex);
    Copy = Rows;
    CopyVersion = Version;
  }
  void goAway() { Away = true; }
  void comeBack() {
    const std::lock_guard<std::mutex> lock(Mutex);
    Rows = Copy;
    Version = CopyVersion;
    ++Era;
    Away = false;
  }
  void stop() {
    Stopping = true;
    Listening.stop();
  }

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };

  void putRow(const std::string &table, const std::string &key,
              const std::string &value) {
    Rows[{table, key}] = {value, ++Version, false};
  }
  static std::string query(const std::string &target, const std::string &name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string pair = target.substr(at + 1, end - at - 1);
      if (pair.rfind(name + "=", 0) == 0)
        return pair.substr(name.size() + 1);
      at = end;
    }
    return {};
  }
  Json rowsOf(const std::string &table, std::uint64_t after, bool deleted) {
    std::vector<std::pair<std::uint64_t, Json>> rows;
    for (const auto &[key, row] : Rows) {
      if (key.first != table || row.Version <= after ||
          (row.Deleted && !deleted))
        continue;
      Json doc = {{"table", table},
                  {"part", ""},
                  {"key", key.second},
                  {"schema_version", row.Version}};
      if (row.Deleted)
        doc["deleted"] = true;
      else
        doc["value"] = row.Value;
      rows.emplace_back(row.Version, std::move(doc));
    }
    if (deleted)
      std::sort(rows.begin(), rows.end(),
                [](const auto &a, const auto &b) { return a.first < b.first; });
    Json out = Json::array();
    for (auto &row : rows)
      out.push_back(std::move(row.second));
    return {{"rows", out},
            {"has_more", false},
            {"schema_version", Version},
            {"now_ms", std::chrono::duration_cast<Ms>(
                           Clock::now().time_since_epoch())
                           .count()}};
  }
  std::pair<int, Json> transact(const Json &doc) {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const Json &cond : doc.at("expected_revision")) {
      const auto it = Rows.find({cond.at("table"), cond.at("key")});
      const std::uint64_t have =
          it == Rows.end() || it->second.Deleted ? 0 : it->second.Version;
      if (have != cond.at("schema_version").get<std::uint64_t>())
        return {412, rowsOf(cond.at("table"), 0, false)};
    }
    for (const Json &row : doc.at("writes"))
      putRow(row.at("table"), row.at("key"), row.at("value"));
    return {200, {{"schema_version", Version}, {"now_ms", 1}}};
  }
  std::pair<int, Json> answer(const Message &msg) {
    const std::string target = msg.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/v1/rows-tx")
      return transact(Json::parse(msg.Body));
    if (path == "/v1/rows-get") {
      const std::lock_guard<std::mutex> lock(Mutex);
      return {200, rowsOf(query(target, "table"), 0, false)};
    }
    if (path == "/v1/rows-feed") {
      const auto after = std::stoull(query(target, "after_revision"));
      {
        const std::lock_guard<std::mutex> lock(Mutex);
        if (after > Version)
          return {410, Json::object()};
      }
      const std::uint64_t era = Era;
      const auto end =
          Clock::now() + Ms(std::stol(query(target, "wait_ms")));
      for (;;) {
        {
          const std::lock_guard<std::mutex> lock(Mutex);
          if (Away || Era != era)
            return {0, Json::object()}; // The channel ends.
          Json doc = rowsOf(query(target, "table"), after, true);
          if (!doc["rows"].empty() || Clock::now() >= end || Stopping)
            return {200, doc};
        }
        sleepMs(5);
      }
    }
    return {404, Json::object()};
  }
  void serve(int fd) {
    Reader in(fd);
    while (auto msg = in.read(false, 60000)) {
      if (!msg->Whole)
        return;
      sleepMs(4); // The platform's answers take 4 ms.
      if (Away)
        return;
      const auto [status, doc] = answer(*msg);
      if (status == 0)
        return;
      const std::string body = doc.dump();
      if (!sendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nStore-Era: " + std::to_string(Era) +
                           "\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  std::mutex Mutex;
  std::map<std::pair<std::string, std::string>, Row> Rows;
  std::uint64_t Version = 1;
  std::map<std::pair<std::string, std::string>, Row> Copy;
  std::uint64_t CopyVersion = 1;
  std::atomic<std::uint64_t> Era{1};
  std::atomic<bool> Away{false};
  std::atomic<bool> Stopping{false};
  Server Listening;
};

// What an engine answers in success.
inline std::string sealedHead(const Message &request, const std::string &more) {
  return "HTTP/1.1 200 OK\r\nZinniagauge-Attempt-Id: " +
         request.field("Zinniagauge-Attempt-Id") +
         "\r\nZinniagauge-Response-Seal: seal-" +
         request.field("Zinniagauge-Attempt-Id") + "\r\n" + more + "\r\n";
}

// The entry of an engine in the store, renewed like a status report.
inline Json engineEntry(int port, const std::string &service, int slots,
                        std::int64_t born, int sequence,
                        const std::string &state = "ready",
                        const std::string &version = "v1") {
  return {{"service", service},
          {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "azuay-a"},
          {"version", version},
          {"slots", slots},
          {"state", state},
          {"cold_remaining_ms", 0},
          {"sequence", sequence},
          {"born", born}};
}

inline Json route(const std::string &name, const std::string &prefix,
                  const std::string &kind, const std::string &service,
                  int timeoutms, int targetms, int attempts, bool resume) {
  return {{"name", name},
          {"host", "review.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeoutms},
          {"target_latency_ms", targetms},
          {"target_gap_ms", 500},
          {"priority", 1},
          {"service", service},
          {"max_attempts", attempts},
          {"allow_anonymous", false},
          {"resume_streams", resume}};
}

inline Json service(const std::string &name) {
  Json doc = Json::object();
  doc["name"] = name;
  doc["connection_limit"] = 96;
  doc["health_check_path"] = "/health";
  return doc;
}

inline Json tenant(const std::string &name, const std::string &key) {
  Json doc = Json::object();
  doc["name"] = name;
  doc["api_keys"] = Json::array({key});
  return doc;
}

// The limits of callers are those of the site's configuration.
inline Json config(int version, const Json &routes, const Json &services,
                   const Json &tenants) {
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", tenants}};
}

// The front's command in the deploy file.
inline std::vector<std::string> frontCommand() {
  std::ifstream in("deploy/system.toml");
  bool front = false;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("[", 0) == 0)
      front = line == "[roles.front]";
    if (!front || line.rfind("run = \"", 0) != 0)
      continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::vector<std::string> out;
    for (std::string word; words >> word;)
      out.push_back(word);
    return out;
  }
  return {};
}

// A front on one machine of the site, started as the deploy file says.
class Front {
public:
  int Callers = 0;
  int Status = 0;

  Front(const std::string &name, int storeport, const std::string &folder)
      : Name(name), File(folder + "/" + name + ".json"),
        Log(folder + "/" + name + ".log") {
    const std::vector<int> ports = freePorts(4);
    Callers = ports[0];
    Status = ports[1];
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    // The template of the deploy file with the fields of the site.
    const Json doc = {{"node", name},
                      {"zone", "azuay-a"},
                      {"callers", at(ports[0])},
                      {"status", at(ports[1])},
                      {"metrics", at(ports[2])},
                      {"peers", at(ports[3])},
                      {"table", at(storeport)},
                      {"plan_apply_ms", 2000},
                      {"key_withdrawal_ms", 5000},
                      {"fail_closed", true},
                      {"retry_ratio", 0.2},
                      {"retry_slack", 52},
                      {"retry_window_s", 10},
                      {"allowance_window_s", 8},
                      {"allowance_overage", 0.1},
                      {"allowance_slack", 140000},
                      {"exposure_share", 0.1},
                      {"exposure_slack", 50},
                      {"stop_s", 8},
                      {"cpu_share", 0.25},
                      {"descriptors", 4100}};
    std::ofstream(File) << doc.dump(2) << "\n";
  }
  ~Front() { kill(SIGKILL); }

  bool start() {
    const std::vector<std::string> words = frontCommand();
    if (words.empty() || ::access(words[0].c_str(), X_OK) != 0)
      return false;
    Pid = ::fork();
    if (Pid == 0) {
      // The front never outlives the script.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("ZINNIAGAUGE_CONFIG", File.c_str(), 1);
      const int out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      std::vector<char *> args;
      for (const std::string &word : words)
        args.push_back(const_cast<char *>(word.c_str()));
      args.push_back(nullptr);
      ::execv(args[0], args.data());
      ::_exit(127);
    }
    return Pid > 0;
  }
  bool waitReady(int ms) {
    for (const auto end = Clock::now() + Ms(ms); Clock::now() < end;
         sleepMs(50))
      if (ready())
        return true;
    return false;
  }
  bool ready() const {
    const int fd = connectTo(Status);
    if (fd < 0)
      return false;
    sendAll(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader in(fd);
    const auto msg = in.read(true, 500);
    ::close(fd);
    return msg && msg->status() == 200;
  }
  void signal(int sig) {
    if (Pid > 0)
      ::kill(Pid, sig);
  }
  // Whether the process has ended; its wait status is in Ended.
  bool ended() {
    if (Pid > 0 && ::waitpid(Pid, &Ended, WNOHANG) == Pid)
      Pid = -1;
    return Pid <= 0;
  }
  void kill(int sig) {
    if (Pid <= 0)
      return;
    ::kill(Pid, sig);
    ::waitpid(Pid, &Ended, 0);
    Pid = -1;
  }
  // Resident memory in megabytes.
  double residentMb() const {
    std::ifstream in("/proc/" + std::to_string(Pid) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.rfind("VmRSS:", 0) == 0)
        return std::atof(line.c_str() + 6) / 1024;
    return 0;
  }
  const std::string Name;
  int Ended = 0;
  pid_t Pid = -1;

private:
  std::string File;
  std::string Log;
};

// A link to a front that loses packets on the way to it. TCP repairs the loss:
// what follows a lost packet arrives after a retransmission timeout.
class LossyLink {
public:
  LossyLink(int to, double share, unsigned seed)
      : To(to), Share(share), Random(seed),
        Listening([this](int fd) { serve(fd); }) {}
  int port() const { return Listening.Port; }
  int lost() const { return Lost; }
  void stop() { Listening.stop(); }

private:
  static constexpr std::size_t PacketBytes = 1448;
  static constexpr int RetransmitMs = 200; // The least of common systems.

  bool loses() {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (std::uniform_real_distribution<double>(0, 1)(Random) >= Share)
      return false;
    ++Lost;
    return true;
  }
  // Sends what arrived before the first lost packet at once, the rest later.
  bool forward(int fd, std::string_view text) {
    std::size_t start = 0;
    for (std::size_t at = 0; at < text.size(); at += PacketBytes) {
      if (!loses())
        continue;
      if (at > start && !sendAll(fd, text.substr(start, at - start)))
        return false;
      sleepMs(RetransmitMs);
      start = at;
    }
    return sendAll(fd, text.substr(start));
  }
  void serve(int fd) {
    const int out = connectTo(To);
    if (out < 0)
      return;
    std::thread back([&] {
      char part[65536];
      for (ssize_t n = 0; (n = ::recv(out, part, sizeof part, 0)) > 0;)
        if (!sendAll(fd, {part, static_cast<std::size_t>(n)}))
          break;
      ::shutdown(fd, SHUT_RDWR);
    });
    char part[65536];
    for (ssize_t n = 0; (n = ::recv(fd, part, sizeof part, 0)) > 0;)
      if (!forward(out, {part, static_cast<std::size_t>(n)}))
        break;
    ::shutdown(out, SHUT_RDWR);
    back.join();
    ::close(out);
  }

  int To;
  double Share;
  std::mutex Mutex;
  std::mt19937 Random;
  std::atomic<int> Lost{0};
  Server Listening;
};

// A temporary folder.
struct Folder {
  std::string Path;
  Folder() {
    char name[] = "/tmp/review-XXXXXX";
    if (const char *made = ::mkdtemp(name))
      Path = made;
    else
      std::exit(CantRun);
  }
  ~Folder() {
    if (!std::getenv("KEEP")) {
      const std::string cmd = "rm -rf '" + Path + "'";
      if (std::system(cmd.c_str()) != 0)
        std::perror("rm");
    }
  }
};

// False only with TROUBLE=0.
inline bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::strcmp(text, "0") != 0;
}

} // namespace review
