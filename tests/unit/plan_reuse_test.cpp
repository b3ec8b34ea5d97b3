// Tests that a plan is parsed to the same result whether or not an earlier one
// is known.
#include "platform.h"
#include "route_texts.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace zinniagauge;

namespace {

std::string routeText(int n, int priority = 0) {
  const std::string name = "r\\\"" + std::to_string(n);
  return R"({"name":")" + name + R"(","host":"h.example","prefix":"/)" +
         std::to_string(n) +
         R"(/","kind":"safe","timeout_ms":1000,"target_latency_ms":100,)"
         R"("priority":)" +
         std::to_string(priority) + R"(,"service":"s]}"})";
}

std::string configText(int version, const std::vector<std::string> &routes) {
  std::string list;
  for (const std::string &r : routes)
    list.append(list.empty() ? "" : " ,\n").append(r);
  return R"({"version":)" + std::to_string(version) + R"(, "routes" : [)" +
         list + R"( ],"services":[{"name":"s]}","note":"\"routes\":["}]})";
}

std::optional<TrafficPlan> parsed(const std::string &text,
                                  const TrafficPlan &before = {}) {
  return handleResult(
      [&] {
        return platform::parsePlan({"config", text, 1, false}, before);
      },
      [](TrafficPlan plan) { return std::optional(std::move(plan)); },
      [](const Error &) { return std::optional<TrafficPlan>(); });
}

/// The names and priorities of a plan's routes, in order.
std::string routesOf(const TrafficPlan &plan) {
  std::string out;
  for (const PlanRoute &r : plan.Routes)
    out += r.Name + " " + r.Prefix + " " + std::to_string(r.Priority) + "\n";
  return out;
}

} // namespace

// Guards against parsing the whole configuration for each change.
TEST_CASE("a plan that reuses parts of an earlier one is the same",
          "[platform][plan]") {
  const std::vector<std::vector<std::string>> lists = {
      {},
      {routeText(1)},
      {routeText(1), routeText(2), routeText(3)},
      {routeText(3), routeText(1), routeText(2)},
      {routeText(1), routeText(2, 4), routeText(3)},
      {routeText(2), routeText(2), routeText(4)}};
  for (const auto &before : lists)
    for (const auto &after : lists) {
      const auto earlier = parsed(configText(1, before));
      const auto fresh = parsed(configText(2, after));
      const auto reused = parsed(configText(2, after), earlier.value());
      REQUIRE(fresh);
      REQUIRE(reused);
      CHECK(reused->Version == 2);
      CHECK(routesOf(*reused) == routesOf(*fresh));
      CHECK(reused->Routes.size() == after.size());
      for (const PlanRoute &r : reused->Routes)
        CHECK(findRoute(*reused, "h.example", r.Prefix + "x") != nullptr);
    }
}

TEST_CASE("a malformed plan isn't read, whatever is known of it",
          "[platform][plan]") {
  const std::string text = configText(1, {routeText(1), routeText(2)});
  const TrafficPlan before = parsed(text).value();
  for (std::size_t n = 0; n < text.size(); ++n) {
    INFO(n);
    CHECK_FALSE(parsed(text.substr(0, n), before));
    std::string other = text;
    const auto check = [&] {
      const bool isread = parsed(other, before).has_value();
      CHECK(isread == parsed(other).has_value());
      CHECK((!isread || nlohmann::json::accept(other)));
    };
    other.insert(n, 1, ',');
    check();
    other[n] = ']';
    check();
    other.erase(n, 2);
    check();
  }
  CHECK_FALSE(parsed(text + "x", before));
  CHECK_FALSE(platform::splitRoutes(R"({"routes":[{}],"routes":[{}]})"));
}
