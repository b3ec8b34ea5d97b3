#include "zinniagauge/adapt/platform.h"

#include "zinniagauge/adapt/http_client.h"
#include "zinniagauge/adapt/platform_json.h"

#include <utility>

namespace zinniagauge {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

/// The platform's base URL and the timeout of each call.
struct PlatformAddress {
  std::string Url;
  Duration Timeout;
};

ErrorCode errorCodeOf(int status) noexcept {
  if (status == StatusNotFound)
    return ErrorCode::NotFound;
  if (status == StatusUnavailable)
    return ErrorCode::Unavailable;
  return status < 500 ? ErrorCode::Invalid : ErrorCode::Broken;
}

Result<std::string> call(const PlatformAddress &addr, std::string_view method,
                         std::string_view path, std::string_view body) {
  std::string url = addr.Url;
  url.append(path);
  HttpCall req;
  req.Method = method;
  req.Url = url;
  req.Body = body;
  req.Timeout = addr.Timeout;
  req.ErrorStep = Step::Platform;
  BOOST_LEAF_AUTO(resp, httpCall(req));
  if (resp.Status == StatusOk)
    return std::move(resp.Body);
  return fail({errorCodeOf(resp.Status), Step::Platform, url,
               "status " + std::to_string(resp.Status)});
}

Result<TableResult> transact(const PlatformAddress &addr,
                             const TableTransaction &tx) {
  BOOST_LEAF_AUTO(text, call(addr, "POST", "/table", encodeTransaction(tx)));
  BOOST_LEAF_AUTO(res, decodeResult(text));
  if (res.Ops.size() == tx.Ops.size())
    return res;
  return fail({ErrorCode::Broken, Step::Platform, addr.Url,
               "the answer has another number of operations"});
}

Result<std::string> getObject(const PlatformAddress &addr,
                              std::string_view name) {
  return call(addr, "GET", "/objects/" + std::string(name), {});
}

Result<void> putObject(const PlatformAddress &addr, std::string_view name,
                       std::string_view text) {
  BOOST_LEAF_CHECK(call(addr, "PUT", "/objects/" + std::string(name), text));
  return {};
}

Result<std::vector<VmEntry>> listVms(const PlatformAddress &addr) {
  BOOST_LEAF_AUTO(text, call(addr, "GET", "/vms", {}));
  return decodeVms(text);
}

} // namespace

Platform makeHttpPlatform(std::string url, Duration timeout) {
  const PlatformAddress addr{std::move(url), timeout};
  Platform p;
  p.Transact = [addr](const TableTransaction &tx) {
    return transact(addr, tx);
  };
  p.GetObject = [addr](std::string_view name) { return getObject(addr, name); };
  p.PutObject = [addr](std::string_view name, std::string_view text) {
    return putObject(addr, name, text);
  };
  p.ListVms = [addr] { return listVms(addr); };
  return p;
}

} // namespace zinniagauge
