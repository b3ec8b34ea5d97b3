#include "zinniagauge/decide/admit.h"

#include <algorithm>

namespace zinniagauge {

namespace {

Result<const WorkspaceSpec *>
authorise(const Bundle &b, std::string_view digest, std::string_view key) {
  if (key.empty())
    return fail({ErrorCode::Denied, Step::Authorise, {}, "no bearer key"});
  const WorkspaceSpec *ws = findWorkspace(b, digest);
  if (!ws)
    return fail({ErrorCode::Denied, Step::Authorise, {}, "unknown key"});
  return ws;
}

Result<const RouteSpec *> route(const Bundle &b, const RequestHead &head) {
  const bool by_model = !head.Model.empty();
  const RouteSpec *r = by_model ? findRouteByModel(b, head.Model)
                                : findRouteByPath(b, head.Path);
  if (r)
    return r;
  std::string detail = by_model ? "unknown model " : "no route for path ";
  detail.append(by_model ? head.Model : head.Path);
  return fail({ErrorCode::NotFound, Step::Route, {}, std::move(detail)});
}

Result<Tier> tierOf(const Bundle &b, const RequestHead &head,
                    const RouteSpec &r, const WorkspaceSpec &ws) {
  if (head.TierName.empty())
    return std::max(r.DefaultTier, ws.HighestTier);
  const TierSpec *t = findTier(b, head.TierName);
  if (!t)
    return fail({ErrorCode::Invalid, Step::Route, {}, "unknown tier"});
  if (isHigher(t->Rank, ws.HighestTier))
    return fail({ErrorCode::Denied,
                 Step::Authorise,
                 {},
                 "the tier is above the workspace's highest"});
  return t->Rank;
}

std::uint32_t outputTokens(const RequestHead &head) noexcept {
  return head.MaxTokens == 0 ? DefaultOutputTokens : head.MaxTokens;
}

std::uint64_t prefixHash(std::string_view text) noexcept {
  return text.size() < PrefixBytes ? 0 : nameHash(text.substr(0, PrefixBytes));
}

Duration timeoutOf(const Bundle &b, const RequestHead &head, Tier rank) {
  const auto it =
      std::find_if(b.Tiers.begin(), b.Tiers.end(),
                   [&](const TierSpec &t) { return t.Rank == rank; });
  const Duration limit =
      it == b.Tiers.end() ? std::chrono::seconds(60) : it->DefaultTimeout;
  return head.Timeout ? std::min(*head.Timeout, limit) : limit;
}

} // namespace

Result<Admission> admit(const Bundle &b, const RequestHead &head,
                        std::string_view digest, Time now) {
  BOOST_LEAF_AUTO(ws, authorise(b, digest, head.Key));
  BOOST_LEAF_AUTO(r, route(b, head));
  BOOST_LEAF_AUTO(rank, tierOf(b, head, *r, *ws));
  Admission adm;
  adm.Workspace = ws->Id;
  adm.Route = r->Id;
  adm.Pool = r->Pool;
  adm.Rank = rank;
  adm.PromptTokens = head.PromptBytes / BytesPerToken + 1;
  adm.OutputTokens = outputTokens(head);
  adm.PrefixHash = prefixHash(head.PrefixText);
  adm.Deadline = now + timeoutOf(b, head, rank);
  adm.Idempotent = r->Idempotent;
  adm.Stream = head.Stream;
  return adm;
}

} // namespace zinniagauge
