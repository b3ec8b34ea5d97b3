// zinniactl: the command-line tool for operators.

#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/operator_commands.h"

#include <cstdio>
#include <cstdlib>

using namespace zinniagauge;

namespace {

/// Environment variable with the operator's key, used if --key is not given.
constexpr const char *KeyVariable = "ZINNIA_KEY";

constexpr const char *Summary =
    "Commands:\n"
    "  bundle check FILE          check a bundle's text; no agent is asked\n"
    "  bundle propose FILE        store it as a proposal; prints its digest\n"
    "  bundle approve DIGEST      put the proposal with this digest in force\n"
    "  bundle show [NAME]         print a text: head, a version or a digest\n"
    "  bundle diff [OLD] NEW      compare two; files or names; OLD: the head\n"
    "  bundle history             approved versions, newest first, and by "
    "whom\n"
    "  status                     this VM, its entry, members and moves\n"
    "  move status NAME           how far a version move is\n"
    "  move take-back NAME        end a version move by taking it back\n"
    "  drain ENDPOINT             give an endpoint no new requests\n"
    "Commands that read logs of fronts, from files or standard input:\n"
    "  explain CALL [FILE...]     how a call ended, and why\n"
    "  causes [FILE...]           how many calls ended by which cause\n"
    "  timeline NAME [FILE...]    what happened at a front or a back end\n"
    "The key may be given as ZINNIA_KEY in the environment instead.";

} // namespace

int main(int argc, char **argv) {
  CommandOptions opt;
  opt.AgentUrl = "http://127.0.0.1:18041";
  const CommandLine line{
      "zinniactl",
      "COMMAND ...",
      Summary,
      {{"agent", "URL", "An agent's operator API", &opt.AgentUrl},
       {"key", "KEY", "The operator's key", &opt.ApiKey},
       {"parent", "VERSION", "Propose on this head; else on the present one",
        &opt.ParentVersion},
       {"from", "MS", "Start of a timeline, as a line's ms", &opt.FromMs},
       {"to", "MS", "End of a timeline", &opt.ToMs},
       {"limit", "N", "How much history to print", &opt.HistoryLimit},
       {"json", "", "Print JSON", &opt.Json}},
      {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage, ExitCode::Unreachable,
       ExitCode::Conflict}};
  const ParsedCommand cmd = parseCommandLine(line, argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  if (opt.ApiKey.empty() && std::getenv(KeyVariable))
    opt.ApiKey = std::getenv(KeyVariable);
  initHttpClient();
  const CommandResult res = runCommand(opt, cmd.Arguments);
  std::fputs(res.StandardOutput.c_str(), stdout);
  std::fputs(res.StandardError.c_str(), stderr);
  return toInt(res.Exit);
}
