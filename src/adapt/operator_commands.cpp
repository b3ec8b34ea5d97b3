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

/// Longer than an agent tries to reach the platform for one approval.
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr int StatusOk = 200;
constexpr std::size_t ShortDigest = 12;

/// Words after a command that reads logs: a file for each front of a site that
/// is designed for, and its name.
constexpr std::size_t MostFiles = 1024;

using Words = std::span<const std::string>;

CommandResult refuse(ExitCode exit, std::string text) {
  text.push_back('\n');
  return {exit, {}, std::move(text)};
}

CommandResult print(std::string text) {
  return {ExitCode::Ok, std::move(text), {}};
}

/// An agent's answer: JSON, or the command's end.
struct AgentAnswer {
  json Body;
  std::string Text;
  std::optional<CommandResult> Failure;
};

ExitCode exitOf(int status) noexcept {
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

CommandResult failureOf(const HttpResponse &ans, const std::string &url) {
  const json body = json::parse(ans.Body, nullptr, false);
  if (!body.is_object())
    return refuse(ExitCode::Failed, "zinniactl: " + url + ": status " +
                                        std::to_string(ans.Status) +
                                        ": is --agent an operator_address?");
  std::string text = "zinniactl: " + body.value("step", std::string("?"));
  const std::string peer = body.value("peer", std::string());
  if (!peer.empty())
    text.append(" at ").append(peer);
  text.append(": ").append(body.value("title", std::string("failed")));
  text.append(": ").append(body.value("detail", std::string()));
  return refuse(exitOf(ans.Status), std::move(text));
}

AgentAnswer ask(const CommandOptions &opt, std::string_view method,
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
  AgentAnswer out;
  const auto ans =
      handleResult([&] { return httpCall(call); },
                   [](HttpResponse it) {
                     return std::optional<HttpResponse>(std::move(it));
                   },
                   [&](const Error &err) {
                     out.Failure =
                         refuse(ExitCode::Unreachable,
                                "zinniactl: " + describe(err) +
                                    ": does the agent run, and is --agent its "
                                    "operator_address?");
                     return std::optional<HttpResponse>();
                   });
  if (!ans)
    return out;
  if (ans->Status != StatusOk) {
    out.Failure = failureOf(*ans, url);
    return out;
  }
  out.Text = ans->Body;
  out.Body = json::parse(ans->Body, nullptr, false);
  if (out.Body.is_discarded())
    out.Failure =
        refuse(ExitCode::Failed, "zinniactl: " + url + ": no JSON answer");
  return out;
}

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

CommandResult noFile(const std::string &path) {
  return refuse(ExitCode::Usage, "zinniactl: " + path + ": can't be read");
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
    return noFile(path);
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
    return noFile(path);
  const ParsedBundle in = readBundle(0, *text);
  if (!in.Faults.empty())
    return {ExitCode::Usage, {}, faultsText(path, in)};
  const std::string query =
      opt.ParentVersion.empty() ? "" : "?parent=" + opt.ParentVersion;
  const AgentAnswer ans = ask(opt, "POST", "/v1/proposals" + query, *text);
  if (ans.Failure)
    return *ans.Failure;
  if (opt.Json)
    return print(ans.Text + "\n");
  const auto digest = ans.Body.at("digest").get<std::string>();
  return print("proposed on version " + ans.Body.at("parent").dump() +
               "\ndigest " + digest + "\nnext: zinniactl bundle approve " +
               digest + "\n");
}

CommandResult approve(const CommandOptions &opt, const std::string &digest) {
  const AgentAnswer ans = ask(opt, "POST", "/v1/approvals/" + digest);
  if (ans.Failure)
    return *ans.Failure;
  if (opt.Json)
    return print(ans.Text + "\n");
  return print("approved as version " + ans.Body.at("version").dump() + "\n");
}

CommandResult show(const CommandOptions &opt, const std::string &name) {
  const AgentAnswer ans = ask(opt, "GET", "/v1/bundles/" + name);
  if (ans.Failure)
    return *ans.Failure;
  return print(opt.Json ? ans.Text + "\n"
                        : ans.Body.at("text").get<std::string>());
}

/// The text of a file, or of the bundle that an agent knows by that name.
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
  const AgentAnswer ans = ask(opt, "GET", "/v1/history" + query);
  if (ans.Failure)
    return *ans.Failure;
  if (opt.Json)
    return print(ans.Text + "\n");
  std::string text;
  for (const json &it : ans.Body)
    text += it.at("version").dump() + "  " +
            it.at("digest").get<std::string>().substr(0, ShortDigest) + "  " +
            timeText(it.at("approved_ms").get<std::int64_t>()) +
            "  proposed by " + it.at("proposed_by").get<std::string>() +
            ", approved by " + it.at("approved_by").get<std::string>() + "\n";
  return print(text);
}

