// Starts and ends the processes of a test, waits for conditions, and makes HTTP
// calls, ports and files for process tests.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_PROCESSES_H
#define ZINNIAGAUGE_TESTS_SUPPORT_PROCESSES_H

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/time/clock.h"

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge::testing {

/// How long a test waits for an event before it fails. No test asserts on how
/// long an event took.
inline constexpr Duration DefaultTimeout = std::chrono::seconds(30);

/// A process that a test has started. The destructor kills it by its id.
class Process {
public:
  /// Starts \p argv; its first element is the path of the program. Its output
  /// goes to the descriptor \p out instead of output() if that isn't -1. Throws
  /// std::runtime_error if the process can't be forked.
  explicit Process(std::vector<std::string> argv, int out = -1);
  Process(Process &&other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  Process &operator=(Process &&) = delete;
  ~Process();

  /// The process's id; zero once it has been waited for.
  [[nodiscard]] pid_t id() const noexcept { return Id; }

  /// Sends \p sig, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void signal(int sig) const noexcept;

  /// Waits until the process ends. Returns its exit code, or the negated number
  /// of the signal that ended it; nullopt if it runs longer than \p timeout.
  std::optional<int> wait(Duration timeout = DefaultTimeout);

  /// Kills the process and waits until it has ended.
  void kill();

  /// What the process has written to standard output and error so far.
  [[nodiscard]] std::string output() const;

  /// Waits until the output contains \p part; false if it doesn't within
  /// \p timeout.
  [[nodiscard]] bool waitForOutput(std::string_view part,
                                   Duration timeout = DefaultTimeout) const;

private:
  struct CloseFile {
    void operator()(std::FILE *f) const noexcept;
  };

  bool reap(bool block);

  std::unique_ptr<std::FILE, CloseFile> Out;
  pid_t Id = 0;
  std::optional<int> Ended;
};

/// The exit status and output of a program that has ended.
struct ProgramResult {
  int Exit = -1; // As Process::wait(); -1000 if it did not end.
  std::string Output;
};

/// Runs \p argv and waits until it ends, for at most DefaultTimeout.
[[nodiscard]] ProgramResult runProgram(std::vector<std::string> argv);

/// \p n different ports of 127.0.0.1 that no process listens on. They lie below
/// the ephemeral range, from which the system takes ports for outgoing
/// connections.
[[nodiscard]] std::vector<std::uint16_t> freePorts(std::size_t n);

/// Calls \p holds repeatedly until it returns true; false if it doesn't within
/// \p timeout.
[[nodiscard]] bool waitUntil(const std::function<bool()> &holds,
                             Duration timeout = DefaultTimeout);

/// Makes one HTTP call, with \p key as the bearer token unless it is empty. The
/// status is 0 if the call failed.
[[nodiscard]] HttpResponse callHttp(std::string_view method,
                                    std::string_view url,
                                    std::string_view body = {},
                                    std::string_view key = {});

/// Waits until GET \p url returns \p status; false if it doesn't within
/// \p timeout.
[[nodiscard]] bool waitForStatus(std::string_view url, int status,
                                 Duration timeout = DefaultTimeout);

/// A temporary folder for the files of a test. The destructor removes it.
class ScratchFolder {
public:
  ScratchFolder();
  ScratchFolder(const ScratchFolder &) = delete;
  ScratchFolder &operator=(const ScratchFolder &) = delete;
  ~ScratchFolder();

  /// Writes \p text to the file \p name and returns its path.
  [[nodiscard]] std::string write(const std::string &name,
                                  std::string_view text) const;

private:
  std::string Path;
};

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_PROCESSES_H
