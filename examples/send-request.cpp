// Sends one request to an entry and prints the response with its outcome.
// Usage: send-request URL KEY [BODY] [IDEMPOTENCY_KEY]

#include "zinniagauge/adapt/http_client.h"

#include <cstdio>
#include <string>
#include <vector>

using namespace zinniagauge;

namespace {

void print(const HttpResponse &res) {
  std::printf("status %d\n", res.Status);
  for (const HttpHeader &h : res.Headers)
    if (h.Name.starts_with("Zinnia-"))
      std::printf("%s: %s\n", h.Name.c_str(), h.Value.c_str());
  std::printf("%s\n", res.Body.c_str());
}

} // namespace

int main(int argc, char **argv) {
  if (argc < 3) {
    std::fputs("usage: send-request URL KEY [BODY] [IDEMPOTENCY_KEY]\n",
               stderr);
    return 2;
  }
  initHttpClient();
  std::vector<HttpHeader> headers = {
      {"Authorization", std::string("Bearer ") + argv[2]},
      {"Content-Type", "application/json"}};
  if (argc > 4)
    headers.push_back({"Idempotency-Key", argv[4]});
  HttpCall call;
  call.Url = argv[1];
  call.Headers = headers;
  call.Timeout = std::chrono::seconds(30);
  if (argc > 3 && *argv[3] != '\0') {
    call.Method = "POST";
    call.Body = argv[3];
  }
  return handleResult([&] { return httpCall(call); },
                      [](const HttpResponse &res) {
                        print(res);
                        constexpr int FirstError = 400;
                        return res.Status < FirstError ? 0 : 1;
                      },
                      [](const Error &err) {
                        std::fprintf(stderr, "%s\n", describe(err).c_str());
                        return 1;
                      });
}
