// Starts and ends the processes of a test, and waits for what they do.
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

/// How long tests wait for an event before they give up. No test asserts on how
/// long an event took.
inline constexpr Duration PatienceBound = std::chrono::seconds(30);

/// A process that a test has started. Killed, by its id, when it goes out of
/// scope.
class Process {
public:
  /// Starts \p argv; the first is the program's path.
  explicit Process(std::vector<std::string> argv);
  Process(Process &&other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  Process &operator=(Process &&) = delete;
  ~Process();

  /// The process's id; zero once it has been waited for.
  [[nodiscard]] pid_t id() const noexcept { return Id; }

  /// Sends \p sig, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void signal(int sig) const noexcept;

  /// Waits until it ends: its exit code, or minus the signal that ended it.
  /// Nothing if it doesn't end within \p bound.
  std::optional<int> wait(Duration bound = PatienceBound);

  /// Kills it and waits until it has ended.
  void kill();

  /// What it has written so far, to standard output and error.
  [[nodiscard]] std::string output() const;

  /// Waits until its output contains \p part.
  [[nodiscard]] bool waitForOutput(std::string_view part,
                                   Duration bound = PatienceBound) const;

private:
  struct CloseFile {
    void operator()(std::FILE *f) const noexcept;
  };

  bool reap(bool block);

  std::unique_ptr<std::FILE, CloseFile> Out;
  pid_t Id = 0;
  std::optional<int> Ended;
};

/// What a program that ended left.
struct ProgramResult {
  int Exit = -1; // As Process::wait; -1000 if it did not end.
  std::string Output;
};

/// Runs \p argv to its end.
[[nodiscard]] ProgramResult runProgram(std::vector<std::string> argv);

/// \p n different ports of 127.0.0.1 that nothing listens on. They lie below
/// the range from which the system takes ports for outgoing connections.
[[nodiscard]] std::vector<std::uint16_t> freePorts(std::size_t n);

/// Asks \p holds until it says yes; false if it doesn't within \p bound.
[[nodiscard]] bool waitUntil(const std::function<bool()> &holds,
                             Duration bound = PatienceBound);

/// One HTTP call; status 0 if it failed.
[[nodiscard]] HttpResponse callHttp(std::string_view method,
                                    std::string_view url,
                                    std::string_view body = {},
                                    std::string_view key = {});

/// Waits until GET \p url answers with \p status.
[[nodiscard]] bool waitForStatus(std::string_view url, int status,
                                 Duration bound = PatienceBound);

/// A folder of its own for a test's files, removed when it goes out of scope.
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
