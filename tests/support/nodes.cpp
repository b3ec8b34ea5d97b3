// Implements the small deployment for process tests.
#include "support/nodes.h"

#include "zinniagauge/adapt/digest.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace zinniagauge::testing {

using nlohmann::json;

namespace {

std::string address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

json entrySettings(const Node &n, const std::string &platform) {
  return {{"vm_name", n.Name},
          {"zone_name", n.Zone},
          {"http_address", n.EntryHttp},
          {"rpc_address", n.EntryRpc},
          {"metrics_address", n.EntryMetrics},
          {"platform_url", platform},
          {"log_format", "plain"}};
}

json agentSettings(const Node &n, const std::string &platform,
                   const std::vector<Node> &all) {
  json peers = json::array();
  for (const Node &it : all)
    if (it.Name != n.Name)
      peers.push_back(it.AgentRpc);
  const json keys = {
      {{"name", "marija"}, {"sha256", sha256Hex(FirstOperatorKey)}},
      {{"name", "tomas"}, {"sha256", sha256Hex(SecondOperatorKey)}}};
  return {{"vm_name", n.Name},
          {"zone_name", n.Zone},
          {"rpc_address", n.AgentRpc},
          {"entry_rpc_address", n.EntryRpc},
          {"entry_http_address", n.EntryHttp},
          {"entry_metrics_address", n.EntryMetrics},
          {"operator_address", n.AgentOperator},
          {"metrics_address", n.AgentMetrics},
          {"operator_keys", keys},
          {"platform_url", platform},
          {"platform_timeout_ms", 500},
          {"peer_agents", peers},
          {"log_format", "plain"}};
}

} // namespace

PlatformProcess::PlatformProcess(const std::string &binaries)
    : Port(freePorts(1).front()), Url("http://" + address(Port)),
      Proc({binaries + "/standin-platform", "--listen", address(Port)}) {
  static_cast<void>(Proc.waitForOutput("serves"));
}

bool PlatformProcess::faults(std::string_view body) const {
  return callHttp("POST", Url + "/faults", body).Status == 200;
}

std::string PlatformProcess::counts() const {
  return callHttp("GET", Url + "/counts").Body;
}

std::vector<Node> makeNodes(const ScratchFolder &folder,
                            const std::string &platform_url,
                            const std::vector<std::string> &names,
                            const std::vector<std::string> &zones) {
  std::vector<Node> nodes;
  for (std::size_t n = 0; n < names.size(); ++n) {
    const std::vector<std::uint16_t> ports = freePorts(6);
    Node node;
    node.Name = names[n];
    node.Zone = zones[n];
    node.EntryHttp = address(ports[0]);
    node.EntryRpc = address(ports[1]);
    node.EntryMetrics = address(ports[2]);
    node.AgentRpc = address(ports[3]);
    node.AgentMetrics = address(ports[4]);
    node.AgentOperator = address(ports[5]);
    nodes.push_back(std::move(node));
  }
  for (Node &it : nodes) {
    it.EntrySettings = folder.write(it.Name + "-entry.json",
                                    entrySettings(it, platform_url).dump());
    it.AgentSettings = folder.write(
        it.Name + "-agent.json", agentSettings(it, platform_url, nodes).dump());
  }
  return nodes;
}

void startNode(Node &node, const std::string &binaries) {
  node.Entry.emplace(
      std::vector<std::string>{binaries + "/zinnia-entry", node.EntrySettings});
  node.Agent.emplace(
      std::vector<std::string>{binaries + "/zinnia-agent", node.AgentSettings});
}

ProgramResult runZinniactl(const Node &node, const std::string &binaries,
                           std::string_view key,
                           std::vector<std::string> words) {
  std::vector<std::string> argv{binaries + "/zinniactl", "--agent",
                                node.operatorUrl(), "--key", std::string(key)};
  argv.insert(argv.end(), words.begin(), words.end());
  return runProgram(std::move(argv));
}

std::int64_t statusNumber(const Node &node, const std::string &pointer) {
  const HttpResponse res =
      callHttp("GET", node.operatorUrl() + "/v1/status", {}, FirstOperatorKey);
  const json val = json::parse(res.Body, nullptr, false);
  const json::json_pointer at(pointer);
  if (val.is_discarded() || !val.contains(at))
    return -1;
  const json &found = val.at(at);
  if (found.is_boolean())
    return found.get<bool>() ? 1 : 0;
  return found.is_number() ? found.get<std::int64_t>() : -1;
}

} // namespace zinniagauge::testing
