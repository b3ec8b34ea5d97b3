// A small deployment on loopback for process tests: the platform's stand-in and
// nodes of an entry and an agent each.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_NODES_H
#define ZINNIAGAUGE_TESTS_SUPPORT_NODES_H

#include "support/processes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge::testing {

/// The operators' keys that every node of a test knows.
inline constexpr std::string_view FirstOperatorKey = "test-key-marija";
inline constexpr std::string_view SecondOperatorKey = "test-key-tomas";

/// The platform's stand-in.
struct PlatformProcess {
  explicit PlatformProcess(const std::string &binaries);

  /// Sets faults, in the stand-in's JSON; false if it refuses.
  [[nodiscard]] bool faults(std::string_view body) const;

  /// What GET /counts says.
  [[nodiscard]] std::string counts() const;

  std::uint16_t Port;
  std::string Url;
  Process Proc;
};

/// One VM: an entry and an agent with their settings.
struct Node {
  std::string Name;
  std::string Zone;
  std::string EntryHttp; // All "ip:port".
  std::string EntryRpc;
  std::string EntryMetrics;
  std::string AgentRpc;
  std::string AgentMetrics;
  std::string AgentOperator;
  std::string EntrySettings; // Paths.
  std::string AgentSettings;
  std::optional<Process> Entry;
  std::optional<Process> Agent;

  /// "http://ip:port" of the agent's operator API.
  [[nodiscard]] std::string operatorUrl() const {
    return "http://" + AgentOperator;
  }
};

/// Chooses ports for \p names, all in zones \p zones of the same place, writes
/// their settings to \p folder, and starts nothing. Every agent knows all
/// others as peers.
[[nodiscard]] std::vector<Node>
makeNodes(const ScratchFolder &folder, const std::string &platform_url,
          const std::vector<std::string> &names,
          const std::vector<std::string> &zones);

/// Starts the entry and the agent of \p node from the programs in \p binaries.
void startNode(Node &node, const std::string &binaries);

/// Runs zinniactl against the agent of \p node.
[[nodiscard]] ProgramResult ctl(const Node &node, const std::string &binaries,
                                std::string_view key,
                                std::vector<std::string> words);

/// The number at \p pointer, such as "/entry/bundle_version", of the agent's
/// status; -1 if it can't be had.
[[nodiscard]] std::int64_t statusNumber(const Node &node,
                                        const std::string &pointer);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_NODES_H
