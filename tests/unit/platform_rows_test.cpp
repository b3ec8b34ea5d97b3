// The platform's rows: plans, back ends, roll-outs, and the table service's
// encoding of values.
#include "platform.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

/// The value of the result of \p fn; nullopt if it failed.
template <typename Fn> auto valueOf(Fn &&fn) {
  using Value = std::decay_t<decltype(fn().value())>;
  return handleResult(
      [&] { return fn(); },
      [](Value val) { return std::optional<Value>(std::move(val)); },
      [](const Error &) { return std::optional<Value>(); });
}

constexpr const char *Config =
    R"({"version":7,"routes":[{"name":"r1","host":"h.example","prefix":"/a/",
"kind":"streaming","timeout_ms":12000,"target_latency_ms":1000,"priority":0,
"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"max_attempts":2,"allow_anonymous":false,"resume_streams":true,
"target_gap_ms":500}],"services":[{"name":"s1","connection_limit":360,
"engine":{"kv_cache_tokens":395317}}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"tokens",
"plain_tokens":200,"rate_per_s":230017,"burst":230017}]})";

std::optional<Backend> parseEntry(const std::string &text) {
  return valueOf([&] {
    return platform::parseBackend({"i-1", text, 1, false});
  });
}

} // namespace

TEST_CASE("a configuration is parsed into a plan", "[platform]") {
  const auto plan = valueOf([] {
    return platform::parsePlan({"config", Config, 1, false});
  });
  REQUIRE(plan);
  CHECK(plan->Version == 7);
  const PlanRoute *r = findRoute(*plan, "h.example", "/a/b");
  REQUIRE(r);
  CHECK(r->Kind == CallKind::Stream);
  CHECK(r->Resumable);
  CHECK(r->Pools.size() == 2);
  CHECK(findWorkspaceByKey(*plan, "k2")->Name == "t");
  CHECK(findWorkspaceByKey(*plan, "k3") == nullptr);
  CHECK(plan->Workspaces.front().CountsTokens);
}

TEST_CASE("an unreadable configuration is an error, not an empty plan",
          "[platform]") {
  for (const char *text : {"", "{", "[]", R"({"version":7})"})
    CHECK_FALSE(valueOf([&] {
      return platform::parsePlan({"config", text, 1, false});
    }));
}

TEST_CASE("a malformed back-end row is rejected", "[platform]") {
  CHECK(parseEntry(R"({"service":"s","address":"10.0.0.1:80","zone":"z",
      "version":"v1","slots":8,"state":"ready","sequence":4,"born":17})"));
  for (const char *text : {"", "[1]", "\xff\xfe",
                           R"({"service":"s","address":"10.0.0.1:80","zone":"z",
            "version":"v1","slots":"8","state":"ready","sequence":4})",
                           R"({"service":"s","address":"nowhere","zone":"z",
            "version":"v1","slots":8,"state":"ready","sequence":4})",
                           R"({"service":"s","address":"10.0.0.1:80","zone":"z",
            "version":"v1","slots":8,"state":"odd","sequence":4})",
                           R"({"service":7,"address":"10.0.0.1:80","zone":"z",
            "version":"v1","slots":8,"state":"ready","sequence":4})"})
    CHECK_FALSE(parseEntry(text));
}

TEST_CASE("row values are unchanged after encoding and decoding",
          "[platform]") {
  const StoreProtocol &st = platform::storeProtocol();
  TableTransaction tx;
  tx.Ops.push_back({TableOpKind::Put, "n", "node-1", 0});
  const StoreRequest request = st.WriteRequest(StoreTable::Fronts, tx);
  CHECK(request.Body.find("\"bm9kZS0x\"") != std::string::npos);
  for (const char *text : {"", "a", "ab", "abc", "abcd"}) {
    TableTransaction one;
    one.Ops.push_back({TableOpKind::Put, "n", text, 0});
    const std::string body = st.WriteRequest(StoreTable::Fronts, one).Body;
    const std::size_t at = body.find("\"value\":\"") + 9;
    const std::string encoded = body.substr(at, body.find('"', at) - at);
    StoreResponse response;
    response.Status = 200;
    response.Body = R"({"rows":[{"table":"t","part":"","key":"n","value":")" +
                    encoded + R"(","schema_version":3}],"schema_version":9,
                  "now_ms":5,"has_more":false})";
    const auto rows = valueOf([&] { return st.ParseRows(response); });
    REQUIRE(rows);
    CHECK(rows->Rows.front().Value == text);
  }
}

TEST_CASE("responses of the table service without rows are errors",
          "[platform]") {
  const StoreProtocol &st = platform::storeProtocol();
  for (const int status : {0, 429, 500, 503}) {
    StoreResponse response;
    response.Status = status;
    CHECK_FALSE(valueOf([&] { return st.ParseRows(response); }));
  }
  StoreResponse unavailable;
  unavailable.Status = 410;
  CHECK(valueOf([&] { return st.ParseRows(unavailable); })->HistoryUnavailable);
}

