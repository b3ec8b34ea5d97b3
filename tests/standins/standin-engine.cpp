// A stand-in for both kinds of endpoint, for tests, benchmarks and the demo: an
// engine that batches, streams, caches prompt prefixes and reports its load
// with a lag, or a plain service that counts its runs. Faults are set over
// HTTP.
#include "zinniagauge/adapt/command_line.h"
#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/adapt/settings.h"
#include "zinniagauge/board/ids.h"
#include "zinniagauge/time/timer_service.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

using namespace zinniagauge;
using nlohmann::json;

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t BlockTokens = 32; // Per block of the prefix cache.
constexpr std::size_t MaxLabelBytes = 24;
constexpr std::uint32_t DefaultOutputTokens = 16;
constexpr std::uint32_t MaxOutputTokens = 100'000;
constexpr std::size_t MaxCountedIds = 1'000'000;
constexpr std::size_t MaxResumableStreams = 4096;
constexpr Duration TickPeriod = std::chrono::milliseconds(2);
constexpr Duration MinLoadSampleInterval = std::chrono::milliseconds(5);

/// The options of the command line.
struct Options {
  std::string Listen = "127.0.0.1:0";
  std::string Kind = "engine";
  std::string Version = "v1";
  std::uint64_t Slots = 8;
  std::uint64_t TokensPerSecond = 0;
  std::uint64_t PrefillPerSecond = 0;
  std::uint64_t CacheTokens = 100'000;
  std::uint64_t LoadLagMs = 500;
  std::uint64_t ServiceMs = 0;
  std::uint64_t SwitchMs = 0;
  std::uint64_t Threads = 2;
  bool ChecksFencing = false;
};

/// The faults that POST /faults sets. Each POST replaces all of them.
struct Faults {
  std::uint64_t FailEvery = 0; // Every nth request fails; 1: all; 0: none.
  int FailStatus = 500;
  double SlowFactor = 1;
  std::uint64_t FirstTokenDelayMs = 0;
  std::uint64_t CutAfterBytes = 0; // Of the response body; 0: not cut.
  bool Silent = false;             // Accepts requests but never responds.
  bool SilentControl = false;      // Never responds to status and load.
  bool SilentOpen = false; // Never responds on connections open when set.
  bool Refuse = false;     // Refuses requests before running them.
  bool Leaving = false;
  std::string Path;                // Only for paths with this prefix.
  std::string Version;             // Only while this version runs.
  std::uint64_t AboveRunning = 0;  // Only if more run, the new one included.
  std::uint64_t AfterRequests = 0; // Only after this many more requests.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Faults, FailEvery, FailStatus,
                                                SlowFactor, FirstTokenDelayMs,
                                                CutAfterBytes, Silent,
                                                SilentControl, SilentOpen,
                                                Refuse, Leaving, Path, Version,
                                                AboveRunning, AfterRequests)

/// One request that is running.
struct Job {
  HttpRequest Request;
  HttpResponder Reply;
  std::string Id = {};
  std::string Model = {};
  std::string Version = {}; // The version that runs it.
  std::string Label = {};   // Prefix of each token; distinguishes responses.
  bool Chat = false;
  bool Stream = false;
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
  std::uint32_t Sent = 0; // Tokens written, or skipped by a resume.
  std::size_t Skip = 0;   // Bytes still to skip after a resume.
  std::optional<std::uint64_t> ResumedAt = {}; // Byte offset in the stream.
  double PrefillLeft = 0;                      // Tokens.
  double Generated = 0;                        // Tokens.
  Time StartAt = {};                           // Earliest start.
  double Slowness = 1;
  std::uint64_t CutAfter = 0; // Bytes of the response; 0: not cut.
  std::uint64_t Written = 0;  // Bytes.
  bool Started = false;       // The response head has been sent.
};

/// What is needed to resume a broken stream with the same bytes.
struct StreamRecord {
  std::string Version;
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
};

/// The load at one point in time.
struct LoadSample {
  Time At;
  std::size_t Running = 0;
  std::uint64_t Tokens = 0;
};

/// Number of runs by name.
using RunCounts = std::unordered_map<std::string, std::uint64_t>;

