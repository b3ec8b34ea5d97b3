// Tests of how fronts pass the operators' rows on to each other.
#include "zinniagauge/decide/row_source.h"
#include "zinniagauge/store/operator_rows.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

/// A value that is long enough for patches.
std::string longValue(int version) {
  std::string out;
  for (int n = 0; n < 500; ++n)
    out += "route " + std::to_string(n) + ";";
  return out + std::to_string(version);
}

TableRow planRow(std::uint64_t version) {
  return {"config", longValue(static_cast<int>(version)), version, false};
}

/// What a reading returns whose newest version is \p version.
TableReadResult readingOf(std::vector<TableRow> rows, std::uint64_t version) {
  TableReadResult rd;
  rd.Rows = std::move(rows);
  rd.Version = version;
  return rd;
}

/// The rows of a front that read version 10 in era 1.
OperatorRowLog logAt10() {
  OperatorRowLog log;
  recordRows(log, readingOf({planRow(10), {"order", "a", 8, false}}, 10), 1,
             true, MakePatches::Yes);
  return log;
}

/// Lets \p to read what \p from passes on; the response's size in bytes, zero
/// if there is none that it takes.
std::size_t passOn(OperatorRowLog &from, OperatorRowLog &to) {
  const auto raw = encodeRows(from, rowsPath(to));
  if (!raw)
    return 0;
  return handleResult([&] { return decodeRows(to, *raw); },
                      [&](const PassedRows &passed) {
                        recordRows(to, passed);
                        return raw->size();
                      },
                      [](const Error &) { return std::size_t{0}; });
}

} // namespace

// Guards against a change that each front reads whole over its own link.
TEST_CASE("a front passes on what changed", "[store][plan]") {
  OperatorRowLog reader = logAt10();
  OperatorRowLog coordinator = logAt10();
  OperatorRowLog member = logAt10();
  OperatorRowLog late = logAt10();
  const auto change = [&](std::vector<TableRow> rows, std::uint64_t version) {
    recordRows(reader, readingOf(std::move(rows), version), 1, false,
               MakePatches::Yes);
  };
  constexpr std::size_t FewBytes = 400;
  change({planRow(12), {"order", "", 13, true}}, 13);
  CHECK(passOn(reader, coordinator) < FewBytes);
  CHECK(passOn(coordinator, member) < FewBytes);
  CHECK(member.Rows.at("config").Value == longValue(12));
  CHECK(member.Rows.at("order").Deleted);
  CHECK(member.ReadUpTo == 13);

  // A front that has missed some gets them together, and can pass them on.
  change({planRow(15)}, 15);
  change({planRow(17), {"order", "b", 16, false}}, 17);
  CHECK(passOn(reader, late) < 2 * FewBytes);
  CHECK(late.Rows.at("config").Value == longValue(17));
  CHECK(passOn(late, member) < 2 * FewBytes);
  CHECK(member.Rows.at("order").Value == "b");
  CHECK(passOn(late, coordinator) < 2 * FewBytes);
  CHECK(coordinator.Rows.at("config").Value == longValue(17));
}

TEST_CASE("a front that knows no patch passes on whole values",
          "[store][plan]") {
  OperatorRowLog reader = logAt10();
  OperatorRowLog member = logAt10();
  recordRows(reader, readingOf({planRow(12)}, 12), 1, false, MakePatches::No);
  CHECK(passOn(reader, member) > 0);
  CHECK(member.Rows.at("config").Value == longValue(12));
}

// Guards against rows that are lost or mixed up on their way.
TEST_CASE("a front passes on only what it surely knows", "[store][plan]") {
  OperatorRowLog reader = logAt10();
  OperatorRowLog member = logAt10();
  SECTION("not of another era") {
    recordRows(reader, readingOf({planRow(9)}, 9), 2, true, MakePatches::Yes);
  }
  SECTION("not if it may have missed a deletion") {
    recordRows(reader, readingOf({planRow(12)}, 12), 1, true, MakePatches::Yes);
  }
  SECTION("not if the other one has read more") {
    recordRows(member, readingOf({planRow(12)}, 12), 1, false, MakePatches::No);
  }
  CHECK(passOn(reader, member) == 0);
}

// Guards against the whole configuration being read by all fronts of a group
// whose coordinator has started after them.
TEST_CASE("a front that began to read later passes on what changed",
          "[store][plan]") {
  OperatorRowLog member = logAt10();
  OperatorRowLog reader;
  recordRows(reader, readingOf({planRow(10), {"order", "a", 8, false}}, 20), 1,
             true, MakePatches::Yes);
  recordRows(reader, readingOf({planRow(22)}, 22), 1, false, MakePatches::Yes);
  CHECK(passOn(reader, member) > 0);
  CHECK(member.Rows.at("config").Value == longValue(22));
}

TEST_CASE("damaged rows of another front aren't taken", "[store][plan]") {
  OperatorRowLog reader = logAt10();
  const OperatorRowLog member = logAt10();
  recordRows(reader, readingOf({planRow(12)}, 12), 1, false, MakePatches::Yes);
  const std::string raw = encodeRows(reader, rowsPath(member)).value();
  const auto taken = [&](const std::string &text) {
    return handleResult([&] { return decodeRows(member, text); },
                        [](const PassedRows &passed) {
                          return !passed.Rows.Rows.empty() &&
                                 passed.Rows.Rows[0].Value != longValue(12);
                        },
                        [](const Error &) { return false; });
  };
  for (std::size_t n = 0; n < raw.size(); ++n) {
    CHECK_FALSE(taken(raw.substr(0, n)));
    std::string damaged = raw;
    damaged[n] = static_cast<char>(damaged[n] ^ 0x15);
    CHECK_FALSE(taken(damaged));
  }
  for (const char *path : {"/operator-rows/1/10", "/operator-rows/1/10/",
                           "/operator-rows/1/10/10/", "/operator-rows/a/1/1",
                           "/operator-rows/1/-1/1", "/backends/0"})
    CHECK_FALSE(encodeRows(reader, path));
}

TEST_CASE("rows are read from the table service unless another front has them",
          "[store][plan]") {
  const RowSourceState good = {false, true, true, false, true, false};
  CHECK(nextRowSource(good) == RowSource::Peer);
  for (int n = 0; n < 6; ++n) {
    RowSourceState st = good;
    bool *const fields[] = {&st.IsStoreReader, &st.HasFullReading,
                            &st.NewerReported, &st.LacksOrders,
                            &st.HasPeer,       &st.PeerFailed};
    *fields[n] = !*fields[n];
    CHECK(nextRowSource(st) == RowSource::TableService);
  }
}
