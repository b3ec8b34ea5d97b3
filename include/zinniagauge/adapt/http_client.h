// One blocking HTTP call, for the control path and command lines. The request
// path has its own client, which never blocks.
#ifndef ZINNIAGAUGE_ADAPT_HTTP_CLIENT_H
#define ZINNIAGAUGE_ADAPT_HTTP_CLIENT_H

#include "zinniagauge/adapt/http_header.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/time/clock.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniagauge {

/// One call to make.
struct HttpCall {
  std::string_view Method = "GET";
  std::string_view Url; // "http://ip:port/path".
  std::span<const HttpHeader> Headers;
  std::string_view Body;
  Duration Timeout = std::chrono::seconds(5); // For the whole call.
  Step ErrorStep = Step::Platform;            // For errors.
};

/// A whole answer, whatever its status.
struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Makes the call on the calling thread: a GET over a connection that the
/// thread keeps for next time, anything else once, over a new one. Fails with
/// Unavailable if no connection was made (then nothing was sent), or with
/// TimedOut or Broken (then it may have been).
[[nodiscard]] Result<HttpResponse> httpCall(const HttpCall &call);

/// Initialises libcurl; call it in main before any thread starts.
void initHttpClient();

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_HTTP_CLIENT_H
