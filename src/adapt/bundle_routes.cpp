#include "zinniagauge/adapt/bundle_routes.h"

#include "zinniagauge/adapt/bundle_store.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace zinniagauge {

using nlohmann::json;

namespace {

constexpr std::size_t DefaultHistoryLimit = 20;
constexpr std::size_t MaxHistoryLimit = 200;
constexpr std::size_t DigestDigits = 64;

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const char *end = text.data() + text.size();
  const auto res = std::from_chars(text.data(), end, n);
  if (text.empty() || res.ec != std::errc() || res.ptr != end)
    return std::nullopt;
  return n;
}

Error invalid(std::string detail) {
  return {ErrorCode::Invalid, Step::Bundle, {}, std::move(detail)};
}

json headJson(const BundleHead &h) {
  return {{"version", h.Version},
          {"digest", h.Digest},
          {"proposed_by", h.ProposedBy},
          {"approved_by", h.ApprovedBy},
          {"approved_ms", h.ApprovedAt.time_since_epoch().count()}};
}

Result<std::uint64_t> parentOf(const Platform &p, const OperatorCall &call) {
  const std::string_view text = call.parameter("parent");
  if (text.empty()) {
    BOOST_LEAF_AUTO(head, readHead(p));
    return head.Head.Version;
  }
  const auto parent = parseNumber(text);
  if (!parent)
    return fail(invalid("parent must be the number of a version"));
  return *parent;
}

Result<std::string> runPropose(const Platform &p, const OperatorCall &call) {
  BOOST_LEAF_AUTO(parent, parentOf(p, call));
  BOOST_LEAF_AUTO(prop, propose(p, call.Body, parent, call.OperatorName));
  return json{{"digest", prop.Digest},
              {"parent", prop.ParentVersion},
              {"proposed_by", prop.ProposedBy}}
      .dump();
}

Result<std::string> runApprove(const BundleRouteOptions &opt,
                               const OperatorCall &call) {
  if (call.PathSuffix.size() != DigestDigits)
    return fail(invalid("a digest has 64 hexadecimal digits"));
  BOOST_LEAF_AUTO(bundle,
                  approve(*opt.Services, call.PathSuffix, call.OperatorName));
  const json out{{"version", bundle.Version},
                 {"digest", bundle.Digest},
                 {"approved_by", call.OperatorName}};
  opt.OnApproved(std::move(bundle));
  return out.dump();
}

Result<BundleHead> resolveBundleName(const Platform &p,
                                     const std::string &name) {
  if (name == "head") {
    BOOST_LEAF_AUTO(head, readHead(p));
    if (head.RowVersion != 0)
      return head.Head;
    return fail({ErrorCode::NotFound,
                 Step::Bundle,
                 {},
                 "no bundle was ever approved: propose one"});
  }
  if (name.size() == DigestDigits) {
    BundleHead unnumbered;
    unnumbered.Digest = name;
    return unnumbered;
  }
  const auto version = parseNumber(name);
  if (!version)
    return fail(invalid("name a bundle by head, a version or a digest"));
  BOOST_LEAF_AUTO(found, readHistory(p, *version));
  if (found)
    return *found;
  return fail({ErrorCode::NotFound, Step::Bundle, {}, "no version " + name});
}

Result<std::string> runShow(const Platform &p, const OperatorCall &call) {
  Result<BundleHead> head = resolveBundleName(p, call.PathSuffix);
  if (!head)
    return head.error();
  BOOST_LEAF_AUTO(text, readBundleText(p, head->Digest));
  json out = headJson(*head);
  out["text"] = text;
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<std::string> runHistory(const Platform &p, const OperatorCall &call) {
  const std::string_view text = call.parameter("limit");
  const auto limit =
      text.empty() ? DefaultHistoryLimit : parseNumber(text).value_or(0);
  if (limit == 0 || limit > MaxHistoryLimit)
    return fail(invalid("limit must be from 1 to 200"));
  BOOST_LEAF_AUTO(list, listHistory(p, limit));
  json out = json::array();
  for (const BundleHead &h : list)
    out.push_back(headJson(h));
  return out.dump();
}

} // namespace

std::vector<OperatorRoute> bundleRoutes(BundleRouteOptions opt) {
  const Platform &p = *opt.Services;
  const auto handler = [&p](auto fn) {
    return [&p, fn](const OperatorCall &call) { return fn(p, call); };
  };
  return {{"POST", "/v1/proposals", handler(runPropose)},
          {"GET", "/v1/bundles/", handler(runShow)},
          {"GET", "/v1/history", handler(runHistory)},
          {"POST", "/v1/approvals/",
           [opt = std::move(opt)](const OperatorCall &call) {
             return runApprove(opt, call);
           }}};
}

} // namespace zinniagauge
