#include "zinniagauge/adapt/usage.h"

#include <nlohmann/json.hpp>

namespace zinniagauge {

namespace {

std::uint32_t countAt(const nlohmann::json &obj, const char *name) {
  const auto it = obj.find(name);
  return it != obj.end() && it->is_number_unsigned() ? it->get<std::uint32_t>()
                                                     : 0;
}

} // namespace

TokenUsage readUsage(std::string_view body) {
  TokenUsage out;
  const auto doc = nlohmann::json::parse(body, nullptr, false);
  if (!doc.is_object())
    return out;
  const auto usage = doc.find("usage");
  if (usage == doc.end() || !usage->is_object())
    return out;
  out.OutputTokens = countAt(*usage, "completion_tokens");
  const auto details = usage->find("prompt_tokens_details");
  if (details != usage->end() && details->is_object())
    out.CachedTokens = countAt(*details, "cached_tokens");
  return out;
}

TokenUsage readStreamUsage(std::string_view tail) {
  constexpr std::string_view Data = "data: ";
  const auto usageat = tail.rfind("\"usage\"");
  if (usageat == std::string_view::npos)
    return {};
  const auto begin = tail.rfind(Data, usageat);
  const auto end = tail.find('\n', usageat);
  if (begin == std::string_view::npos || end == std::string_view::npos)
    return {};
  const auto start = begin + Data.size();
  return readUsage(tail.substr(start, end - start));
}

} // namespace zinniagauge
