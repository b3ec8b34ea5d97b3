// Runs zinniactl's commands by calls to the operator API of an agent, and
// formats the responses.

#include "zinniagauge/adapt/operator_commands.h"

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/log_commands.h"
#include "zinniagauge/decide/text_diff.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <iterator>
#include <optional>

namespace zinniagauge {

using nlohmann::json;

namespace {

/// Longer than an agent retries an approval at the platform, so that its
/// response still arrives.
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr int StatusOk = 200;
constexpr std::size_t ShortDigestChars = 12;

/// Maximum number of arguments of a command that reads logs: the name to look
/// up and one log file for each front of the largest supported site.
constexpr std::size_t MaxLogArguments = 1024;

using Arguments = std::span<const std::string>;

CommandResult makeError(ExitCode exit, std::string text) {
  text.push_back('\n');
  return {exit, {}, std::move(text)};
}

CommandResult print(std::string text) {
  return {ExitCode::Ok, std::move(text), {}};
}

/// An agent's response, or the result that ends the command if the call failed.
struct AgentResponse {
  json Body;
  std::string Text;
  std::optional<CommandResult> Failure;
};

ExitCode exitCodeOf(int status) noexcept {
  switch (status) {
  case 400:
    return ExitCode::Usage;
  case 409:
    return ExitCode::Conflict;
  case 503:
  case 504:
    return ExitCode::Unreachable;
  default:
    return ExitCode::Failed;
  }
}

CommandResult failureOf(const HttpResponse &res, const std::string &url) {
  const json body = json::parse(res.Body, nullptr, false);
  if (!body.is_object())
    return makeError(ExitCode::Failed, "zinniactl: " + url + ": status " +
                                           std::to_string(res.Status) +
                                           ": is --agent an operator_address?");
  std::string text = "zinniactl: " + body.value("step", std::string("?"));
  const std::string peer = body.value("peer", std::string());
  if (!peer.empty())
    text.append(" at ").append(peer);
  text.append(": ").append(body.value("title", std::string("failed")));
  text.append(": ").append(body.value("detail", std::string()));
  return makeError(exitCodeOf(res.Status), std::move(text));
}

AgentResponse callAgent(const CommandOptions &opt, std::string_view method,
                        std::string_view path, std::string_view body = {}) {
  std::string url = opt.AgentUrl;
  url.append(path);
  const HttpHeader auth{"Authorization", "Bearer " + opt.ApiKey};
  HttpCall call;
  call.Method = method;
  call.Url = url;
  call.Headers = {&auth, 1};
  call.Body = body;
  call.Timeout = CallTimeout;
  call.ErrorStep = Step::Connect;
  AgentResponse out;
  const auto res = handleResult(
      [&] { return httpCall(call); },
      [](HttpResponse it) {
        return std::optional<HttpResponse>(std::move(it));
      },
      [&](const Error &err) {
        out.Failure = makeError(ExitCode::Unreachable,
                                "zinniactl: " + describe(err) +
                                    ": does the agent run, and is --agent its "
                                    "operator_address?");
        return std::optional<HttpResponse>();
      });
  if (!res)
    return out;
  if (res->Status != StatusOk) {
    out.Failure = failureOf(*res, url);
    return out;
  }
  out.Text = res->Body;
  out.Body = json::parse(res->Body, nullptr, false);
  if (out.Body.is_discarded())
    out.Failure =
        makeError(ExitCode::Failed, "zinniactl: " + url + ": no JSON answer");
  return out;
}

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

CommandResult unreadableFile(const std::string &path) {
  return makeError(ExitCode::Usage, "zinniactl: " + path + ": can't be read");
}

std::string timeText(std::int64_t ms) {
  const auto t = static_cast<std::time_t>(ms / 1000);
  std::tm tm{};
  ::gmtime_r(&t, &tm);
  std::array<char, 32> buf{};
  const std::size_t n =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &tm);
  return {buf.data(), n};
}

std::string faultsText(const std::string &path, const ParsedBundle &in) {
  std::string text;
  for (const BundleFault &f : in.Faults)
    text.append(path).append(": ").append(describe({&f, 1})).append("\n");
  return text;
}

CommandResult checkFile(const CommandOptions &opt, const std::string &path) {
  const auto text = readFile(path);
  if (!text)
    return unreadableFile(path);
  const ParsedBundle in = readBundle(0, *text);
  if (!in.Faults.empty())
    return {ExitCode::Usage, {}, faultsText(path, in)};
  const Bundle &b = in.Value;
  if (opt.Json)
    return print(json{{"digest", b.Digest}}.dump() + "\n");
  return print("whole: " + std::to_string(b.Tiers.size()) + " tiers, " +
               std::to_string(b.Workspaces.size()) + " workspaces, " +
               std::to_string(b.Endpoints.size()) + " endpoints, " +
               std::to_string(b.Moves.size()) + " moves\ndigest " + b.Digest +
               "\n");
}

CommandResult propose(const CommandOptions &opt, const std::string &path) {
  const auto text = readFile(path);
  if (!text)
    return unreadableFile(path);
  const ParsedBundle in = readBundle(0, *text);
  if (!in.Faults.empty())
    return {ExitCode::Usage, {}, faultsText(path, in)};
  const std::string query =
      opt.ParentVersion.empty() ? "" : "?parent=" + opt.ParentVersion;
  const AgentResponse res =
      callAgent(opt, "POST", "/v1/proposals" + query, *text);
  if (res.Failure)
    return *res.Failure;
  if (opt.Json)
    return print(res.Text + "\n");
  const auto digest = res.Body.at("digest").get<std::string>();
  return print("proposed on version " + res.Body.at("parent").dump() +
               "\ndigest " + digest + "\nnext: zinniactl bundle approve " +
               digest + "\n");
}

CommandResult approve(const CommandOptions &opt, const std::string &digest) {
  const AgentResponse res = callAgent(opt, "POST", "/v1/approvals/" + digest);
  if (res.Failure)
    return *res.Failure;
  if (opt.Json)
    return print(res.Text + "\n");
  return print("approved as version " + res.Body.at("version").dump() + "\n");
}

CommandResult show(const CommandOptions &opt, const std::string &name) {
  const AgentResponse res = callAgent(opt, "GET", "/v1/bundles/" + name);
  if (res.Failure)
    return *res.Failure;
  return print(opt.Json ? res.Text + "\n"
                        : res.Body.at("text").get<std::string>());
}

/// The text of the file \p name or, if there is none, of the bundle that the
/// agent stores under that name.
CommandResult textOf(const CommandOptions &opt, const std::string &name) {
  const auto text = readFile(name);
  if (text)
    return print(*text);
  CommandOptions plain = opt;
  plain.Json = false;
  return show(plain, name);
}

CommandResult diff(const CommandOptions &opt, const std::string &before,
                   const std::string &after) {
  CommandResult a = textOf(opt, before);
  if (a.Exit != ExitCode::Ok)
    return a;
  CommandResult b = textOf(opt, after);
  if (b.Exit != ExitCode::Ok)
    return b;
  std::string text;
  json list = json::array();
  for (const DiffLine &it : diffLines(a.StandardOutput, b.StandardOutput)) {
    if (it.Kind == DiffKind::Unchanged)
      continue;
    const char *mark = it.Kind == DiffKind::Added ? "+" : "-";
    text.append(mark).append(it.Text).append("\n");
    list.push_back({{"mark", mark}, {"line", it.Text}});
  }
  return print(opt.Json ? list.dump() + "\n" : text);
}

CommandResult history(const CommandOptions &opt) {
  const std::string query =
      opt.HistoryLimit.empty() ? "" : "?limit=" + opt.HistoryLimit;
  const AgentResponse res = callAgent(opt, "GET", "/v1/history" + query);
  if (res.Failure)
    return *res.Failure;
  if (opt.Json)
    return print(res.Text + "\n");
  std::string text;
  for (const json &it : res.Body)
    text += it.at("version").dump() + "  " +
            it.at("digest").get<std::string>().substr(0, ShortDigestChars) +
            "  " + timeText(it.at("approved_ms").get<std::int64_t>()) +
            "  proposed by " + it.at("proposed_by").get<std::string>() +
            ", approved by " + it.at("approved_by").get<std::string>() + "\n";
  return print(text);
}

std::string moveLine(const json &move) {
  std::string text = "move " + move.at("name").get<std::string>() + ": " +
                     move.at("stage").get<std::string>() + ", share " +
                     move.at("share_permille").dump() + " of 1000";
  const auto evidence = move.at("evidence").get<std::string>();
  if (!evidence.empty())
    text += ": " + evidence;
  return text + "\n";
}

std::string statusText(const json &st) {
  const json &entry = st.at("entry");
  std::string text =
      st.at("vm").get<std::string>() + " in " +
      st.at("zone").get<std::string>() + ": bundle version " +
      st.at("bundle_version").dump() + "\nplatform's table: " +
      (st.at("table_reached").get<bool>() ? "answers" : "does not answer") +
      "\nentry: " +
      (entry.at("reached").get<bool>()
           ? "bundle version " + entry.at("bundle_version").dump() + ", " +
                 entry.at("in_progress").dump() + " requests in progress"
           : "not reached") +
      "\n";
  text += "endpoints: " + st.at("leaving").dump() + " leaving, " +
          st.at("draining").dump() + " draining\n";
  for (const json &m : st.at("members"))
    text += "member " + m.at("name").get<std::string>() + " in " +
            m.at("zone").get<std::string>() + ": " +
            m.at("state").get<std::string>() + ", bundle version " +
            m.at("bundle_version").dump() + "\n";
  for (const json &m : st.at("moves"))
    text += moveLine(m);
  return text;
}

CommandResult status(const CommandOptions &opt) {
  const AgentResponse res = callAgent(opt, "GET", "/v1/status");
  if (res.Failure)
    return *res.Failure;
  return print(opt.Json ? res.Text + "\n" : statusText(res.Body));
}

CommandResult moveStatus(const CommandOptions &opt, const std::string &name) {
  const AgentResponse res = callAgent(opt, "GET", "/v1/status");
  if (res.Failure)
    return *res.Failure;
  for (const json &m : res.Body.at("moves"))
    if (m.at("name") == name)
      return print(opt.Json ? m.dump() + "\n" : moveLine(m));
  return makeError(ExitCode::Failed, "zinniactl: move at " +
                                         res.Body.at("vm").get<std::string>() +
                                         ": not_found: no move is called " +
                                         name + ": see zinniactl status");
}

/// Sends a POST request to \p path and prints \p done if it succeeds.
CommandResult postAction(const CommandOptions &opt, const std::string &path,
                         const std::string &done) {
  const AgentResponse res = callAgent(opt, "POST", path);
  if (res.Failure)
    return *res.Failure;
  return print(opt.Json ? res.Text + "\n" : done + "\n");
}

/// One command: its name, the number of arguments it accepts, and its function.
struct Command {
  std::vector<std::string> Name;
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  CommandResult (*Run)(const CommandOptions &opt, Arguments args) = nullptr;
};

const std::vector<Command> &commands() {
  using Opt = const CommandOptions &;
  static const std::vector<Command> all = {
      {{"bundle", "check"},
       1,
       1,
       [](Opt o, Arguments w) { return checkFile(o, w[0]); }},
      {{"bundle", "propose"},
       1,
       1,
       [](Opt o, Arguments w) { return propose(o, w[0]); }},
      {{"bundle", "approve"},
       1,
       1,
       [](Opt o, Arguments w) { return approve(o, w[0]); }},
      {{"bundle", "show"},
       0,
       1,
       [](Opt o, Arguments w) { return show(o, w.empty() ? "head" : w[0]); }},
      {{"bundle", "diff"},
       1,
       2,
       [](Opt o, Arguments w) {
         return w.size() == 1 ? diff(o, "head", w[0]) : diff(o, w[0], w[1]);
       }},
      {{"bundle", "history"},
       0,
       0,
       [](Opt o, Arguments) { return history(o); }},
      {{"status"}, 0, 0, [](Opt o, Arguments) { return status(o); }},
      {{"move", "status"},
       1,
       1,
       [](Opt o, Arguments w) { return moveStatus(o, w[0]); }},
      {{"move", "take-back"},
       1,
       1,
       [](Opt o, Arguments w) {
         return postAction(o, "/v1/take-backs/" + w[0],
                           w[0] + " is taken back");
       }},
      {{"explain"}, 1, MaxLogArguments, explainCall},
      {{"causes"}, 0, MaxLogArguments, showCauses},
      {{"timeline"}, 1, MaxLogArguments, showTimeline},
      {{"drain"},
       1,
       1,
       [](Opt o, Arguments w) {
         return postAction(o, "/v1/drains/" + w[0],
                           w[0] + " gets no new requests");
       }},
  };
  return all;
}

} // namespace

CommandResult runCommand(const CommandOptions &opt, Arguments args) {
  for (const Command &cmd : commands()) {
    const std::size_t n = cmd.Name.size();
    if (args.size() < n ||
        !std::equal(cmd.Name.begin(), cmd.Name.end(), args.begin()))
      continue;
    const Arguments rest = args.subspan(n);
    if (rest.size() < cmd.MinArguments || rest.size() > cmd.MaxArguments)
      return makeError(
          ExitCode::Usage,
          "zinniactl: wrong number of words: see zinniactl --help");
    try {
      return cmd.Run(opt, rest);
    } catch (const json::exception &) {
      return makeError(ExitCode::Failed,
                       "zinniactl: the answer lacks a member: is the agent of "
                       "the same release?");
    }
  }
  return makeError(ExitCode::Usage,
                   "zinniactl: unknown command: see zinniactl --help");
}

} // namespace zinniagauge
