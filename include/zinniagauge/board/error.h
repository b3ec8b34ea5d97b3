// Errors, with the step and the peer at which they occurred.
#ifndef ZINNIAGAUGE_BOARD_ERROR_H
#define ZINNIAGAUGE_BOARD_ERROR_H

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace zinniagauge {

/// The step at which an error occurred.
enum class Step : std::uint8_t {
  Settings,      ///< Reading and checking the settings.
  Receive,       ///< Reading the caller's request.
  Authorise,     ///< Finding the workspace of the caller's key.
  Route,         ///< Finding the pool of a model or path.
  Admit,         ///< Waiting for a grant.
  Claim,         ///< Claiming an idempotency key.
  Connect,       ///< Opening a connection to an endpoint or peer.
  Dispatch,      ///< Sending the request to an endpoint.
  ReadResponse,  ///< Reading the endpoint's response.
  WriteResponse, ///< Writing the response to the caller.
  Bundle,        ///< Checking, proposing, approving or distributing a bundle.
  Move,          ///< Moving traffic from one version to another.
  Exchange,      ///< Exchanging state with another VM.
  Platform,      ///< Calling the table, the object store or the VM list.
};

/// The kind of an error, which determines how it is handled.
enum class ErrorCode : std::uint8_t {
  Invalid,      ///< The input is wrong; a retry can't succeed.
  Denied,       ///< The key is missing, wrong or lacks permission.
  NotFound,     ///< Nothing with that name exists.
  Conflict,     ///< A concurrent change took effect first.
  TooLarge,     ///< The input exceeds a size limit.
  Overloaded,   ///< Refused to protect other requests; retry later.
  Unavailable,  ///< The peer is unreachable or reports that it can't serve.
  TimedOut,     ///< No response arrived in time.
  Broken,       ///< The response is truncated or malformed.
  Disconnected, ///< The caller has disconnected.
  Stopping,     ///< This process is stopping.
};

/// An error, with the place where it occurred.
struct Error {
  ErrorCode Code = ErrorCode::Invalid;
  Step FailedStep = Step::Receive;
  std::string Peer;   // Name or address; empty if no peer was involved.
  std::string Detail; // One sentence without a full stop.
};

/// The result of a call that may fail with an Error.
template <typename T> using Result = boost::leaf::result<T>;

/// The lower-case name of \p step, as it appears in logs and responses.
[[nodiscard]] std::string_view toString(Step step) noexcept;

/// The lower-case name of \p code, with words joined by '_'.
[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

/// "step at peer: code: detail", for logs and terminals.
[[nodiscard]] std::string describe(const Error &err);

/// Makes the error to return from a function that returns a Result.
[[nodiscard]] inline boost::leaf::error_id fail(Error err) {
  return boost::leaf::new_error(std::move(err));
}

/// Calls \p fn, which returns a Result<T>, and passes its value to \p onvalue
/// or its Error to \p onerror. Both must return the same type; their result is
/// returned.
template <typename Fn, typename OnValue, typename OnError>
auto handleResult(Fn &&fn, OnValue &&onvalue, OnError &&onerror) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<decltype(onerror(Error{}))> {
        auto res = fn();
        if (!res)
          return res.error();
        if constexpr (std::is_void_v<decltype(res.value())>)
          return onvalue();
        else
          return onvalue(std::move(res.value()));
      },
      [&](const Error &err) { return onerror(err); },
      [&] {
        return onerror(
            Error{ErrorCode::Broken, Step::Receive, {}, "no details"});
      });
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ERROR_H
