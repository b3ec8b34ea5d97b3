// zinnia-report: prints how fast each tier burns the failures that its
// objective allows, and the state of version moves, over all nodes.

#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <thread>

using namespace zinniagauge;

namespace {

/// Environment variable with the operator's key, used if --key is not given.
constexpr const char *KeyVariable = "ZINNIA_KEY";

/// Maximum number of nodes queried concurrently.
constexpr std::size_t MaxQueryThreads = 8;

constexpr int Ok = 200;

/// The values of the command line's options.
struct Options {
  std::string Agent;
  std::string Key;
  std::vector<std::string> Nodes; // Metrics addresses, "ip:port".
  std::uint64_t TimeoutMs = 2000;
  bool Json = false;
};

/// Returns the body of \p url. If the request fails, prints the error to
/// standard error and returns nothing.
std::optional<std::string> get(const Options &opt, const std::string &url,
                               std::span<const HttpHeader> headers) {
  HttpCall call;
  call.Url = url;
  call.Headers = headers;
  call.Timeout = std::chrono::milliseconds(opt.TimeoutMs);
  call.ErrorStep = Step::Exchange;
  return handleResult([&] { return httpCall(call); },
                      [&](HttpResponse res) -> std::optional<std::string> {
                        if (res.Status == Ok)
                          return std::move(res.Body);
                        std::fprintf(stderr, "zinnia-report: %s: status %d\n",
                                     url.c_str(), res.Status);
                        return std::nullopt;
                      },
                      [](const Error &err) -> std::optional<std::string> {
                        std::fprintf(stderr, "zinnia-report: %s\n",
                                     describe(err).c_str());
                        return std::nullopt;
                      });
}

/// Adds the metrics addresses of all members that the agent reports, except
/// dead ones, to \p opt. Returns false if the agent can't be queried.
bool addNodesOfAgent(Options &opt) {
  const HttpHeader key{"Authorization", "Bearer " + opt.Key};
  const auto text = get(opt, opt.Agent + "/v1/status", {&key, 1});
  if (!text)
    return false;
  const auto doc = nlohmann::json::parse(*text, nullptr, false);
  if (!doc.is_object() || !doc.contains("members"))
    return false;
  for (const auto &it : doc["members"]) {
    const std::string address = it.value("metrics_address", "");
    if (!address.empty() && it.value("state", "") != "dead")
      opt.Nodes.push_back(address);
  }
  return true;
}

std::optional<NodeReport> queryNode(const Options &opt,
                                    const std::string &address) {
  const auto text = get(opt, "http://" + address + "/burn", {});
  if (!text)
    return std::nullopt;
  return handleResult(
      [&] { return decodeBurn(*text); },
      [](NodeReport node) { return std::optional(std::move(node)); },
      [&](const Error &err) -> std::optional<NodeReport> {
        std::fprintf(stderr, "zinnia-report: %s: %s\n", address.c_str(),
                     describe(err).c_str());
        return std::nullopt;
      });
}

FleetReport queryNodes(const Options &opt) {
  std::vector<std::optional<NodeReport>> reports(opt.Nodes.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < reports.size(); i = next++)
      reports[i] = queryNode(opt, opt.Nodes[i]);
  };
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(MaxQueryThreads, reports.size()); ++i)
      threads.emplace_back(work);
  }
  std::vector<NodeReport> nodes;
  std::vector<std::string> unreachable;
  for (std::size_t i = 0; i < reports.size(); ++i) {
    if (reports[i])
      nodes.push_back(std::move(*reports[i]));
    else
      unreachable.push_back(opt.Nodes[i]);
  }
  return mergeReports(nodes, unreachable);
}

ExitCode run(Options opt) {
  if (!opt.Agent.empty() && !addNodesOfAgent(opt)) {
    std::fputs("zinnia-report: the agent can't be asked for nodes; check "
               "--agent and --key, or name the nodes by --node\n",
               stderr);
    return ExitCode::Unreachable;
  }
  if (opt.Nodes.empty()) {
    std::fputs("zinnia-report: no nodes; name them by --node or ask an agent "
               "by --agent\n",
               stderr);
    return ExitCode::Usage;
  }
  std::sort(opt.Nodes.begin(), opt.Nodes.end());
  opt.Nodes.erase(std::unique(opt.Nodes.begin(), opt.Nodes.end()),
                  opt.Nodes.end());
  const FleetReport rep = queryNodes(opt);
  std::fputs((opt.Json ? reportJson(rep) : reportText(rep)).c_str(), stdout);
  return rep.UnreachableNodes.empty() ? ExitCode::Ok : ExitCode::Unreachable;
}

} // namespace

int main(int argc, char **argv) {
  Options opt;
  const CommandLine line{
      "zinnia-report",
      "",
      "Reports service-level burn by tier and what became of version moves, "
      "in\n"
      "at most 20 lines of 60 columns. Burn 1 spends what the objective "
      "allows\n"
      "evenly. FAST BURN: 14.4 or more over 1 h and 5 min. SLOW BURN: 6 or\n"
      "more over 6 h and 30 min. The key may be given as ZINNIA_KEY in the\n"
      "environment instead.",
      {{"agent", "URL", "An agent's operator API, asked for the nodes",
        &opt.Agent},
       {"key", "KEY", "The operator's key, for the agent", &opt.Key},
       {"node", "IP:PORT", "A node's metrics address; may be given again",
        &opt.Nodes},
       {"timeout-ms", "MS", "For each node to answer", &opt.TimeoutMs},
       {"json", "", "Print JSON", &opt.Json}},
      {ExitCode::Ok, ExitCode::Usage, ExitCode::Unreachable}};
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  if (opt.Key.empty() && std::getenv(KeyVariable))
    opt.Key = std::getenv(KeyVariable);
  initHttpClient();
  return toInt(run(std::move(opt)));
}