/// An LRU cache of the blocks of prompt tokens that were prefilled.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t tokens) : MaxBlocks(tokens / BlockTokens) {}

  /// Returns how many tokens at the start of \p text are cached, then caches
  /// all of its blocks.
  std::uint32_t use(std::string_view text) {
    constexpr std::size_t BlockBytes = BlockTokens * BytesPerToken;
    std::uint32_t hit = 0;
    bool missed = false;
    std::uint64_t chain = 0;
    for (std::size_t at = 0; at + BlockBytes <= text.size(); at += BlockBytes) {
      chain = chain * 31 + nameHash(text.substr(at, BlockBytes));
      missed = !touch(chain) || missed;
      hit += missed ? 0 : BlockTokens;
    }
    return hit;
  }

private:
  /// Whether \p block was cached; makes it the most recently used.
  bool touch(std::uint64_t block) {
    const auto it = Positions.find(block);
    const bool cached = it != Positions.end();
    if (cached)
      Order.erase(it->second);
    Order.push_front(block);
    Positions[block] = Order.begin();
    if (Order.size() > MaxBlocks) {
      Positions.erase(Order.back());
      Order.pop_back();
    }
    return cached;
  }

  std::size_t MaxBlocks;
  std::list<std::uint64_t> Order; // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      Positions;
};

/// The whole state; its mutex guards all of it.
struct Engine {
  explicit Engine(Options opt)
      : Opt(std::move(opt)), Version(Opt.Version), Cache(Opt.CacheTokens) {}

  const Options Opt;
  const bool IsEngine = Opt.Kind == "engine";
  const std::int64_t Incarnation = wallNow().time_since_epoch().count();
  std::mutex Mutex;
  std::string Version;
  std::uint64_t FencingToken = 0; // The highest received.
  Faults CurrentFaults;
  std::uint64_t SinceFaults = 0;      // Requests since the faults were set.
  std::uint64_t NextConnectionId = 0; // Above all that were used.
  std::uint64_t SilentBefore = 0;     // Connections below it get no response.
  std::map<std::uint64_t, Job> Jobs;
  std::uint64_t NextJob = 1;
  std::vector<Job> SilentJobs; // Kept open, never answered.
  std::deque<LoadSample> Loads;
  PrefixCache Cache;
  std::unordered_map<std::string, StreamRecord> Resumable; // By request id.
  std::uint64_t Runs = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t Cancelled = 0;
  RunCounts ByRequest;
  RunCounts ByKey;
  bool Ticking = false;
  Time LastTick;
  TimerId TickTimer;
  TimerService Timers;
};

const std::vector<HttpHeader> JsonType = {{"Content-Type", "application/json"}};

void sendJson(HttpResponder &reply, int status, const json &body) {
  reply.send(status, JsonType, body.dump());
}

void sendNotRun(HttpResponder &reply, int status, std::string_view why) {
  const std::vector<HttpHeader> headers = {{"Content-Type", "application/json"},
                                           {"Zinnia-Not-Run", "1"}};
  reply.send(status, headers, json{{"error", why}}.dump());
}

/// Records the load at \p now, and drops samples that are older than the lag
/// needs.
void recordLoad(Engine &eng, Time now) {
  LoadSample load{now, eng.Jobs.size(), 0};
  for (const auto &[id, job] : eng.Jobs)
    load.Tokens += job.PromptTokens + job.OutputTokens;
  if (!eng.Loads.empty() && now - eng.Loads.back().At < MinLoadSampleInterval) {
    load.At = eng.Loads.back().At;
    eng.Loads.pop_back();
  }
  eng.Loads.push_back(load);
  const Duration lag = std::chrono::milliseconds(eng.Opt.LoadLagMs);
  while (eng.Loads.size() > 1 && eng.Loads[1].At <= now - lag)
    eng.Loads.pop_front();
}

std::string tokenAt(const Job &job, std::uint32_t n) {
  return job.Label + ":" + std::to_string(n) + " ";
}

json usageOf(const Job &job) {
  return {{"prompt_tokens", job.PromptTokens},
          {"completion_tokens", job.OutputTokens},
          {"total_tokens", job.PromptTokens + job.OutputTokens},
          {"prompt_tokens_details", {{"cached_tokens", job.CachedTokens}}}};
}

