// Errors: what went wrong, at which step and at which peer.
#ifndef ZINNIAGAUGE_BOARD_ERROR_H
#define ZINNIAGAUGE_BOARD_ERROR_H

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace zinniagauge {

/// The step of the work at which an error arose.
enum class Step : std::uint8_t {
  Settings,      ///< Reading and checking the settings.
  Receive,       ///< Reading the caller's request.
  Authorise,     ///< Finding the workspace of the caller's key.
  Route,         ///< Finding the pool of a model or path.
  Admit,         ///< Waiting for a grant.
  Claim,         ///< Claiming an idempotency key.
  Connect,       ///< Opening a connection to an endpoint or peer.
  Dispatch,      ///< Sending the request to an endpoint.
  ReadResponse,  ///< Reading the endpoint's answer.
  WriteResponse, ///< Writing to the caller.
  Bundle,        ///< Checking, proposing, approving or spreading a bundle.
  Move,          ///< Moving traffic from one version to another.
  Exchange,      ///< Exchanging state with another VM.
  Platform,      ///< Calling the table, the object store or the VM list.
};

/// The kind of an error, which decides what is done about it.
enum class ErrorCode : std::uint8_t {
  Invalid,      ///< The input is wrong; trying again is no use.
  Denied,       ///< The key is missing or wrong, or lacks the right.
  NotFound,     ///< Nothing has that name.
  Conflict,     ///< Another change came first.
  TooLarge,     ///< Over a stated size.
  Overloaded,   ///< Refused to protect the rest; try later.
  Unavailable,  ///< The peer can't be reached or says that it can't serve.
  TimedOut,     ///< No answer in time.
  Broken,       ///< The answer is cut short or malformed.
  Disconnected, ///< The caller has left.
  Stopping,     ///< This process is stopping.
};

/// An error as it is passed on: every one says where it arose.
struct Error {
  ErrorCode Code = ErrorCode::Invalid;
  Step FailedStep = Step::Receive;
  std::string Peer;   // Name or address; empty if no peer was involved.
  std::string Detail; // One sentence without a full stop.
};

/// The result of a call that may fail with an Error.
template <typename T> using Result = boost::leaf::result<T>;

/// The lower-case name of \p at, as logs and answers carry it.
[[nodiscard]] std::string_view toString(Step at) noexcept;

/// The lower-case name of \p code, words joined by '_'.
[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

/// "step at peer: code: detail", for logs and terminals.
[[nodiscard]] std::string describe(const Error &err);

/// Starts the failure of a function that returns a Result.
[[nodiscard]] inline boost::leaf::error_id fail(Error err) {
  return boost::leaf::new_error(std::move(err));
}

/// Calls \p fn, which returns a Result<T>, and gives its value to \p ok or its
/// Error to \p bad; both must return the same type.
template <typename Fn, typename Ok, typename Bad>
auto handleResult(Fn &&fn, Ok &&ok, Bad &&bad) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<decltype(bad(Error{}))> {
        auto res = fn();
        if (!res)
          return res.error();
        if constexpr (std::is_void_v<decltype(res.value())>)
          return ok();
        else
          return ok(std::move(res.value()));
      },
      [&](const Error &err) { return bad(err); },
      [&] {
        return bad(Error{ErrorCode::Broken, Step::Receive, {}, "no details"});
      });
}

} // namespace zinniagauge

#endif // ZINNIAGAUGE_BOARD_ERROR_H
