// The table of prefixes and the endpoints that hold them.
#include "zinniagauge/decide/affinity.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// The entry of \p hash in the young generation, moved there from the old one
/// or newly created.
Prefix &entryOf(PrefixTable &table, std::uint64_t hash) {
  const auto it = table.Young.find(hash);
  if (it != table.Young.end())
    return it->second;
  if (table.Young.size() >= MaxPrefixes) {
    table.Old = std::move(table.Young);
    table.Young.clear();
  }
  Prefix &p = table.Young[hash];
  if (const auto old = table.Old.find(hash); old != table.Old.end())
    p = old->second;
  return p;
}

} // namespace

const Prefix *findPrefix(const PrefixTable &table,
                         std::uint64_t hash) noexcept {
  if (hash == 0)
    return nullptr;
  if (const auto it = table.Young.find(hash); it != table.Young.end())
    return &it->second;
  const auto it = table.Old.find(hash);
  return it == table.Old.end() ? nullptr : &it->second;
}

bool isHeldBy(const Prefix &p, EndpointId ep, Time since) noexcept {
  return std::any_of(p.Holders.begin(), p.Holders.end(), [&](const auto &it) {
    return it.Endpoint == ep && it.LastUsedAt > since;
  });
}

bool isHeldElsewhere(const Prefix &p, EndpointId ep, Time since) noexcept {
  return std::any_of(p.Holders.begin(), p.Holders.end(), [&](const auto &it) {
    return it.Endpoint != ep && it.Endpoint != EndpointId{} &&
           it.LastUsedAt > since;
  });
}

std::uint32_t savedTokens(const Prefix &p, std::uint32_t prompt) noexcept {
  return std::min(prompt, p.Tokens == 0 ? prompt / 2 : p.Tokens);
}

void recordPrefix(PrefixTable &table, std::uint64_t hash, EndpointId ep,
                  std::uint32_t cached, Time now) {
  if (hash == 0)
    return;
  Prefix &p = entryOf(table, hash);
  p.Tokens = std::max(p.Tokens, cached);
  auto it = std::find_if(p.Holders.begin(), p.Holders.end(),
                         [&](const auto &h) { return h.Endpoint == ep; });
  if (it == p.Holders.end())
    it = std::min_element(p.Holders.begin(), p.Holders.end(),
                          [](const auto &a, const auto &b) {
                            return a.LastUsedAt < b.LastUsedAt;
                          });
  *it = {ep, now};
}

} // namespace zinniagauge