json responseFields(const Job &job, std::string_view object) {
  return {{"id", job.Id},
          {"object", object},
          {"model", job.Model},
          {"system_fingerprint", job.Version}};
}

std::string modelResponse(const Job &job) {
  std::string text;
  for (std::uint32_t n = 0; n < job.OutputTokens; ++n)
    text += tokenAt(job, n);
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (job.Chat)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  json body =
      responseFields(job, job.Chat ? "chat.completion" : "text_completion");
  body["choices"] = json::array({choice});
  body["usage"] = usageOf(job);
  return body.dump();
}

std::string serviceResponse(const Job &job) {
  return json{{"path", job.Request.Path},
              {"request_id", job.Id},
              {"version", job.Version},
              {"body_bytes", job.Request.Body.size()},
              {"label", job.Label}}
      .dump();
}

std::string event(const json &body) { return "data: " + body.dump() + "\n\n"; }

std::string tokenEvent(const Job &job, std::uint32_t n) {
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (job.Chat)
    choice["delta"] = {{"content", tokenAt(job, n)}};
  else
    choice["text"] = tokenAt(job, n);
  json body = responseFields(job, job.Chat ? "chat.completion.chunk"
                                           : "text_completion");
  body["choices"] = json::array({choice});
  return event(body);
}

std::string lastEvents(const Job &job) {
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (job.Chat)
    choice["delta"] = json::object();
  else
    choice["text"] = "";
  json body = responseFields(job, job.Chat ? "chat.completion.chunk"
                                           : "text_completion");
  body["choices"] = json::array({choice});
  body["usage"] = usageOf(job);
  return event(body) + "data: [DONE]\n\n";
}

std::vector<HttpHeader> responseHeaders(const Job &job) {
  std::vector<HttpHeader> out = {
      {"Content-Type", job.Stream ? "text/event-stream" : "application/json"},
      {"Zinnia-Version", job.Version},
      {"Zinnia-Request-Id", job.Id}};
  if (job.ResumedAt)
    out.push_back({"Zinnia-Resume-Offset", std::to_string(*job.ResumedAt)});
  return out;
}

/// Writes a part of the response, up to the byte at which it is to be cut;
/// false if the response was cut or the caller has disconnected.
bool writePart(Job &job, std::string_view part) {
  const bool cut = job.CutAfter && job.Written + part.size() >= job.CutAfter;
  if (cut)
    part = part.substr(0, job.CutAfter - job.Written);
  job.Written += part.size();
  const bool connected = part.empty() || bool(job.Reply.write(part));
  if (cut)
    job.Reply.abort();
  return connected && !cut;
}

/// Sends the response head unless it was sent; false if the caller has
/// disconnected.
bool startStream(Job &job) {
  if (job.Started)
    return true;
  job.Started = true;
  return bool(job.Reply.start(200, responseHeaders(job)));
}

/// Sends the tokens that were generated since the last call; true if the job
/// has ended.
bool streamTokens(Job &job) {
  const auto generated =
      std::min(static_cast<std::uint32_t>(job.Generated), job.OutputTokens);
  std::string part;
  for (; job.Sent < generated; ++job.Sent)
    part += tokenEvent(job, job.Sent);
  const bool whole = generated == job.OutputTokens;
  if (whole)
    part += lastEvents(job);
  const std::size_t skipped = std::min(job.Skip, part.size());
  job.Skip -= skipped;
  part.erase(0, skipped);
  if (part.empty() && !whole)
    return false;
  if (!startStream(job) || !writePart(job, part))
    return true;
  if (whole)
    job.Reply.end();
  return whole;
}

/// Sends a response that isn't a stream.
void sendResponse(const Engine &eng, Job &job) {
  const std::string body =
      eng.IsEngine ? modelResponse(job) : serviceResponse(job);
  if (!job.CutAfter) {
    job.Reply.send(200, responseHeaders(job), body);
    return;
  }
  if (startStream(job) && writePart(job, body))
    job.Reply.end();
}

/// Sends what is ready of the response of \p job; true if the job has ended.
bool sendReady(const Engine &eng, Job &job) {
  if (job.Stream)
    return streamTokens(job);
  if (job.Generated < job.OutputTokens)
    return false;
  sendResponse(eng, job);
  return true;
}