TEST_CASE("orders and records of roll-outs are parsed and written",
          "[platform]") {
  const auto order = valueOf([] {
    return platform::parseOrder(
        {"rollout/s1", R"({"service":"s1","target":"v2","duration_s":12})", 31,
         false});
  });
  REQUIRE(order);
  CHECK(order->TimeLimit == std::chrono::seconds(12));
  CHECK(order->Row.Number == 31);
  CHECK_FALSE(valueOf([] {
    return platform::parseOrder({"config", "{}", 1, false});
  }));
  MoveRecord rec;
  rec.Stage = MoveStage::RolledBack;
  rec.Label = "v2";
  rec.Order = {1, 31};
  rec.OrderRow = {2, 25};
  rec.StartedMs = 400;
  rec.RollbackReason = "requests fail";
  TableRow row = platform::makeOutcomeRow(*order, rec);
  CHECK(row.Value.find("\"rolled_back\"") != std::string::npos);
  row.Version = 5;
  const auto parsed = valueOf([&] { return platform::parseRecord(row); });
  REQUIRE(parsed);
  CHECK(parsed->first == order->Pool);
  CHECK(parsed->second.Stage == MoveStage::RolledBack);
  CHECK(parsed->second.StartedMs == 400);
  rec.RowVersion = 5;
  CHECK(parsed->second == rec);
}

namespace {

/// A list that holds a list, and so on, \p depth times.
std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string entryWith(const std::string &member, const std::string &value) {
  std::string out = R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
                    R"("version":"v1","state":"ready")";
  for (const auto &[name, val] :
       {std::pair{"slots", "8"}, {"sequence", "1"}, {"born", "5"}})
    out.append(",\"").append(name).append("\":").append(member == name ? value
                                                                       : val);
  if (member == "more")
    out.append(R"(,"more":)").append(value);
  return out + "}";
}

} // namespace

TEST_CASE("an entry with values that no back end has is rejected",
          "[platform]") {
  REQUIRE(parseEntry(entryWith("", "")));
  REQUIRE(parseEntry(entryWith("more", nested(10))));
  for (const char *slots : {"0", "-5", "70000", "4294967297",
                            "18446744073709551615", "1e30", "8.5", "1e999"}) {
    INFO(slots);
    CHECK_FALSE(parseEntry(entryWith("slots", slots)));
  }
  for (const char *born : {"-1", "1e30", "0.5", "18446744073709551616"}) {
    INFO(born);
    CHECK_FALSE(parseEntry(entryWith("born", born)));
  }
  for (const char *port : {"0", "65536", "99999999999", "-1", "8.0", ""}) {
    std::string entry = entryWith("", "");
    entry.replace(entry.find(":80\""), 4, ":" + std::string(port) + "\"");
    INFO(entry);
    CHECK_FALSE(parseEntry(entry));
  }
  CHECK_FALSE(parseEntry(entryWith("more", nested(100'000))));
  CHECK_FALSE(
      parseEntry(entryWith("more", "\"" + std::string(1 << 20, 'a') + "\"")));
  // The name is sent in a header.
  for (const char *name : {"i-1\r\nX: y", "i 1", "", "i-\x01"})
    CHECK_FALSE(valueOf([&] {
      return platform::parseBackend({name, entryWith("", ""), 1, false});
    }));
}

TEST_CASE("plans, orders and records with absurd values are rejected",
          "[platform]") {
  for (const char *limit : {"1e300", "-3", "1e12"}) {
    INFO(limit);
    CHECK_FALSE(valueOf([&] {
      return platform::parseOrder(
          {"rollout/s",
           R"({"service":"s","target":"v2","duration_s":)" +
               std::string(limit) + "}",
           3, false});
    }));
  }
  for (const char *began :
       {"9223372036854775807", "-9223372036854775808", "1e30", "-1"}) {
    INFO(began);
    CHECK_FALSE(valueOf([&] {
      return platform::parseRecord(
          {"rollout/s",
           R"({"state":"running","target":"v2","order":3,"began_ms":)" +
               std::string(began) + "}",
           4, false});
    }));
  }
  for (const char *timeout : {"9223372036854775807", "-1", "1e30"}) {
    INFO(timeout);
    std::string text = Config;
    text.replace(text.find("12000"), 5, timeout);
    CHECK_FALSE(valueOf([&] {
      return platform::parsePlan({"config", text, 1, false});
    }));
  }
  const std::string deep = R"({"a":)" + nested(100'000) + "}";
  CHECK_FALSE(valueOf([&] {
    return platform::parsePlan({"config", deep, 1, false});
  }));
  CHECK_FALSE(valueOf([&] {
    return platform::parseOrder({"rollout/s", deep, 1, false});
  }));
  CHECK_FALSE(valueOf([&] {
    return platform::parseRecord({"rollout/s", deep, 1, false});
  }));
}

TEST_CASE("a row whose value can't be decoded doesn't hide the others",
          "[platform]") {
  StoreResponse response;
  response.Status = 200;
  response.Body =
      R"({"rows":[{"key":"a","value":"****"},{"key":7,"value":"eA=="},)"
      R"({"key":"b","value":"eA==","schema_version":2}],)"
      R"("schema_version":9})";
  const auto rows =
      valueOf([&] { return platform::storeProtocol().ParseRows(response); });
  REQUIRE(rows);
  REQUIRE_FALSE(rows->Rows.empty());
  CHECK(rows->Rows.back().Key == "b");
  CHECK(rows->Rows.back().Value == "x");
}
