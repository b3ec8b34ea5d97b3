#include "zinniagauge/adapt/platform.h"

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/platform_json.h"

#include <utility>

namespace zinniagauge {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

/// Where the platform answers, and for how long it is waited for.
struct PlatformAddress {
  std::string Url;
  Duration Timeout;
};

ErrorCode codeOf(int status) noexcept {
  if (status == StatusNotFound)
    return ErrorCode::NotFound;
  if (status == StatusUnavailable)
    return ErrorCode::Unavailable;
  return status < 500 ? ErrorCode::Invalid : ErrorCode::Broken;
}

Result<std::string> call(const PlatformAddress &place, std::string_view method,
                         std::string_view path, std::string_view body) {
  std::string url = place.Url;
  url.append(path);
  HttpCall req;
  req.Method = method;
  req.Url = url;
  req.Body = body;
  req.Timeout = place.Timeout;
  req.ErrorStep = Step::Platform;
  BOOST_LEAF_AUTO(ans, httpCall(req));
  if (ans.Status == StatusOk)
    return std::move(ans.Body);
  return fail({codeOf(ans.Status), Step::Platform, url,
               "status " + std::to_string(ans.Status)});
}

Result<TableResult> transact(const PlatformAddress &place,
                             const TableTransaction &tx) {
  BOOST_LEAF_AUTO(text, call(place, "POST", "/table", encodeTransaction(tx)));
  BOOST_LEAF_AUTO(res, decodeResult(text));
  if (res.Ops.size() == tx.Ops.size())
    return res;
  return fail({ErrorCode::Broken, Step::Platform, place.Url,
               "the answer has another number of operations"});
}

Result<std::string> getObject(const PlatformAddress &place,
                              std::string_view name) {
  return call(place, "GET", "/objects/" + std::string(name), {});
}

Result<void> putObject(const PlatformAddress &place, std::string_view name,
                       std::string_view text) {
  BOOST_LEAF_CHECK(call(place, "PUT", "/objects/" + std::string(name), text));
  return {};
}

Result<std::vector<VmEntry>> listVms(const PlatformAddress &place) {
  BOOST_LEAF_AUTO(text, call(place, "GET", "/vms", {}));
  return decodeVms(text);
}

} // namespace

Platform makeHttpPlatform(std::string url, Duration timeout) {
  const PlatformAddress place{std::move(url), timeout};
  Platform p;
  p.Transact = [place](const TableTransaction &tx) {
    return transact(place, tx);
  };
  p.GetObject = [place](std::string_view name) {
    return getObject(place, name);
  };
  p.PutObject = [place](std::string_view name, std::string_view text) {
    return putObject(place, name, text);
  };
  p.ListVms = [place] { return listVms(place); };
  return p;
}

} // namespace zinniagauge