/// Tokens per second that one job generates while \p running jobs share the
/// engine: full speed up to the number of slots, an equal share beyond.
double speedOf(const Engine &eng, std::size_t running) {
  const auto slots =
      static_cast<double>(std::max<std::uint64_t>(eng.Opt.Slots, 1));
  const double share = std::min(1.0, slots / static_cast<double>(running));
  return static_cast<double>(eng.Opt.TokensPerSecond) * share;
}

/// Advances \p job by \p secs seconds, with \p prefill and \p speed in tokens
/// per second.
void advance(const Engine &eng, Job &job, double secs, double prefill,
             double speed) {
  secs /= job.Slowness;
  if (job.PrefillLeft > 0 && eng.Opt.PrefillPerSecond) {
    const double used = std::min(secs, job.PrefillLeft / prefill);
    job.PrefillLeft -= prefill * secs;
    secs -= used;
  }
  job.Generated = eng.Opt.TokensPerSecond ? job.Generated + speed * secs
                                          : double(job.OutputTokens);
}

/// Erases the jobs for which \p ended, called once for each, is true; returns
/// their number.
template <typename Fn> std::size_t eraseJobs(Engine &eng, Fn ended) {
  const std::size_t before = eng.Jobs.size();
  for (auto it = eng.Jobs.begin(); it != eng.Jobs.end();)
    it = ended(it->second) ? eng.Jobs.erase(it) : std::next(it);
  return before - eng.Jobs.size();
}

void stopTickingIfIdle(Engine &eng) {
  if (!eng.Jobs.empty())
    return;
  eng.Ticking = false;
  eng.Timers.cancel(eng.TickTimer);
}

/// Advances all jobs to \p now. Called on the timer's thread.
void tick(Engine &eng, Time now) {
  const std::lock_guard lk(eng.Mutex);
  if (!eng.Ticking)
    return;
  const double secs = std::chrono::duration<double>(now - eng.LastTick).count();
  eng.LastTick = now;
  const double speed = speedOf(eng, eng.Jobs.size());
  const auto prefilling =
      std::count_if(eng.Jobs.begin(), eng.Jobs.end(),
                    [](const auto &it) { return it.second.PrefillLeft > 0; });
  const double prefill = static_cast<double>(eng.Opt.PrefillPerSecond) /
                         static_cast<double>(std::max<long>(prefilling, 1));
  eraseJobs(eng, [&](Job &job) {
    if (job.StartAt > now)
      return false;
    advance(eng, job, secs, prefill, speed);
    return job.PrefillLeft <= 0 && sendReady(eng, job);
  });
  recordLoad(eng, now);
  stopTickingIfIdle(eng);
}

void startTicking(Engine &eng, Time now) {
  if (eng.Ticking)
    return;
  eng.Ticking = true;
  eng.LastTick = now;
  eng.TickTimer =
      eng.Timers.every(TickPeriod, [&eng](Time at) { tick(eng, at); });
}

/// Whether the conditions of the faults hold for a request to \p path.
bool faultsApply(const Engine &eng, std::string_view path) {
  const Faults &f = eng.CurrentFaults;
  return path.starts_with(f.Path) &&
         (f.Version.empty() || f.Version == eng.Version) &&
         eng.SinceFaults > f.AfterRequests && eng.Jobs.size() >= f.AboveRunning;
}

void countRun(Engine &eng, const Job &job) {
  ++eng.Runs;
  if (eng.ByRequest.size() < MaxCountedIds)
    ++eng.ByRequest[job.Id];
  const std::string_view key = job.Request.header("Idempotency-Key");
  if (!key.empty() && eng.ByKey.size() < MaxCountedIds)
    ++eng.ByKey[std::string(key)];
}

/// The prompt of \p body; for a chat, the contents of all its messages.
std::string promptOf(const json &body) {
  if (body.contains("prompt"))
    return body.at("prompt").get<std::string>();
  std::string text;
  for (const json &it : body.at("messages"))
    text += it.at("content").get<std::string>() + "\n";
  return text;
}

