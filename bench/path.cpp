// Measures latency and throughput of requests through an entry and of requests
// sent directly to the endpoint, alternately in one run. `make bench` starts
// the processes that it needs.

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/time/clock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

using namespace zinniagauge;

namespace {

constexpr std::array<int, 3> CallerCounts = {1, 8, 64};
constexpr std::string_view Body =
    R"({"model":"bench","max_tokens":1,)"
    R"("messages":[{"role":"user","content":"label"}]})";

struct LoadResult {
  std::vector<double> Micros; // Latency of each call with status 200, sorted.
  std::uint64_t Failed = 0;
  double Seconds = 0;
};

struct CallerResult {
  std::vector<double> Micros;
  std::uint64_t Failed = 0;
};

CallerResult callUntil(const std::string &url, Time end) {
  const std::array<HttpHeader, 2> headers = {
      {{"Content-Type", "application/json"},
       {"Authorization", "Bearer bench-key"}}};
  CallerResult res;
  HttpCall call;
  call.Method = "POST";
  call.Url = url;
  call.Headers = headers;
  call.Body = Body;
  for (Time sentat = monotonicNow(); sentat < end;) {
    const bool ok =
        handleResult([&] { return httpCall(call); },
                     [](const HttpResponse &res) { return res.Status == 200; },
                     [](const Error &) { return false; });
    const Time now = monotonicNow();
    if (ok)
      res.Micros.push_back(
          std::chrono::duration<double, std::micro>(now - sentat).count());
    else
      ++res.Failed;
    sentat = now;
  }
  return res;
}

LoadResult load(const std::string &url, int callers, Duration span) {
  const Time start = monotonicNow();
  std::vector<CallerResult> results(static_cast<std::size_t>(callers));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  for (CallerResult &r : results)
    threads.emplace_back([&] { r = callUntil(url, start + span); });
  LoadResult all;
  for (std::size_t n = 0; n < threads.size(); ++n) {
    threads[n].join();
    all.Failed += results[n].Failed;
    all.Micros.insert(all.Micros.end(), results[n].Micros.begin(),
                      results[n].Micros.end());
  }
  all.Seconds = std::chrono::duration<double>(monotonicNow() - start).count();
  std::sort(all.Micros.begin(), all.Micros.end());
  return all;
}

double quantile(const LoadResult &f, double q) {
  if (f.Micros.empty())
    return 0;
  const auto n = static_cast<double>(f.Micros.size() - 1);
  return f.Micros[static_cast<std::size_t>(q * n)];
}

void print(const char *name, int callers, const LoadResult &f) {
  std::printf("%-8s %7d %12.0f %12.0f %12.0f %8llu\n", name, callers,
              static_cast<double>(f.Micros.size()) / f.Seconds,
              quantile(f, 0.5), quantile(f, 0.99),
              static_cast<unsigned long long>(f.Failed));
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 4) {
    std::fputs("usage: path DIRECT_URL ENTRY_URL SECONDS\n", stderr);
    return 2;
  }
  initHttpClient();
  const Duration span = std::chrono::seconds(std::atoi(argv[3]));
  std::printf("%-8s %7s %12s %12s %12s %8s\n", "path", "callers", "requests/s",
              "median us", "p99 us", "failed");
  for (const int callers : CallerCounts) {
    const LoadResult direct = load(argv[1], callers, span);
    const LoadResult entry = load(argv[2], callers, span);
    print("direct", callers, direct);
    print("entry", callers, entry);
    std::printf("%-8s %7d %12s %12.0f %12.0f\n", "added", callers, "",
                quantile(entry, 0.5) - quantile(direct, 0.5),
                quantile(entry, 0.99) - quantile(direct, 0.99));
  }
  return 0;
}
