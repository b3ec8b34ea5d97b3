// A small deployment on loopback for process tests: the stand-in for the
// platform, and nodes with one entry and one agent each.
#ifndef ZINNIAGAUGE_TESTS_SUPPORT_NODES_H
#define ZINNIAGAUGE_TESTS_SUPPORT_NODES_H

#include "support/processes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge::testing {

/// The operator keys in the settings of every node.
inline constexpr std::string_view FirstOperatorKey = "test-key-marija";
inline constexpr std::string_view SecondOperatorKey = "test-key-tomas";

/// The process that stands in for the platform.
struct PlatformProcess {
  explicit PlatformProcess(const std::string &binaries);

  /// Posts \p body, in JSON, to /faults of the stand-in; false if it is
  /// rejected.
  [[nodiscard]] bool faults(std::string_view body) const;

  /// The body of GET /counts.
  [[nodiscard]] std::string counts() const;

  std::uint16_t Port;
  std::string Url;
  Process Proc;
};

/// One VM: an entry and an agent with their settings.
struct Node {
  std::string Name;
  std::string Zone;
  // Addresses, each as "ip:port".
  std::string EntryHttp;
  std::string EntryRpc;
  std::string EntryMetrics;
  std::string AgentRpc;
  std::string AgentMetrics;
  std::string AgentOperator;
  // Paths of the settings files.
  std::string EntrySettings;
  std::string AgentSettings;
  std::optional<Process> Entry;
  std::optional<Process> Agent;

  /// "http://ip:port" of the agent's operator API.
  [[nodiscard]] std::string operatorUrl() const {
    return "http://" + AgentOperator;
  }
};

/// Makes a node for each of \p names, in the zone at the same index of
/// \p zones. Chooses free ports and writes the settings to \p folder, but
/// starts no process. Each agent has all other agents as peers.
[[nodiscard]] std::vector<Node>
makeNodes(const ScratchFolder &folder, const std::string &platform_url,
          const std::vector<std::string> &names,
          const std::vector<std::string> &zones);

/// Starts the entry and the agent of \p node from the programs in \p binaries.
void startNode(Node &node, const std::string &binaries);

/// Runs zinniactl with \p words as arguments against the agent of \p node.
[[nodiscard]] ProgramResult runZinniactl(const Node &node,
                                         const std::string &binaries,
                                         std::string_view key,
                                         std::vector<std::string> words);

/// The number at the JSON pointer \p pointer, such as "/entry/bundle_version",
/// in the agent's status. A boolean gives 0 or 1; -1 if the status can't be
/// read or holds no number there.
[[nodiscard]] std::int64_t statusNumber(const Node &node,
                                        const std::string &pointer);

} // namespace zinniagauge::testing

#endif // ZINNIAGAUGE_TESTS_SUPPORT_NODES_H