/// The last word of \p prompt, cut to its last MaxLabelBytes.
std::string labelOf(std::string_view prompt) {
  while (!prompt.empty() && (prompt.back() == '\n' || prompt.back() == ' '))
    prompt.remove_suffix(1);
  const auto from = prompt.find_last_of(" \n");
  if (from != std::string_view::npos)
    prompt.remove_prefix(from + 1);
  if (prompt.size() > MaxLabelBytes)
    prompt.remove_prefix(prompt.size() - MaxLabelBytes);
  return std::string(prompt);
}

std::uint32_t outputLimit(const json &body) {
  const auto from = body.contains("max_completion_tokens")
                        ? "max_completion_tokens"
                        : "max_tokens";
  const auto n = body.value(from, std::int64_t{DefaultOutputTokens});
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(n, 1, MaxOutputTokens));
}

/// Reads a model request into \p job. If it is invalid, sends an error and
/// returns false.
bool readModelRequest(Engine &eng, Job &job) {
  const json body = json::parse(job.Request.Body, nullptr, false);
  if (!body.is_object()) {
    sendNotRun(job.Reply, 400, "the body is no JSON object");
    return false;
  }
  try {
    const std::string prompt = promptOf(body);
    job.Model = body.value("model", "");
    job.Stream = body.value("stream", false);
    job.OutputTokens = outputLimit(body);
    job.PromptTokens =
        static_cast<std::uint32_t>(prompt.size() / BytesPerToken + 1);
    job.CachedTokens = eng.Cache.use(prompt);
    job.PrefillLeft = eng.Opt.PrefillPerSecond
                          ? double(job.PromptTokens) - job.CachedTokens
                          : 0;
    job.Label = labelOf(prompt);
  } catch (const json::exception &ex) {
    sendNotRun(job.Reply, 400, ex.what());
    return false;
  }
  return true;
}

void readServiceRequest(const Engine &eng, Job &job) {
  job.OutputTokens = 1;
  job.Label = labelOf(job.Request.Body.substr(0, MaxLabelBytes));
  job.StartAt += std::chrono::milliseconds(eng.Opt.ServiceMs);
}

/// Makes \p job continue its stream at byte \p offset.
void skipTo(Job &job, std::uint64_t offset) {
  job.ResumedAt = offset;
  job.PrefillLeft = 0;
  while (job.Sent < job.OutputTokens) {
    const std::size_t n = tokenEvent(job, job.Sent).size();
    if (n > offset)
      break;
    offset -= n;
    ++job.Sent;
  }
  job.Skip = offset;
  job.Generated = job.Sent;
}

/// Resumes a stream if the request has a resume offset. If the stream is
/// unknown, sends an error and returns false.
bool readResume(Engine &eng, Job &job) {
  const std::string text(job.Request.header("Zinnia-Resume-Offset"));
  if (text.empty())
    return true;
  const auto it = eng.Resumable.find(job.Id);
  if (it == eng.Resumable.end()) {
    sendNotRun(job.Reply, 404, "no such stream to resume");
    return false;
  }
  job.Version = it->second.Version;
  job.PromptTokens = it->second.PromptTokens;
  job.CachedTokens = it->second.CachedTokens;
  job.OutputTokens = it->second.OutputTokens;
  skipTo(job, std::strtoull(text.c_str(), nullptr, 10));
  ++eng.Resumes;
  return true;
}

/// Applies the faults to \p job; false if it was failed with an error.
bool applyFaults(Engine &eng, Job &job) {
  const Faults &f = eng.CurrentFaults;
  if (!faultsApply(eng, job.Request.Path))
    return true;
  job.Slowness = std::max(f.SlowFactor, 0.001);
  job.CutAfter = f.CutAfterBytes;
  job.StartAt += std::chrono::milliseconds(f.FirstTokenDelayMs);
  if (!eng.IsEngine)
    job.StartAt += std::chrono::duration_cast<Duration>(
        std::chrono::milliseconds(eng.Opt.ServiceMs) * (job.Slowness - 1));
  if (f.FailEvery && (eng.SinceFaults - f.AfterRequests) % f.FailEvery == 0) {
    sendJson(job.Reply, f.FailStatus, {{"error", "fault: fails"}});
    return false;
  }
  return true;
}

bool isSilent(const Engine &eng, const Job &job) {
  return job.Request.Connection < eng.SilentBefore ||
         (eng.CurrentFaults.Silent && faultsApply(eng, job.Request.Path));
}

