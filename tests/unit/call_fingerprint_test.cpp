// Tests of what makes a request the same as an earlier one.
#include "zinniagauge/front/call_fingerprint.h"

#include <catch2/catch.hpp>

using namespace zinniagauge;

namespace {

/// The fingerprint of a call with these texts.
CallTraitId fingerprint(const char *workspace, const char *target,
                        const char *body, const char *id = "a",
                        const char *method = "POST") {
  Call call;
  call.Id = id;
  call.Plan.Route = "r";
  call.Plan.WorkspaceName = workspace;
  call.Head.Method = method;
  call.Head.Target = target;
  call.Body = body;
  return fingerprintOf(call);
}

} // namespace

TEST_CASE("a request that comes again has the same fingerprint, under any id",
          "[quarantine]") {
  CHECK(fingerprint("w", "/a", "body", "a") ==
        fingerprint("w", "/a", "body", "b"));
  CHECK(isWholeRequest(fingerprint("w", "/a", "body")));
}

TEST_CASE("requests that differ have different fingerprints", "[quarantine]") {
  const CallTraitId one = fingerprint("w", "/a", "body");
  CHECK(one != fingerprint("v", "/a", "body"));
  CHECK(one != fingerprint("w", "/b", "body"));
  CHECK(one != fingerprint("w", "/a?x", "body"));
  CHECK(one != fingerprint("w", "/a", "body2"));
  CHECK(one != fingerprint("w", "/a", "body", "a", "PUT"));
  // Text can't be moved from one of its parts to the next.
  CHECK(fingerprint("w", "/a", "b") != fingerprint("w", "/", "ab"));
  CHECK(fingerprint("w", "/a1", ":b") != fingerprint("w", "/a", "1:b"));
}
