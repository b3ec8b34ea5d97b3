// Names of the HTTP headers that carry the data of a call. Only the front end
// uses them; the decision code is independent of the message encoding.
#ifndef ZINNIAGAUGE_FRONT_HEADER_NAMES_H
#define ZINNIAGAUGE_FRONT_HEADER_NAMES_H

#include <span>
#include <string_view>

namespace zinniagauge {

/// Header names used with callers and back ends.
struct HeaderNames {
  std::string_view CallId;     // The caller's attempt; echoed in the response.
  std::string_view TimeLeft;   // Milliseconds until the call's deadline.
  std::string_view Credential; // The caller's key.
  std::string_view Workspace;  // Workspace name; set in requests to back ends.
  std::string_view Endpoint;   // Intended back end's name; set in requests.
  std::string_view NotRun;     // In a response: the call wasn't run.
  std::string_view Seal;       // In a response: proves that an engine sent it.
  std::string_view Leaving;    // In a response: "1" if the back end leaves.
  /// In a response: the calls a second that the back end takes from all fronts.
  std::string_view SendLimit;
  /// In a response: the back end fails above so many rejections a second.
  std::string_view RejectionLimit;
  /// In a response: the back end's load, as parseReportedLoad reads it.
  std::string_view ServerLoad;
  std::string_view Tokens;      // "<prompt tokens>,<maximum output tokens>".
  std::string_view PromptParts; // "<id>:<tokens>,...", in order.
  std::string_view LengthHint;  // Output tokens that the caller expects.
  std::string_view ResumeAfter; // Id of the last event received, to resume.
  /// Removed from callers' requests.
  std::span<const std::string_view> ReservedFields;
  std::string_view ReadyPath; // Path of the readiness check.
};

} // namespace zinniagauge

#endif // ZINNIAGAUGE_FRONT_HEADER_NAMES_H
