// The names under which a front end reads and writes the facts of a call. The
// decisions know the facts only.
#ifndef ZINNIAGAUGE_FRONT_HEADER_NAMES_H
#define ZINNIAGAUGE_FRONT_HEADER_NAMES_H

#include <span>
#include <string_view>

namespace zinniagauge {

/// Header names of callers and back ends.
struct HeaderNames {
  std::string_view CallId;      // Names the caller's attempt; echoed.
  std::string_view TimeLeft;    // Ms that the receiver may take.
  std::string_view Credential;  // The caller's key.
  std::string_view Workspace;   // Name; set for back ends.
  std::string_view Endpoint;    // The back end that is meant; set for it.
  std::string_view NotRunMark;  // Of an answer: the call wasn't run.
  std::string_view Seal;        // Of an answer: proves whose it is.
  std::string_view Tokens;      // "prompt,most output".
  std::string_view LengthHint;  // Tokens that the caller expects.
  std::string_view ResumeAfter; // Id of the last event that was received.
  std::span<const std::string_view>
      OwnFields;              // Dropped from what callers send.
  std::string_view ReadyPath; // Of the status address.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_HEADER_NAMES_H
