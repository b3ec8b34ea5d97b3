// Converts transactions, results and VM lists to JSON and back.

#include "zinniagauge/adapt/platform_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace zinniagauge {

using nlohmann::json;

namespace {

/// Names of the operations in messages, in the order of TableOpKind.
constexpr std::array<std::string_view, 4> KindNames = {
    "get", "put", "put_if_absent", "compare_and_swap"};

TableOpKind kindOf(const std::string &name) {
  const auto *it = std::find(KindNames.begin(), KindNames.end(), name);
  if (it == KindNames.end())
    throw std::invalid_argument("unknown operation " + name);
  return static_cast<TableOpKind>(it - KindNames.begin());
}

/// Calls \p fn, which decodes JSON, and converts an exception that it throws to
/// an Error with \p code.
template <typename Fn>
auto decode(ErrorCode code, Fn &&fn) -> Result<decltype(fn())> {
  try {
    return fn();
  } catch (const std::exception &ex) {
    return fail({code, Step::Platform, {}, ex.what()});
  }
}

} // namespace

std::string encodeTransaction(const TableTransaction &tx) {
  json ops = json::array();
  for (const TableOp &op : tx.Ops)
    ops.push_back({{"op", KindNames.at(static_cast<std::size_t>(op.Kind))},
                   {"row", op.Row},
                   {"value", op.Value},
                   {"expected", op.ExpectedVersion}});
  return json{{"all_or_nothing", tx.AllOrNothing}, {"ops", ops}}.dump();
}

Result<TableTransaction> decodeTransaction(std::string_view text) {
  return decode(ErrorCode::Invalid, [&] {
    const json val = json::parse(text);
    TableTransaction tx;
    tx.AllOrNothing = val.value("all_or_nothing", true);
    for (const json &it : val.at("ops"))
      tx.Ops.push_back({kindOf(it.at("op").get<std::string>()),
                        it.at("row").get<std::string>(),
                        it.value("value", std::string()),
                        it.value("expected", std::uint64_t{0})});
    return tx;
  });
}

std::string encodeResult(const TableResult &res) {
  json ops = json::array();
  for (const TableOpResult &op : res.Ops)
    ops.push_back({{"applied", op.Applied},
                   {"value", op.Value},
                   {"version", op.Version}});
  return json{{"committed", res.Committed}, {"ops", ops}}.dump();
}

Result<TableResult> decodeResult(std::string_view text) {
  return decode(ErrorCode::Broken, [&] {
    const json val = json::parse(text);
    TableResult res;
    res.Committed = val.at("committed").get<bool>();
    for (const json &it : val.at("ops"))
      res.Ops.push_back({it.at("applied").get<bool>(),
                         it.at("value").get<std::string>(),
                         it.at("version").get<std::uint64_t>()});
    return res;
  });
}

std::string encodeVms(std::span<const VmEntry> vms) {
  json list = json::array();
  for (const VmEntry &vm : vms)
    list.push_back({{"name", vm.Name},
                    {"zone", vm.ZoneName},
                    {"agent_address", vm.AgentAddress},
                    {"leaving", vm.Leaving}});
  return list.dump();
}

Result<std::vector<VmEntry>> decodeVms(std::string_view text) {
  return decode(ErrorCode::Broken, [&] {
    std::vector<VmEntry> vms;
    for (const json &it : json::parse(text))
      vms.push_back({it.at("name").get<std::string>(),
                     it.at("zone").get<std::string>(),
                     it.at("agent_address").get<std::string>(),
                     it.value("leaving", false)});
    return vms;
  });
}

} // namespace zinniagauge
