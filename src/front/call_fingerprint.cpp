#include "zinniagauge/front/call_fingerprint.h"

#include <boost/uuid/name_generator_sha1.hpp>

#include <cstring>

namespace zinniagauge {

namespace {

/// Appends \p text and its length, so that no two lists of texts are equal.
void appendText(std::string &out, std::string_view text) {
  out.append(std::to_string(text.size())).append(":").append(text);
}

} // namespace

CallTraitId fingerprintOf(const Call &call) {
  std::string text;
  for (const std::string_view part :
       {std::string_view(call.Plan.Route),
        std::string_view(call.Plan.WorkspaceName),
        std::string_view(call.Head.Method), std::string_view(call.Head.Target),
        std::string_view(call.Body)})
    appendText(text, part);
  constexpr boost::uuids::uuid Namespace = {{0x8e, 0x3f, 0x61, 0x0c, 0x52, 0xd7,
                                             0x4a, 0x19, 0xa4, 0x6b, 0x27, 0xf0,
                                             0x95, 0xce, 0x13, 0x7d}};
  const boost::uuids::uuid digest =
      boost::uuids::name_generator_sha1(Namespace)(text.data(), text.size());
  CallTraitId out;
  std::memcpy(&out.Value, digest.data, sizeof out.Value);
  return wholeRequestTrait(out);
}

} // namespace zinniagauge
