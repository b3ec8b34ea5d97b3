// A blocking HTTP client for the control path and command-line programs. The
// request path has a separate client that doesn't block.
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

/// The parameters of one HTTP call.
struct HttpCall {
  std::string_view Method = "GET";
  std::string_view Url; // "http://ip:port/path".
  std::span<const HttpHeader> Headers;
  std::string_view Body;
  Duration Timeout = std::chrono::seconds(5); // For the whole call.
  Step ErrorStep = Step::Platform;            // The step that errors name.
};

/// A complete response with any status.
struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Makes the call and blocks the calling thread. A GET may reuse a connection
/// that the thread keeps open; any other method is sent once, over a new
/// connection. Fails with Unavailable if no connection was made, so that
/// nothing was sent, or with TimedOut or Broken if the request may have been
/// sent. A response with an error status isn't a failure.
[[nodiscard]] Result<HttpResponse> httpCall(const HttpCall &call);

/// Initialises libcurl. Must be called in main before any thread starts.
void initHttpClient();

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_HTTP_CLIENT_H