/// Runs \p job, immediately if it takes no time, otherwise on the timer.
void run(Engine &eng, Job job, Time now) {
  if (!job.ResumedAt)
    countRun(eng, job);
  if (isSilent(eng, job)) {
    eng.SilentJobs.push_back(std::move(job));
    return;
  }
  if (!applyFaults(eng, job))
    return;
  if (job.Stream && eng.Resumable.size() < MaxResumableStreams)
    eng.Resumable[job.Id] = {job.Version, job.PromptTokens, job.CachedTokens,
                             job.OutputTokens};
  const bool instant = job.PrefillLeft <= 0 && job.StartAt <= now &&
                       (!eng.IsEngine || eng.Opt.TokensPerSecond == 0);
  if (instant) {
    job.Generated = job.OutputTokens;
    sendReady(eng, job);
    return;
  }
  eng.Jobs.emplace(eng.NextJob++, std::move(job));
  startTicking(eng, now);
  recordLoad(eng, now);
}

void onEndpointRequest(Engine &eng, HttpRequest req, HttpResponder reply) {
  const Time now = monotonicNow();
  const std::lock_guard lk(eng.Mutex);
  ++eng.SinceFaults;
  Job job{.Request = std::move(req), .Reply = std::move(reply)};
  job.StartAt = now;
  job.Version = eng.Version;
  job.Id = job.Request.header("Zinnia-Request-Id");
  if (job.Id.empty())
    job.Id = "anonymous-" + std::to_string(eng.Runs + 1);
  job.Chat = job.Request.Path.ends_with("/chat/completions");
  if (eng.CurrentFaults.Refuse && faultsApply(eng, job.Request.Path)) {
    sendNotRun(job.Reply, 503, "fault: refuses before running");
    return;
  }
  if (!eng.IsEngine)
    readServiceRequest(eng, job);
  else if (!readModelRequest(eng, job) || !readResume(eng, job))
    return;
  run(eng, std::move(job), now);
}

void onRuns(Engine &eng, const HttpRequest &req, HttpResponder reply) {
  const std::lock_guard lk(eng.Mutex);
  const auto maxcount = [](const RunCounts &counts) {
    std::uint64_t n = 0;
    for (const auto &it : counts)
      n = std::max(n, it.second);
    return n;
  };
  json body = {{"total", eng.Runs},
               {"resumes", eng.Resumes},
               {"cancelled", eng.Cancelled},
               {"running", eng.Jobs.size()},
               {"most_by_request", maxcount(eng.ByRequest)},
               {"most_by_key", maxcount(eng.ByKey)}};
  if (!req.Query.starts_with("summary")) {
    body["by_request"] = eng.ByRequest;
    body["by_key"] = eng.ByKey;
  }
  sendJson(reply, 200, body);
}

void onStatus(Engine &eng, HttpResponder reply) {
  const std::lock_guard lk(eng.Mutex);
  sendJson(reply, 200,
           {{"kind", eng.Opt.Kind},
            {"version", eng.Version},
            {"incarnation", eng.Incarnation},
            {"leaving", eng.CurrentFaults.Leaving}});
}

void onLoad(Engine &eng, HttpResponder reply) {
  const Time now = monotonicNow();
  const std::lock_guard lk(eng.Mutex);
  recordLoad(eng, now);
  const LoadSample &load = eng.Loads.front();
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - load.At);
  const auto lag = static_cast<std::int64_t>(eng.Opt.LoadLagMs);
  sendJson(reply, 200,
           {{"running", load.Running},
            {"waiting", 0},
            {"tokens_in_flight", load.Tokens},
            {"age_ms", std::min<std::int64_t>(age.count(), lag)}});
}

void switchVersion(Engine &eng, std::string version) {
  if (eng.Opt.SwitchMs == 0) {
    eng.Version = std::move(version);
    return;
  }
  eng.Timers.after(std::chrono::milliseconds(eng.Opt.SwitchMs),
                   [&eng, version = std::move(version)](Time) {
                     const std::lock_guard lk(eng.Mutex);
                     eng.Version = version;
                   });
}

