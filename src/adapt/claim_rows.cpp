#include "zinniagauge/adapt/claim_rows.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <utility>

namespace zinniagauge {

namespace {

std::optional<Outcome> readOutcome(std::string_view text) noexcept {
  constexpr std::array<Outcome, OutcomeCount> All = {
      Outcome::Completed, Outcome::Failed, Outcome::NotRun, Outcome::Unknown};
  for (const Outcome oc : All)
    if (toString(oc) == text)
      return oc;
  return std::nullopt;
}

TableOp toOp(const ClaimOp &op) {
  TableOp out;
  out.Row = claimRowName(op.Key);
  if (op.Kind == ClaimOpKind::Read)
    return out;
  out.Value = encodeClaimRow(op.NewRow);
  out.Kind = op.Kind == ClaimOpKind::PutIfAbsent ? TableOpKind::PutIfAbsent
                                                 : TableOpKind::CompareAndSwap;
  out.ExpectedVersion = op.ExpectedVersion;
  return out;
}

ClaimOpResult toResult(const TableOpResult &res) {
  ClaimOpResult out;
  out.Applied = res.Applied;
  out.Version = res.Version;
  if (res.Version != 0)
    out.CurrentRow = decodeClaimRow(res.Value);
  return out;
}

} // namespace

std::string claimRowName(const ClaimKey &key) {
  constexpr std::size_t MaxNameSize = 64;
  std::array<char, MaxNameSize> buf{};
  const int n =
      std::snprintf(buf.data(), buf.size(), "claims/%016llx-%016llx%016llx",
                    static_cast<unsigned long long>(key.Workspace.Value),
                    static_cast<unsigned long long>(key.High),
                    static_cast<unsigned long long>(key.Low));
  return {buf.data(), static_cast<std::size_t>(n)};
}

std::string encodeClaimRow(const ClaimRow &row) {
  nlohmann::ordered_json val = {{"holder", toString(row.Holder)},
                                {"vm", row.Vm.Value},
                                {"incarnation", row.Incarnation}};
  if (row.HolderOutcome)
    val["outcome"] = toString(*row.HolderOutcome);
  return val.dump();
}

ClaimRow decodeClaimRow(std::string_view text) {
  try {
    const auto val = nlohmann::json::parse(text);
    ClaimRow row;
    row.Holder = parseRequestId(val.at("holder").get<std::string>())
                     .value_or(RequestId{});
    row.Vm.Value = val.at("vm").get<std::uint64_t>();
    row.Incarnation = val.at("incarnation").get<std::uint64_t>();
    row.HolderOutcome = readOutcome(val.value("outcome", std::string()));
    return row;
  } catch (const nlohmann::json::exception &) {
    return {};
  }
}

TableTransaction toTransaction(const ClaimBatch &batch) {
  TableTransaction tx;
  tx.AllOrNothing = false;
  tx.Ops.reserve(batch.Ops.size());
  for (const ClaimOp &op : batch.Ops)
    tx.Ops.push_back(toOp(op));
  return tx;
}

ClaimBatchResult toBatchResult(const ClaimBatch &batch,
                               const TableResult &res) {
  ClaimBatchResult out{batch.Number, BatchStatus::Completed, {}};
  out.Results.reserve(res.Ops.size());
  for (const TableOpResult &it : res.Ops)
    out.Results.push_back(toResult(it));
  return out;
}

} // namespace zinniagauge