std::string moveLine(const json &move) {
  std::string text = "move " + move.at("name").get<std::string>() + ": " +
                     move.at("stage").get<std::string>() + ", share " +
                     move.at("share_permille").dump() + " of 1000";
  const auto why = move.at("evidence").get<std::string>();
  if (!why.empty())
    text += ": " + why;
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
  const AgentAnswer ans = ask(opt, "GET", "/v1/status");
  if (ans.Failure)
    return *ans.Failure;
  return print(opt.Json ? ans.Text + "\n" : statusText(ans.Body));
}

CommandResult moveStatus(const CommandOptions &opt, const std::string &name) {
  const AgentAnswer ans = ask(opt, "GET", "/v1/status");
  if (ans.Failure)
    return *ans.Failure;
  for (const json &m : ans.Body.at("moves"))
    if (m.at("name") == name)
      return print(opt.Json ? m.dump() + "\n" : moveLine(m));
  return refuse(ExitCode::Failed, "zinniactl: move at " +
                                      ans.Body.at("vm").get<std::string>() +
                                      ": not_found: no move is called " + name +
                                      ": see zinniactl status");
}

/// Posts to \p path and says \p done.
CommandResult order(const CommandOptions &opt, const std::string &path,
                    const std::string &done) {
  const AgentAnswer ans = ask(opt, "POST", path);
  if (ans.Failure)
    return *ans.Failure;
  return print(opt.Json ? ans.Text + "\n" : done + "\n");
}

/// One command: its words, how many more it takes, and what it does with them.
struct Command {
  std::vector<std::string> Name;
  std::size_t Least = 0;
  std::size_t Most = 0;
  CommandResult (*Run)(const CommandOptions &opt, Words args) = nullptr;
};

const std::vector<Command> &commands() {
  using Opt = const CommandOptions &;
  static const std::vector<Command> all = {
      {{"bundle", "check"},
       1,
       1,
       [](Opt o, Words w) { return checkFile(o, w[0]); }},
      {{"bundle", "propose"},
       1,
       1,
       [](Opt o, Words w) { return propose(o, w[0]); }},
      {{"bundle", "approve"},
       1,
       1,
       [](Opt o, Words w) { return approve(o, w[0]); }},
      {{"bundle", "show"},
       0,
       1,
       [](Opt o, Words w) { return show(o, w.empty() ? "head" : w[0]); }},
      {{"bundle", "diff"},
       1,
       2,
       [](Opt o, Words w) {
         return w.size() == 1 ? diff(o, "head", w[0]) : diff(o, w[0], w[1]);
       }},
      {{"bundle", "history"}, 0, 0, [](Opt o, Words) { return history(o); }},
      {{"status"}, 0, 0, [](Opt o, Words) { return status(o); }},
      {{"move", "status"},
       1,
       1,
       [](Opt o, Words w) { return moveStatus(o, w[0]); }},
      {{"move", "take-back"},
       1,
       1,
       [](Opt o, Words w) {
         return order(o, "/v1/take-backs/" + w[0], w[0] + " is taken back");
       }},
      {{"explain"}, 1, MostFiles, explainCall},
      {{"causes"}, 0, MostFiles, showCauses},
      {{"timeline"}, 1, MostFiles, showTimeline},
      {{"drain"},
       1,
       1,
       [](Opt o, Words w) {
         return order(o, "/v1/drains/" + w[0], w[0] + " gets no new requests");
       }},
  };
  return all;
}

} // namespace

CommandResult runCommand(const CommandOptions &opt, Words words) {
  for (const Command &cmd : commands()) {
    const std::size_t n = cmd.Name.size();
    if (words.size() < n ||
        !std::equal(cmd.Name.begin(), cmd.Name.end(), words.begin()))
      continue;
    const Words args = words.subspan(n);
    if (args.size() < cmd.Least || args.size() > cmd.Most)
      return refuse(ExitCode::Usage,
                    "zinniactl: wrong number of words: see zinniactl --help");
    try {
      return cmd.Run(opt, args);
    } catch (const json::exception &) {
      return refuse(ExitCode::Failed,
                    "zinniactl: the answer lacks a member: is the agent of "
                    "the same release?");
    }
  }
  return refuse(ExitCode::Usage,
                "zinniactl: unknown command: see zinniactl --help");
}

} // namespace zinniagauge