void onOrder(Engine &eng, const HttpRequest &req, HttpResponder reply) {
  const json body = json::parse(req.Body, nullptr, false);
  const std::lock_guard lk(eng.Mutex);
  if (!body.is_object() || !body.contains("version") ||
      !body["version"].is_string() ||
      !body.value("fence", json(0)).is_number_unsigned()) {
    sendJson(reply, 400, {{"error", "expected {\"version\", \"fence\"}"}});
    return;
  }
  const std::uint64_t token = body.value("fence", std::uint64_t{0});
  if (eng.Opt.ChecksFencing && token < eng.FencingToken) {
    sendJson(reply, 409,
             {{"error", "old fencing number"}, {"fence", eng.FencingToken}});
    return;
  }
  eng.FencingToken = std::max(eng.FencingToken, token);
  switchVersion(eng, body["version"]);
  sendJson(reply, 200,
           {{"version", body["version"]}, {"fence", eng.FencingToken}});
}

void onCancel(Engine &eng, std::string_view id, HttpResponder reply) {
  const std::lock_guard lk(eng.Mutex);
  const auto n = eraseJobs(eng, [&](Job &job) {
    if (job.Id != id)
      return false;
    job.Reply.abort();
    return true;
  });
  eng.Cancelled += n;
  recordLoad(eng, monotonicNow());
  sendJson(reply, 200, {{"cancelled", n > 0}});
}

/// The JSON key of \p member: "fail_every" of "FailEvery".
std::string keyOf(std::string_view member) {
  std::string key;
  for (const char c : member) {
    if (c >= 'A' && c <= 'Z' && !key.empty())
      key += '_';
    key += static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  }
  return key;
}

/// Reads faults; throws json::exception, or std::invalid_argument for an
/// unknown key.
Faults readFaults(const json &body) {
  const json known = Faults{};
  json named = json::object();
  std::map<std::string, std::string> members;
  for (const auto &it : known.items())
    members[keyOf(it.key())] = it.key();
  for (const auto &it : body.items()) {
    const auto member = members.find(it.key());
    if (member == members.end())
      throw std::invalid_argument("unknown fault \"" + it.key() + "\"");
    named[member->second] = it.value();
  }
  return named.get<Faults>();
}

void onFaults(Engine &eng, const HttpRequest &req, HttpResponder reply) {
  const std::lock_guard lk(eng.Mutex);
  try {
    eng.CurrentFaults =
        readFaults(json::parse(req.Body.empty() ? "{}" : req.Body));
  } catch (const std::exception &ex) {
    sendJson(reply, 400, {{"error", ex.what()}});
    return;
  }
  eng.SinceFaults = 0;
  eng.SilentBefore = eng.CurrentFaults.SilentOpen ? eng.NextConnectionId : 0;
  sendJson(reply, 200, {{"set", true}});
}

/// Serves a control request; false if \p req isn't one.
bool onControl(Engine &eng, const HttpRequest &req, HttpResponder &reply) {
  constexpr std::string_view Cancel = "/cancel/";
  const std::string_view path = req.Path;
  if (path == "/status")
    onStatus(eng, std::move(reply));
  else if (path == "/load")
    onLoad(eng, std::move(reply));
  else if (path == "/runs")
    onRuns(eng, req, std::move(reply));
  else if (path == "/order")
    onOrder(eng, req, std::move(reply));
  else if (path == "/faults")
    onFaults(eng, req, std::move(reply));
  else if (path.starts_with(Cancel))
    onCancel(eng, path.substr(Cancel.size()), std::move(reply));
  else
    return false;
  return true;
}

/// Keeps \p req without a response, and returns true, if it is a control
/// request that the faults leave unanswered. Requests for /faults and /runs are
/// exempt, and their connections don't count as open.
bool holdSilentControl(Engine &eng, HttpRequest &req, HttpResponder &reply) {
  const std::lock_guard lk(eng.Mutex);
  const bool fault = req.Path == "/faults" || req.Path == "/runs";
  if (!fault)
    eng.NextConnectionId = std::max(eng.NextConnectionId, req.Connection + 1);
  const bool silent =
      req.Path == "/status" || req.Path == "/load"
          ? eng.CurrentFaults.SilentControl || req.Connection < eng.SilentBefore
          : false;
  if (silent)
    eng.SilentJobs.push_back(
        Job{.Request = std::move(req), .Reply = std::move(reply)});
  return silent;
}

