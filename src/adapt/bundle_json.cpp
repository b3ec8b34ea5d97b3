// Reads each part of a bundle from JSON and collects its faults.

#include "zinniagauge/adapt/bundle_json.h"

#include "zinniagauge/adapt/digest.h"
#include "zinniagauge/adapt/json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>

namespace zinniagauge {

using nlohmann::json;

namespace {

using Faults = std::vector<BundleFault>;

constexpr std::uint64_t MaxWeight = 1000;
constexpr std::uint64_t MaxSlots = 4096;
constexpr std::uint64_t MaxTokens = 100'000'000;
constexpr std::uint64_t MaxGeneration = 100;
constexpr std::uint64_t MaxSharePermille = 1000;
constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();

TierSpec readTier(const json &val, const std::string &path, Faults &faults) {
  JsonReader in(val, path, faults);
  TierSpec t;
  t.Name = in.text("name");
  const std::size_t before = faults.size();
  t.Rank.Rank = static_cast<std::uint8_t>(in.number("rank", 0, MaxTiers - 1));
  if (faults.size() != before)
    t.Rank = UnknownTier;
  t.DefaultTimeout = in.duration("default_timeout");
  t.FirstTokenTarget = in.duration("first_token_target");
  t.Objective = in.realNumber("objective", 0, 1);
  in.reportUnknownKeys();
  return t;
}

Tier readTierName(const Bundle &b, const std::string &name, JsonReader &in,
                  const char *key) {
  if (name.empty())
    return UnknownTier;
  const TierSpec *t = findTier(b, name);
  if (t)
    return t->Rank;
  in.addFault(key, "no tier is called \"" + name + "\"");
  return UnknownTier;
}

bool isDigest(const json &val) {
  if (!val.is_string())
    return false;
  const auto &text = val.get_ref<const std::string &>();
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

WorkspaceSpec readWorkspace(const Bundle &b, const json &val,
                            const std::string &path, Faults &faults) {
  JsonReader in(val, path, faults);
  WorkspaceSpec w;
  w.Name = in.text("name");
  w.Id = WorkspaceId::of(w.Name);
  in.forEach(
      "key_digests", true, [&](const json &it, const std::string &itempath) {
        if (isDigest(it))
          w.KeyDigests.push_back(it.get<std::string>());
        else
          faults.push_back({itempath,
                            "must be a SHA-256 of 64 lower-case hexadecimal "
                            "digits"});
      });
  w.Weight = static_cast<std::uint32_t>(in.number("weight", 1, MaxWeight, 1));
  w.HighestTier = readTierName(b, in.text("highest_tier"), in, "highest_tier");
  in.reportUnknownKeys();
  return w;
}

PoolSpec readPool(const json &val, const std::string &path, Faults &faults) {
  JsonReader in(val, path, faults);
  PoolSpec p;
  p.Name = in.text("name");
  p.Id = PoolId::of(p.Name);
  const std::string kind = in.text("kind");
  if (kind == "service")
    p.Kind = PoolKind::Service;
  else if (!kind.empty() && kind != "engine")
    in.addFault("kind", "must be engine or service");
  in.reportUnknownKeys();
  return p;
}

/// The id of \p name, or the zero id if the name is missing (empty).
template <typename Id> Id idOf(const std::string &name) {
  return name.empty() ? Id{} : Id::of(name);
}

RouteSpec readRoute(const Bundle &b, const json &val, const std::string &path,
                    Faults &faults) {
  JsonReader in(val, path, faults);
  RouteSpec r;
  r.Name = in.text("name");
  r.Id = RouteId::of(r.Name);
  r.Model = in.optionalText("model");
  r.PathPrefix = in.optionalText("path_prefix");
  r.Pool = idOf<PoolId>(in.text("pool"));
  r.DefaultTier = readTierName(b, in.text("default_tier"), in, "default_tier");
  r.Idempotent = in.flag("idempotent", true);
  in.reportUnknownKeys();
  return r;
}

bool isIpAddress(const std::string &host) {
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  return ::inet_pton(AF_INET, host.c_str(), buf.data()) == 1 ||
         ::inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
}

EndpointSpec readEndpoint(const json &val, const std::string &path,
                          Faults &faults) {
  JsonReader in(val, path, faults);
  EndpointSpec e;
  const auto uint32 = [&](const char *key, std::uint64_t min, std::uint64_t max,
                          std::uint64_t def) {
    return static_cast<std::uint32_t>(in.number(key, min, max, def));
  };
  e.Name = in.text("name");
  e.Id = EndpointId::of(e.Name);
  e.Pool = idOf<PoolId>(in.text("pool"));
  e.ZoneName = in.text("zone");
  e.Zone = ZoneId::of(e.ZoneName);
  e.Host = in.text("host");
  if (!e.Host.empty() && !isIpAddress(e.Host))
    in.addFault("host", "must be an IP address");
  e.Port = static_cast<std::uint16_t>(in.number("port", 1, MaxPort));
  e.VersionLabel = in.text("version");
  e.Version = VersionId::of(e.VersionLabel);
  e.Slots = uint32("slots", 1, MaxSlots, 1);
  e.TokenLimit = uint32("token_limit", 1, MaxTokens, 0);
  e.TokensPerSecond = uint32("tokens_per_second", 1, MaxTokens, 0);
  e.HardwareGeneration = uint32("generation", 0, MaxGeneration, 0);
  e.ChecksFencingToken = in.flag("checks_fencing", false);
  in.reportUnknownKeys();
  return e;
}

/// Parses a UTC time such as "2026-12-05T18:00:00Z" into \p out. Returns false
/// if \p text is malformed or not a valid date and time.
bool parseUtc(const std::string &text, WallTime &out) {
  using namespace std::chrono;
  int y = 0;
  unsigned mon = 0, d = 0, h = 0, min = 0, s = 0;
  int end = 0;
  if (std::sscanf(text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2uZ%n", &y, &mon, &d, &h,
                  &min, &s, &end) != 6 ||
      static_cast<std::size_t>(end) != text.size())
    return false;
  const year_month_day date{year(y), month(mon), day(d)};
  if (!date.ok() || h > 23 || min > 59 || s > 59)
    return false;
  out = sys_days(date) + hours(h) + minutes(min) + seconds(s);
  return true;
}

MoveSpec readMove(const json &val, const std::string &path, Faults &faults) {
  JsonReader in(val, path, faults);
  MoveSpec m;
  m.Name = in.text("name");
  m.Id = MoveId::of(m.Name);
  m.Pool = idOf<PoolId>(in.text("pool"));
  m.OldVersionLabel = in.text("from");
  m.OldVersion = VersionId::of(m.OldVersionLabel);
  m.NewVersionLabel = in.text("to");
  m.NewVersion = VersionId::of(m.NewVersionLabel);
  in.forEach(
      "shares_permille", true,
      [&](const json &it, const std::string &itempath) {
        if (it.is_number_unsigned() && it.get<std::uint64_t>() >= 1 &&
            it.get<std::uint64_t>() <= MaxSharePermille)
          m.SharesPermille.push_back(it.get<std::uint32_t>());
        else
          faults.push_back({itempath, "must be a whole number from 1 to 1000"});
      });
  m.MinStepInterval = in.duration("step_time");
  const std::string deadline = in.text("deadline");
  if (!deadline.empty() && !parseUtc(deadline, m.Deadline))
    in.addFault("deadline", "must be a time such as 2026-12-05T18:00:00Z");
  in.reportUnknownKeys();
  return m;
}

void readLists(const json &val, Bundle &b, Faults &faults) {
  JsonReader in(val, "", faults);
  using Path = const std::string &;
  in.forEach("tiers", true, [&](const json &it, Path itempath) {
    b.Tiers.push_back(readTier(it, itempath, faults));
  });
  in.forEach("workspaces", true, [&](const json &it, Path itempath) {
    b.Workspaces.push_back(readWorkspace(b, it, itempath, faults));
  });
  in.forEach("pools", true, [&](const json &it, Path itempath) {
    b.Pools.push_back(readPool(it, itempath, faults));
  });
  in.forEach("routes", true, [&](const json &it, Path itempath) {
    b.Routes.push_back(readRoute(b, it, itempath, faults));
  });
  in.forEach("endpoints", true, [&](const json &it, Path itempath) {
    b.Endpoints.push_back(readEndpoint(it, itempath, faults));
  });
  in.forEach("moves", false, [&](const json &it, Path itempath) {
    b.Moves.push_back(readMove(it, itempath, faults));
  });
  in.reportUnknownKeys();
}

} // namespace

ParsedBundle readBundle(std::uint64_t version, std::string_view text) {
  ParsedBundle out;
  if (text.size() > MaxBundleBytes) {
    out.Faults.push_back({"", "the text is longer than " +
                                  std::to_string(MaxBundleBytes) + " bytes"});
    return out;
  }
  const json val = parseJson(text, out.Faults);
  if (val.is_null() && !out.Faults.empty())
    return out;
  Bundle &b = out.Value;
  b.Version = version;
  b.Text = text;
  b.Digest = sha256Hex(text);
  readLists(val, b, out.Faults);
  if (val.is_object())
    checkBundle(b, out.Faults);
  if (out.Faults.empty())
    indexBundle(b);
  return out;
}

Result<Bundle> parseBundle(std::uint64_t version, std::string_view text) {
  ParsedBundle in = readBundle(version, text);
  if (!in.Faults.empty())
    return fail({ErrorCode::Invalid, Step::Bundle, {}, describe(in.Faults)});
  return std::move(in.Value);
}

} // namespace zinniagauge
