// Tests of patches between the versions of a text.
#include "zinniagauge/store/text_patch.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

constexpr std::size_t MaxBytes = std::size_t{4} << 20U;

/// What \p patch makes from \p before; "failed" if it can't be applied.
std::string applied(std::string_view before, std::string_view patch,
                    std::size_t maxbytes = MaxBytes) {
  return handleResult([&] { return applyPatch(before, patch, maxbytes); },
                      [](std::string text) { return text; },
                      [](const Error &) { return std::string("failed"); });
}

/// A text like a configuration with \p count routes.
std::string routesText(int count) {
  std::string out = "{\"version\":1,\"routes\":[";
  for (int n = 0; n < count; ++n)
    out += "{\"name\":\"r-" + std::to_string(n * 7919 % 100'003) +
           "\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"priority\":0},";
  return out + "]}";
}

} // namespace

TEST_CASE("a patch makes the later text from the former one", "[store]") {
  const std::string text = routesText(100);
  const std::string texts[] = {"",
                               "x",
                               text,
                               text + text,
                               text.substr(1000),
                               text.substr(0, 3000),
                               text.substr(0, 2000) + "changed" +
                                   text.substr(2000),
                               text.substr(3000) + text.substr(0, 3000),
                               std::string(5000, 'x')};
  for (const std::string &before : texts)
    for (const std::string &after : texts)
      CHECK(applied(before, makePatch(before, after)) == after);
}

// Guards against each front receiving a whole configuration for one change.
TEST_CASE("the size of a patch follows the change", "[store]") {
  constexpr std::size_t FewBytes = 200;
  const std::string small = routesText(50);
  const std::string large = routesText(4250);
  for (const std::string &text : {small, large}) {
    std::string changed = text;
    changed.replace(text.size() / 2, 4, "abcd");
    CHECK(makePatch(text, changed).size() < FewBytes);
    CHECK(makePatch(changed, text + "{}").size() < FewBytes);
  }
  CHECK(makePatch({}, large).size() < large.size() / 4);
}

TEST_CASE("a patch that is damaged or for another text isn't applied",
          "[store]") {
  const std::string before = routesText(100);
  const std::string after = routesText(120);
  const std::string patch = makePatch(before, after);
  CHECK(applied(routesText(99), patch) == "failed");
  CHECK(applied(before, patch, after.size() - 1) == "failed");
  for (std::size_t n = 0; n < patch.size(); ++n) {
    CHECK(applied(before, patch.substr(0, n)) == "failed");
    std::string damaged = patch;
    damaged[n] = static_cast<char>(damaged[n] ^ 0x55);
    const std::string result = applied(before, damaged);
    CHECK((result == "failed" || result == after));
  }
}