void onRequest(Engine &eng, HttpRequest req, HttpResponder reply) {
  if (holdSilentControl(eng, req, reply))
    return;
  if (onControl(eng, req, reply))
    return;
  const bool model =
      req.Path == "/v1/chat/completions" || req.Path == "/v1/completions";
  if (eng.IsEngine && !model) {
    sendNotRun(reply, 404, "no such path");
    return;
  }
  onEndpointRequest(eng, std::move(req), std::move(reply));
}

/// Cancels the requests of a caller that has disconnected.
void onCallerDisconnected(Engine &eng, std::uint64_t connection) {
  const std::lock_guard lk(eng.Mutex);
  const auto isown = [&](const Job &job) {
    return job.Request.Connection == connection;
  };
  std::erase_if(eng.SilentJobs, isown);
  if (!eng.IsEngine)
    return; // A plain service completes the requests that it has accepted.
  eng.Cancelled += eraseJobs(eng, isown);
}

CommandLine commandLine(Options &opt) {
  return {
      "standin-engine",
      "",
      "Stands in for an endpoint: an engine or a plain service. Faults are\n"
      "set by POST /faults; GET /runs returns how often each request ran.",
      {{"listen", "IP:PORT", "Where to serve; port 0: any", &opt.Listen},
       {"kind", "engine|service", "The kind of endpoint", &opt.Kind},
       {"label", "LABEL", "The initial version", &opt.Version},
       {"slots", "COUNT", "Requests that run at full speed together",
        &opt.Slots},
       {"tokens-per-second", "TOKENS/S",
        "Generated for each request; 0: all at once", &opt.TokensPerSecond},
       {"prefill-tokens-per-second", "TOKENS/S",
        "Prefilled for all requests together; 0: at once",
        &opt.PrefillPerSecond},
       {"cache-tokens", "TOKENS", "Size of the prefix cache", &opt.CacheTokens},
       {"load-lag-ms", "MS", "Age of the load that GET /load reports",
        &opt.LoadLagMs},
       {"service-ms", "MS", "Time that a service takes for each request",
        &opt.ServiceMs},
       {"switch-ms", "MS", "Delay before an ordered version runs",
        &opt.SwitchMs},
       {"threads", "COUNT", "Threads that serve", &opt.Threads},
       {"checks-fencing", "", "Refuse orders with an old fencing token",
        &opt.ChecksFencing}},
      {ExitCode::Ok, ExitCode::Failed, ExitCode::Usage}};
}

/// Serves until SIGTERM or SIGINT.
Result<void> serve(Engine &eng, const sigset_t &stops) {
  const IpPort at = splitAddress(eng.Opt.Listen);
  HttpServerOptions http;
  http.Host = at.Host;
  http.Port = at.Port;
  http.Threads = static_cast<int>(eng.Opt.Threads);
  BOOST_LEAF_AUTO(server,
                  HttpServer::start(
                      http, {[&eng](HttpRequest req, HttpResponder reply) {
                               onRequest(eng, std::move(req), std::move(reply));
                             },
                             [&eng](std::uint64_t conn) {
                               onCallerDisconnected(eng, conn);
                             }}));
  std::printf("listening on %s:%d\n", at.Host.c_str(), server.port());
  std::fflush(stdout);
  int sig = 0;
  sigwait(&stops, &sig);
  return {};
}

} // namespace

int main(int argc, char **argv) {
  Options opt;
  const ParsedCommand cmd = parseCommandLine(commandLine(opt), argc, argv);
  if (cmd.Exit)
    return toInt(*cmd.Exit);
  if (opt.Kind != "engine" && opt.Kind != "service") {
    std::fputs("standin-engine: --kind: expected engine or service\n", stderr);
    return toInt(ExitCode::Usage);
  }
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGINT);
  sigaddset(&stops, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
  Engine eng(std::move(opt));
  return handleResult(
      [&] { return serve(eng, stops); }, [] { return toInt(ExitCode::Ok); },
      [](const Error &err) {
        std::fprintf(stderr, "standin-engine: %s\n", describe(err).c_str());
        return toInt(ExitCode::Failed);
      });
}
