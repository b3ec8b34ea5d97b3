#include "zinniagauge/adapt/http_client.h"

#include <curl/curl.h>

#include <memory>
#include <utility>

namespace zinniagauge {

namespace {

struct EasyDeleter {
  void operator()(CURL *h) const noexcept { curl_easy_cleanup(h); }
};
struct SlistDeleter {
  void operator()(curl_slist *l) const noexcept { curl_slist_free_all(l); }
};
using Easy = std::unique_ptr<CURL, EasyDeleter>;
using Slist = std::unique_ptr<curl_slist, SlistDeleter>;

std::size_t onBody(char *data, std::size_t size, std::size_t n, void *out) {
  static_cast<std::string *>(out)->append(data, size * n);
  return size * n;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *out) {
  if (auto header = parseHeaderLine({data, size * n}))
    static_cast<std::vector<HttpHeader> *>(out)->push_back(std::move(*header));
  return size * n;
}

Slist headerList(std::span<const HttpHeader> headers) {
  Slist list;
  const auto append = [&](const std::string &line) {
    curl_slist *longer = curl_slist_append(list.get(), line.c_str());
    static_cast<void>(list.release());
    list.reset(longer);
  };
  append("Expect:");
  for (const HttpHeader &h : headers)
    append(h.Name + ": " + h.Value);
  return list;
}

/// Aborts the second send of one call. libcurl retries by itself when a reused
/// connection turns out to be closed, though the first send may have taken
/// effect.
int rejectResend(void *sent, char * /*ip*/, char * /*ownip*/, int /*port*/,
                 int /*ownport*/) {
  return std::exchange(*static_cast<bool *>(sent), true) ? CURL_PREREQFUNC_ABORT
                                                         : CURL_PREREQFUNC_OK;
}

ErrorCode errorCodeOf(CURLcode rc) noexcept {
  switch (rc) {
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
    return ErrorCode::Unavailable;
  case CURLE_OPERATION_TIMEDOUT:
    return ErrorCode::TimedOut;
  case CURLE_URL_MALFORMAT:
  case CURLE_UNSUPPORTED_PROTOCOL:
    return ErrorCode::Invalid;
  default:
    return ErrorCode::Broken;
  }
}

void setOptions(CURL *h, const HttpCall &call, const std::string &url,
                const std::string &method, curl_slist *headers) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.Timeout);
  curl_easy_setopt(h, CURLOPT_URL, url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, static_cast<long>(ms.count()));
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_PROXY, "");
  // libcurl retries a request if a reused connection closes before the response
  // begins, though the first send may have taken effect. So only GET may reuse
  // connections.
  const long newconn = call.Method == "GET" ? 0L : 1L;
  curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, newconn);
  curl_easy_setopt(h, CURLOPT_FORBID_REUSE, newconn);
  if (call.Body.empty())
    return;
  curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.Body.size()));
  curl_easy_setopt(h, CURLOPT_POSTFIELDS, call.Body.data());
}

} // namespace

void initHttpClient() { curl_global_init(CURL_GLOBAL_DEFAULT); }

Result<HttpResponse> httpCall(const HttpCall &call) {
  thread_local const Easy handle(curl_easy_init());
  CURL *h = handle.get();
  curl_easy_reset(h);
  const std::string url(call.Url);
  const std::string method(call.Method);
  const Slist headers = headerList(call.Headers);
  setOptions(h, call, url, method, headers.get());
  HttpResponse resp;
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &resp.Body);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &resp.Headers);
  bool sent = false;
  if (call.Method != "GET") {
    curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, rejectResend);
    curl_easy_setopt(h, CURLOPT_PREREQDATA, &sent);
  }
  const CURLcode rc = curl_easy_perform(h);
  if (rc != CURLE_OK)
    return fail({errorCodeOf(rc), call.ErrorStep, url, curl_easy_strerror(rc)});
  long status = 0;
  curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
  resp.Status = static_cast<int>(status);
  return resp;
}

} // namespace zinniagauge
