// Records the operators' rows and passes them on.
#include "zinniagauge/store/operator_rows.h"

#include "zinniagauge/store/store_protocol.h"
#include "zinniagauge/store/text_patch.h"

#include "operator_rows.capnp.h"

#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <set>

namespace zinniagauge {

namespace {

constexpr std::string_view PathPrefix = "/operator-rows/";

/// Shorter values are sent whole.
constexpr std::size_t MinPatchedBytes = 1024;

/// The patches that are kept, in bytes. A front that is behind the oldest one
/// gets the whole value.
constexpr std::size_t MaxPatchBytes = std::size_t{256} << 10U;

/// Rows of one response; operators have far fewer.
constexpr std::size_t MaxRows = 10'000;

void addPatch(OperatorRowLog &log, RowPatch patch) {
  log.Patches.push_back(std::move(patch));
  std::size_t bytes = 0;
  for (const RowPatch &p : log.Patches)
    bytes += p.Bytes.size();
  while (bytes > MaxPatchBytes) {
    bytes -= log.Patches.front().Bytes.size();
    log.Patches.pop_front();
  }
}

/// Makes the patch from the known version of \p row to \p row.
void patchRow(OperatorRowLog &log, const TableRow &row) {
  const auto it = log.Rows.find(row.Key);
  if (it == log.Rows.end() || it->second.Version >= row.Version ||
      it->second.Value.empty() || row.Value.size() < MinPatchedBytes)
    return;
  addPatch(log, {it->second.Version, row.Version,
                 makePatch(it->second.Value, row.Value)});
}

/// The row with the longest value, or null. Only of this row it matters whether
/// it is sent whole.
const TableRow *longestRow(const OperatorRowLog &log) {
  const TableRow *out = nullptr;
  for (const auto &[key, row] : log.Rows)
    if (!out || row.Value.size() > out->Value.size())
      out = &row;
  return out;
}

/// The patches that lead from version \p base to version \p to of a row; empty
/// if some of them aren't known.
std::vector<const RowPatch *> patchesBetween(const OperatorRowLog &log,
                                             std::uint64_t base,
                                             std::uint64_t to) {
  std::vector<const RowPatch *> out;
  for (const RowPatch &p : log.Patches)
    if (p.From == base) {
      out.push_back(&p);
      base = p.To;
      if (base == to)
        return out;
    }
  return {};
}

/// The patch that makes \p row from nothing.
const RowPatch &wholePatch(OperatorRowLog &log, const TableRow &row) {
  if (log.Whole.To != row.Version)
    log.Whole = {0, row.Version, makePatch({}, row.Value)};
  return log.Whole;
}

/// The numbers of a path of rowsPath.
struct RowsQuery {
  std::uint64_t Era = 0;
  std::uint64_t After = 0; // Changes after this version are asked for.
  std::uint64_t Base = 0;  // Version of the asking front's longest row.
};

std::optional<RowsQuery> parsePath(std::string_view path) {
  if (!path.starts_with(PathPrefix))
    return std::nullopt;
  path.remove_prefix(PathPrefix.size());
  RowsQuery q;
  const char *end = path.data() + path.size();
  const char *at = path.data();
  for (std::uint64_t *num : {&q.Era, &q.After, &q.Base}) {
    const auto [ptr, ec] = std::from_chars(at, end, *num);
    const bool last = num == &q.Base;
    if (ec != std::errc() || (ptr == end) != last || (!last && *ptr != '/'))
      return std::nullopt;
    at = ptr + 1;
  }
  return q;
}

kj::ArrayPtr<const kj::byte> bytesOf(std::string_view text) {
  return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string_view viewOf(capnp::Data::Reader data) {
  return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

void encodeRow(wire::OperatorRow::Builder out, OperatorRowLog &log,
               const TableRow &row, std::uint64_t base) {
  out.setKey(row.Key);
  out.setVersion(row.Version);
  out.setDeleted(row.Deleted);
  if (row.Deleted)
    return;
  std::vector<const RowPatch *> patches =
      patchesBetween(log, base, row.Version);
  if (patches.empty())
    patches = {&wholePatch(log, row)};
  out.setBase(patches.front()->From);
  auto list = out.initPatches(static_cast<unsigned>(patches.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    list[n].setTo(patches[n]->To);
    list[n].setBytes(bytesOf(patches[n]->Bytes));
  }
}

auto invalid(std::string why) {
  return fail({ErrorCode::Invalid, Step::Bundle, "front", std::move(why)});
}

Result<TableRow> decodeRow(const OperatorRowLog &log,
                           wire::OperatorRow::Reader in,
                           std::vector<RowPatch> &received) {
  TableRow row;
  row.Key = in.getKey().cStr();
  row.Version = in.getVersion();
  row.Deleted = in.getDeleted();
  if (row.Deleted)
    return row;
  std::uint64_t version = in.getBase();
  if (version != 0) {
    const auto known = log.Rows.find(row.Key);
    if (known == log.Rows.end() || known->second.Version != version)
      return invalid("patches another version");
    row.Value = known->second.Value;
  }
  for (const auto p : in.getPatches()) {
    BOOST_LEAF_ASSIGN(row.Value, applyPatch(row.Value, viewOf(p.getBytes()),
                                            MaxRowValueBytes));
    if (version != 0)
      received.push_back(
          {version, p.getTo(), std::string(viewOf(p.getBytes()))});
    version = p.getTo();
  }
  if (version != row.Version)
    return invalid("lacks a patch");
  return row;
}

/// Whether some row of \p log is neither in \p keys nor in \p passed. The
/// sender may have begun to read after that row was deleted.
bool lacksDeletion(const OperatorRowLog &log, const TableReadResult &passed,
                   capnp::List<capnp::Text>::Reader keys) {
  std::set<std::string_view> known;
  for (const auto key : keys)
    known.insert({key.begin(), key.size()});
  for (const TableRow &row : passed.Rows)
    known.insert(row.Key);
  return std::ranges::any_of(log.Rows, [&](const auto &it) {
    return !it.second.Deleted && !known.contains(it.first);
  });
}

Result<PassedRows> decodeMessage(const OperatorRowLog &log,
                                 wire::OperatorRows::Reader in) {
  PassedRows out;
  out.Era = in.getEra();
  out.Rows.Version = in.getReadUpTo();
  if (out.Era != log.Era || out.Rows.Version < log.ReadUpTo ||
      in.getRows().size() > MaxRows || in.getLiveKeys().size() > MaxRows)
    return invalid("isn't about later rows of the same era");
  for (const auto row : in.getRows()) {
    BOOST_LEAF_AUTO(decoded, decodeRow(log, row, out.Patches));
    out.Rows.Rows.push_back(std::move(decoded));
  }
  if (lacksDeletion(log, out.Rows, in.getLiveKeys()))
    return invalid("lacks a deletion");
  return out;
}

} // namespace

void recordRows(OperatorRowLog &log, const TableReadResult &rd,
                std::uint64_t era, bool isfull, MakePatches makepatches) {
  if (era != log.Era)
    log = {};
  if (makepatches == MakePatches::Yes)
    for (const TableRow &row : rd.Rows)
      patchRow(log, row);
  if (isfull)
    log.Rows.clear();
  log.Era = era;
  log.ReadUpTo = rd.Version;
  for (const TableRow &row : rd.Rows)
    log.Rows[row.Key] = row;
}

void recordRows(OperatorRowLog &log, const PassedRows &passed) {
  for (const RowPatch &p : passed.Patches)
    addPatch(log, p);
  recordRows(log, passed.Rows, passed.Era, false, MakePatches::No);
}

std::string rowsPath(const OperatorRowLog &log) {
  const TableRow *longest = longestRow(log);
  std::string out(PathPrefix);
  out.append(std::to_string(log.Era)).append("/");
  out.append(std::to_string(log.ReadUpTo)).append("/");
  return out.append(std::to_string(longest ? longest->Version : 0));
}

std::optional<std::string> encodeRows(OperatorRowLog &log,
                                      std::string_view path) {
  const auto q = parsePath(path);
  if (!q || q->Era != log.Era || q->After > log.ReadUpTo)
    return std::nullopt;
  std::vector<const TableRow *> changed;
  std::vector<const TableRow *> live;
  for (const auto &[key, row] : log.Rows) {
    if (row.Version > q->After)
      changed.push_back(&row);
    if (!row.Deleted)
      live.push_back(&row);
  }
  capnp::MallocMessageBuilder msg;
  auto out = msg.initRoot<wire::OperatorRows>();
  out.setEra(log.Era);
  out.setReadUpTo(log.ReadUpTo);
  auto rows = out.initRows(static_cast<unsigned>(changed.size()));
  for (unsigned n = 0; n < rows.size(); ++n)
    encodeRow(rows[n], log, *changed[n], q->Base);
  auto keys = out.initLiveKeys(static_cast<unsigned>(live.size()));
  for (unsigned n = 0; n < keys.size(); ++n)
    keys.set(n, live[n]->Key);
  const auto words = capnp::messageToFlatArray(msg);
  const auto raw = words.asChars();
  std::string text(raw.begin(), raw.size());
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return text.append(reinterpret_cast<const char *>(&hash), sizeof hash);
}

Result<PassedRows> decodeRows(const OperatorRowLog &log, std::string_view raw) {
  std::uint64_t hash = 0;
  if (raw.size() <= sizeof hash || raw.size() % sizeof(capnp::word) != 0)
    return invalid("cut off");
  std::memcpy(&hash, raw.data() + raw.size() - sizeof hash, sizeof hash);
  raw.remove_suffix(sizeof hash);
  if (hash != XXH3_64bits(raw.data(), raw.size()))
    return invalid("damaged");
  // The words of a message must be aligned.
  auto words = kj::heapArray<capnp::word>(raw.size() / sizeof(capnp::word));
  std::copy(raw.begin(), raw.end(), reinterpret_cast<char *>(words.begin()));
  try {
    capnp::FlatArrayMessageReader msg(words);
    return decodeMessage(log, msg.getRoot<wire::OperatorRows>());
  } catch (const kj::Exception &ex) {
    return invalid(ex.getDescription().cStr());
  }
}

} // namespace zinniagauge
