// Tests the format of log lines and that only changes of state are logged.

#include "zinniagauge/adapt/log.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace zinniagauge;

namespace {

constexpr std::string_view Utc = "2026-12-04T08:00:00.123Z";

/// A new temporary folder that is removed on destruction.
struct TempFolder {
  TempFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "zinnia-XXXXXX").string();
    Path = ::mkdtemp(name.data());
  }
  TempFolder(const TempFolder &) = delete;
  TempFolder &operator=(const TempFolder &) = delete;
  ~TempFolder() { std::filesystem::remove_all(Path); }

  std::filesystem::path Path;
};

} // namespace

TEST_CASE("a line contains node, zone, step and peer", "[log]") {
  const LogEntry line{LogLevel::Warn, Step::Exchange, "vm-2",
                      "said \"no\"\nand left"};
  const auto doc = nlohmann::json::parse(
      formatLine(LogFormat::Json, line, "vm-1", "split", Utc));
  CHECK(doc["time"] == Utc);
  CHECK(doc["level"] == "warn");
  CHECK(doc["node"] == "vm-1");
  CHECK(doc["zone"] == "split");
  CHECK(doc["step"] == "exchange");
  CHECK(doc["peer"] == "vm-2");
  CHECK(doc["message"] == "said \"no\"\nand left");
  const LogEntry plain{LogLevel::Info, Step::Bundle, {}, "version 7 in force"};
  CHECK(formatLine(LogFormat::Plain, plain, "vm-1", "split", Utc) ==
        "2026-12-04T08:00:00.123Z info vm-1 split bundle: version 7 in force");
}

TEST_CASE("only changes of state are logged", "[log]") {
  const TempFolder dir;
  LogSettings set;
  set.Format = LogFormat::Plain;
  set.File = (dir.Path / "log").string();
  REQUIRE(startLog(set, "vm-1", "split"));
  StateLog log(Step::Platform);
  log.logIfChanged(LogLevel::Info, "table", "reachable");
  log.logIfChanged(LogLevel::Info, "table", "reachable");
  log.logIfChanged(LogLevel::Debug, "table", "not shown");
  log.logIfChanged(LogLevel::Error, "table", "unreachable");
  logError({ErrorCode::TimedOut, Step::Move, "vm-2", "no answer"});
  stopLog();
  logChange({LogLevel::Error, Step::Move, {}, "after the end"});
  std::ifstream in(set.File);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  CHECK(std::count(text.begin(), text.end(), '\n') == 3);
  CHECK(text.find("platform at table: reachable\n") != std::string::npos);
  CHECK(text.find("error vm-1 split platform at table: not shown -> "
                  "unreachable\n") != std::string::npos);
  CHECK(text.find("move at vm-2: timed_out: no answer\n") != std::string::npos);
}

TEST_CASE("a log file that can't be opened is reported", "[log]") {
  LogSettings set;
  set.File = "/proc/nowhere/log";
  CHECK_FALSE(startLog(set, "vm-1", "split"));
  stopLog();
}
