#include "zinniagauge/adapt/bundle_store.h"

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/digest.h"

#include <nlohmann/json.hpp>

#include <random>
#include <thread>
#include <utility>

namespace zinniagauge {

using nlohmann::json;

namespace {

/// The wait before an approval retries a failed call.
constexpr Duration RetryBackoff = std::chrono::milliseconds(200);

constexpr const char *HeadRowName = "bundle/head";

std::string historyRow(std::uint64_t version) {
  return "bundle/history/" + std::to_string(version);
}

std::string proposalRow(std::string_view digest) {
  return "bundle/proposal/" + std::string(digest);
}

std::string objectName(std::string_view digest) {
  return "bundle-" + std::string(digest);
}

std::int64_t toMillis(WallTime t) { return t.time_since_epoch().count(); }

WallTime fromMillis(std::int64_t n) {
  return WallTime(std::chrono::milliseconds(n));
}

std::string encode(const BundleHead &h) {
  return json{
      {"version", h.Version},        {"digest", h.Digest},
      {"proposed_by", h.ProposedBy}, {"approved_by", h.ApprovedBy},
      {"attempt", h.ApprovalId},     {"approved_ms", toMillis(h.ApprovedAt)}}
      .dump();
}

std::string encode(const Proposal &p) {
  return json{{"digest", p.Digest},
              {"parent", p.ParentVersion},
              {"by", p.ProposedBy},
              {"proposed_ms", toMillis(p.ProposedAt)}}
      .dump();
}

Error malformedRow(const std::string &what) {
  return {ErrorCode::Broken, Step::Platform, "table", "malformed row: " + what};
}

Result<BundleHead> decodeHead(const std::string &text) {
  try {
    const json val = json::parse(text);
    return BundleHead{val.at("version").get<std::uint64_t>(),
                      val.at("digest").get<std::string>(),
                      val.at("proposed_by").get<std::string>(),
                      val.at("approved_by").get<std::string>(),
                      val.at("attempt").get<std::string>(),
                      fromMillis(val.at("approved_ms").get<std::int64_t>())};
  } catch (const json::exception &ex) {
    return fail(malformedRow(ex.what()));
  }
}

Result<Proposal> decodeProposal(const std::string &text) {
  try {
    const json val = json::parse(text);
    return Proposal{val.at("digest").get<std::string>(),
                    val.at("parent").get<std::uint64_t>(),
                    val.at("by").get<std::string>(),
                    fromMillis(val.at("proposed_ms").get<std::int64_t>())};
  } catch (const json::exception &ex) {
    return fail(malformedRow(ex.what()));
  }
}

TableOp getOp(std::string row) {
  return {TableOpKind::Get, std::move(row), {}, 0};
}

Result<HeadRow> parseHeadRow(const TableOpResult &res) {
  if (res.Version == 0)
    return HeadRow{};
  BOOST_LEAF_AUTO(head, decodeHead(res.Value));
  return HeadRow{std::move(head), res.Version};
}

Result<std::optional<BundleHead>> parseHistoryRow(const TableOpResult &res) {
  if (res.Version == 0)
    return std::optional<BundleHead>{};
  BOOST_LEAF_AUTO(head, decodeHead(res.Value));
  return std::optional<BundleHead>(std::move(head));
}

Result<std::optional<Proposal>> parseProposalRow(const TableOpResult &res) {
  if (res.Version == 0)
    return std::optional<Proposal>{};
  BOOST_LEAF_AUTO(prop, decodeProposal(res.Value));
  return std::optional<Proposal>(std::move(prop));
}

Result<ApprovalRead> readApprovalRows(const Platform &p, const Approval &a) {
  BOOST_LEAF_AUTO(res,
                  p.Transact({{getOp(proposalRow(a.Digest)), getOp(HeadRowName),
                               getOp(historyRow(a.NextHead.Version))},
                              true}));
  ApprovalRead read;
  BOOST_LEAF_ASSIGN(read.ProposalRow, parseProposalRow(res.Ops[0]));
  BOOST_LEAF_ASSIGN(read.Head, parseHeadRow(res.Ops[1]));
  BOOST_LEAF_ASSIGN(read.HistoryRow, parseHistoryRow(res.Ops[2]));
  return read;
}

Result<bool> compareAndSwapHead(const Platform &p, const Approval &a) {
  const std::string text = encode(a.NextHead);
  BOOST_LEAF_AUTO(res, p.Transact({{{TableOpKind::CompareAndSwap, HeadRowName,
                                     text, a.HeadSnapshot.RowVersion},
                                    {TableOpKind::PutIfAbsent,
                                     historyRow(a.NextHead.Version), text, 0}},
                                   true}));
  return res.Committed;
}

Result<void> swapHead(const Platform &p, Approval &a) {
  BOOST_LEAF_AUTO(committed, compareAndSwapHead(p, a));
  onSwapped(a, committed);
  return {};
}

Result<void> readRows(const Platform &p, Approval &a) {
  BOOST_LEAF_AUTO(rows, readApprovalRows(p, a));
  onRead(a, rows, wallNow());
  return {};
}

/// Runs the approval's current stage once. After a failure that can be retried,
/// sleeps for the backoff.
void advance(const Platform &p, Approval &a) {
  const bool swapping = a.Stage == ApprovalStage::Swap;
  const auto err =
      handleResult([&] { return swapping ? swapHead(p, a) : readRows(p, a); },
                   [] { return std::optional<Error>(); },
                   [](const Error &it) { return std::optional<Error>(it); });
  if (!err)
    return;
  onFailed(a, *err, monotonicNow());
  if (!hasEnded(a))
    std::this_thread::sleep_for(RetryBackoff);
}

std::string randomApprovalId() {
  std::random_device rd;
  return std::to_string((std::uint64_t{rd()} << 32U) | rd());
}

} // namespace

Result<HeadRow> readHead(const Platform &p) {
  BOOST_LEAF_AUTO(res, p.Transact({{getOp(HeadRowName)}, true}));
  return parseHeadRow(res.Ops.front());
}

Result<std::optional<BundleHead>> readHistory(const Platform &p,
                                              std::uint64_t version) {
  BOOST_LEAF_AUTO(res, p.Transact({{getOp(historyRow(version))}, true}));
  return parseHistoryRow(res.Ops.front());
}

Result<std::vector<BundleHead>> listHistory(const Platform &p,
                                            std::size_t limit) {
  BOOST_LEAF_AUTO(head, readHead(p));
  TableTransaction tx;
  for (std::uint64_t n = head.Head.Version; n > 0 && tx.Ops.size() < limit; --n)
    tx.Ops.push_back(getOp(historyRow(n)));
  std::vector<BundleHead> out;
  if (tx.Ops.empty())
    return out;
  BOOST_LEAF_AUTO(res, p.Transact(tx));
  for (const TableOpResult &it : res.Ops) {
    BOOST_LEAF_AUTO(rec, parseHistoryRow(it));
    if (rec)
      out.push_back(std::move(*rec));
  }
  return out;
}

Result<std::string> readBundleText(const Platform &p, std::string_view digest) {
  BOOST_LEAF_AUTO(text, p.GetObject(objectName(digest)));
  if (sha256Hex(text) == digest)
    return text;
  return fail({ErrorCode::Broken, Step::Platform, "object store",
               "the text has another digest"});
}

Result<Bundle> fetchBundle(const Platform &p, const BundleHead &head) {
  BOOST_LEAF_AUTO(text, readBundleText(p, head.Digest));
  return parseBundle(head.Version, text);
}

Result<Proposal> propose(const Platform &p, std::string_view text,
                         std::uint64_t parent, const std::string &by) {
  BOOST_LEAF_AUTO(bundle, parseBundle(parent + 1, text));
  BOOST_LEAF_AUTO(head, readHead(p));
  if (head.Head.Version != parent)
    return fail({ErrorCode::Conflict,
                 Step::Bundle,
                 {},
                 "the head is version " + std::to_string(head.Head.Version) +
                     ", not " + std::to_string(parent) +
                     ": look at the difference and propose again"});
  Proposal prop{bundle.Digest, parent, by, wallNow()};
  BOOST_LEAF_CHECK(p.PutObject(objectName(prop.Digest), text));
  BOOST_LEAF_CHECK(p.Transact(
      {{{TableOpKind::Put, proposalRow(prop.Digest), encode(prop), 0}}, true}));
  return prop;
}

Result<Bundle> approve(const Platform &p, const std::string &digest,
                       const std::string &by) {
  BOOST_LEAF_AUTO(text, readBundleText(p, digest));
  BOOST_LEAF_CHECK(parseBundle(0, text));
  Approval a;
  a.Digest = digest;
  a.Approver = by;
  a.ApprovalId = randomApprovalId();
  a.Deadline = monotonicNow() + ApprovalTimeout;
  while (!hasEnded(a))
    advance(p, a);
  if (a.Stage == ApprovalStage::Refused)
    return fail(a.Failure);
  return parseBundle(a.NextHead.Version, text);
}

} // namespace zinniagauge
