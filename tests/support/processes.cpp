// Implements the helpers that run the processes of a test.
#include "support/processes.h"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace zinniagauge::testing {

namespace {

constexpr Duration PollPeriod = std::chrono::milliseconds(10);
constexpr int NotEndedExit = -1000;
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t LastPort = 32000;

/// Runs \p argv in the forked process with its output to \p out. Makes only
/// calls that are safe between fork and exec. The process is killed when its
/// parent dies.
[[noreturn]] void execute(std::vector<char *> &argv, int out) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::execv(argv[0], argv.data());
  ::_exit(127);
}

bool canBind(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(port);
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool ok =
      ::bind(fd, reinterpret_cast<sockaddr *>(&addr), sizeof(addr)) == 0;
  ::close(fd);
  return ok;
}

} // namespace

void Process::CloseFile::operator()(std::FILE *f) const noexcept {
  std::fclose(f);
}

Process::Process(std::vector<std::string> argv, int out) : Out(std::tmpfile()) {
  std::vector<char *> args;
  for (std::string &it : argv)
    args.push_back(it.data());
  args.push_back(nullptr);
  Id = ::fork();
  if (Id == 0)
    execute(args, out >= 0 ? out : ::fileno(Out.get()));
  if (Id < 0)
    throw std::runtime_error("can't start " + argv[0]);
}

Process::Process(Process &&other) noexcept
    : Out(std::move(other.Out)), Id(std::exchange(other.Id, 0)),
      Ended(other.Ended) {}

Process::~Process() { kill(); }

void Process::signal(int sig) const noexcept {
  if (Id != 0)
    ::kill(Id, sig);
}

bool Process::reap(bool block) {
  int status = 0;
  if (Id == 0 || ::waitpid(Id, &status, block ? 0 : WNOHANG) != Id)
    return Id == 0;
  Ended = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  Id = 0;
  return true;
}

std::optional<int> Process::wait(Duration timeout) {
  static_cast<void>(waitUntil([&] { return reap(false); }, timeout));
  return Ended;
}

void Process::kill() {
  signal(SIGKILL);
  reap(true);
}

std::string Process::output() const {
  constexpr std::size_t PartBytes = 4096;
  std::string text;
  std::string buf(PartBytes, '\0');
  for (;;) {
    const ssize_t n = ::pread(::fileno(Out.get()), buf.data(), buf.size(),
                              static_cast<off_t>(text.size()));
    if (n <= 0)
      return text;
    text.append(buf, 0, static_cast<std::size_t>(n));
  }
}

bool Process::waitForOutput(std::string_view part, Duration timeout) const {
  return waitUntil([&] { return output().find(part) != std::string::npos; },
                   timeout);
}

ProgramResult runProgram(std::vector<std::string> argv) {
  Process proc(std::move(argv));
  const std::optional<int> rc = proc.wait();
  return {rc.value_or(NotEndedExit), proc.output()};
}

std::vector<std::uint16_t> freePorts(std::size_t n) {
  static std::uint16_t next =
      static_cast<std::uint16_t>(FirstPort + static_cast<unsigned>(::getpid()) *
                                                 97U % (LastPort - FirstPort));
  std::vector<std::uint16_t> ports;
  while (ports.size() < n) {
    next = next >= LastPort ? FirstPort : static_cast<std::uint16_t>(next + 1);
    if (canBind(next))
      ports.push_back(next);
  }
  return ports;
}

bool waitUntil(const std::function<bool()> &holds, Duration timeout) {
  const Time end = monotonicNow() + timeout;
  while (!holds()) {
    if (monotonicNow() >= end)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

HttpResponse callHttp(std::string_view method, std::string_view url,
                      std::string_view body, std::string_view key) {
  const HttpHeader auth{"Authorization", "Bearer " + std::string(key)};
  HttpCall call;
  call.Method = method;
  call.Url = url;
  call.Body = body;
  if (!key.empty())
    call.Headers = {&auth, 1};
  return handleResult([&] { return httpCall(call); },
                      [](HttpResponse res) { return res; },
                      [](const Error &) { return HttpResponse{}; });
}

bool waitForStatus(std::string_view url, int status, Duration timeout) {
  return waitUntil([&] { return callHttp("GET", url).Status == status; },
                   timeout);
}

ScratchFolder::ScratchFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "zinnia-XXXXXX").string();
  if (!::mkdtemp(name.data()))
    throw std::runtime_error("can't make a scratch folder");
  Path = name;
}

ScratchFolder::~ScratchFolder() {
  std::error_code ec;
  std::filesystem::remove_all(Path, ec);
}

std::string ScratchFolder::write(const std::string &name,
                                 std::string_view text) const {
  std::string path = Path + "/" + name;
  std::ofstream out(path);
  out << text;
  return path;
}

} // namespace zinniagauge::testing
