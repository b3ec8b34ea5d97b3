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

std::size_t onBody(char *data, std::size_t size, std::size_t n, void *to) {
  static_cast<std::string *>(to)->append(data, size * n);
  return size * n;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *to) {
  if (auto header = parseHeaderLine({data, size * n}))
    static_cast<std::vector<HttpHeader> *>(to)->push_back(std::move(*header));
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

/// libcurl sends again by itself when a reused connection turns out dead. The
/// first sending may have taken effect, so a second one never leaves.
int refuseSecondSend(void *sent, char * /*ip*/, char * /*ownip*/, int /*port*/,
                     int /*ownport*/) {
  return std::exchange(*static_cast<bool *>(sent), true) ? CURL_PREREQFUNC_ABORT
                                                         : CURL_PREREQFUNC_OK;
}

ErrorCode codeOf(CURLcode rc) noexcept {
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
  // libcurl sends a request again if a kept connection closes before the answer
  // begins, though the first one may have taken effect. Only reads may go so.
  const long fresh = call.Method == "GET" ? 0L : 1L;
  curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt(h, CURLOPT_FORBID_REUSE, fresh);
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
  HttpResponse ans;
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &ans.Body);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &ans.Headers);
  bool sent = false;
  if (call.Method != "GET") {
    curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, refuseSecondSend);
    curl_easy_setopt(h, CURLOPT_PREREQDATA, &sent);
  }
  const CURLcode rc = curl_easy_perform(h);
  if (rc != CURLE_OK)
    return fail({codeOf(rc), call.ErrorStep, url, curl_easy_strerror(rc)});
  long status = 0;
  curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
  ans.Status = static_cast<int>(status);
  return ans;
}

} // namespace zinniagauge
