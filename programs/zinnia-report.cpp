// zinnia-report: how fast each tier spends the failures that its objective
// allows, and what became of version moves, over all nodes.

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

constexpr const char *KeyVariable = "ZINNIA_KEY";

/// Nodes that are asked at a time.
constexpr std::size_t QueryThreads = 8;

constexpr int Ok = 200;

/// What the command line says.
struct Options {
  std::string Agent;
  std::string Key;
  std::vector<std::string> Nodes;
  std::uint64_t TimeoutMs = 2000;
  bool Json = false;
};

/// Gets \p url; nothing, with the error on standard error, if that fails.
std::optional<std::string> get(const Options &opt, const std::string &url,
                               std::span<const HttpHeader> headers) {
  HttpCall call;
  call.Url = url;
  call.Headers = headers;
  call.Timeout = std::chrono::milliseconds(opt.TimeoutMs);
  call.ErrorStep = Step::Exchange;
  return handleResult([&] { return httpCall(call); },
                      [&](HttpResponse ans) -> std::optional<std::string> {
                        if (ans.Status == Ok)
                          return std::move(ans.Body);
                        std::fprintf(stderr, "zinnia-report: %s: status %d\n",
                                     url.c_str(), ans.Status);
                        return std::nullopt;
                      },
                      [](const Error &err) -> std::optional<std::string> {
                        std::fprintf(stderr, "zinnia-report: %s\n",
                                     describe(err).c_str());
                        return std::nullopt;
                      });
}

/// Adds the metrics addresses of all members that the agent knows; false if it
/// can't be asked.
bool queryAgent(Options &opt) {
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

std::optional<NodeReport> queryNode(const Options &opt, const std::string &at) {
  const auto text = get(opt, "http://" + at + "/burn", {});
  if (!text)
    return std::nullopt;
  return handleResult(
      [&] { return decodeBurn(*text); },
      [](NodeReport node) { return std::optional(std::move(node)); },
      [&](const Error &err) -> std::optional<NodeReport> {
        std::fprintf(stderr, "zinnia-report: %s: %s\n", at.c_str(),
                     describe(err).c_str());
        return std::nullopt;
      });
}

FleetReport queryNodes(const Options &opt) {
  std::vector<std::optional<NodeReport>> answers(opt.Nodes.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < answers.size(); i = next++)
      answers[i] = queryNode(opt, opt.Nodes[i]);
  };
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(QueryThreads, answers.size()); ++i)
      threads.emplace_back(work);
  }
  std::vector<NodeReport> nodes;
  std::vector<std::string> missed;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (answers[i])
      nodes.push_back(std::move(*answers[i]));
    else
      missed.push_back(opt.Nodes[i]);
  }
  return mergeReports(nodes, missed);
}

ExitCode run(Options opt) {
  if (!opt.Agent.empty() && !queryAgent(opt)) {
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
