// One connection to the table service: a call at a time, each with its time
// limit.
#ifndef ZINNIAGAUGE_STORE_STORE_CONNECTION_H
#define ZINNIAGAUGE_STORE_STORE_CONNECTION_H

#include "zinniagauge/net/http1.h"
#include "zinniagauge/net/tcp_connection.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// A call to the service, as its protocol has it.
struct StoreRequest {
  std::string Method;
  std::string Target;
  std::string Body; // JSON, or empty.
};

/// What became of a call.
struct StoreResponse {
  int Status = 0; // Zero: no answer; the call may have had its effect.
  std::string Body;
  std::string FailureReason; // Of no answer.
  Time RequestedAtBoot;      // When the call was made, by bootNow.
};

/// Called once for each call.
using StoreCallback = void (*)(void *ctx, const StoreResponse &answer);

/// A connection that is opened when it is needed.
struct StoreConnection {
  Loop *Lp = nullptr;
  PeerAddress ServerAddress;
  TcpConnection Tcp;
  MessageParser Parser;
  std::string Body;
  LoopTimer Timer;
  bool Busy = false;
  StoreCallback Callback = nullptr;
  void *Ctx = nullptr;
  Time RequestedAtBoot;
};

/// Prepares \p link for calls to \p to.
void setUpStoreConnection(StoreConnection &link, Loop &lp, PeerAddress to);

/// Makes a call; the link must not be busy. \p done is called with its answer,
/// or with none after \p limit.
void sendRequest(StoreConnection &link, const StoreRequest &what,
                 Duration limit, StoreCallback done, void *ctx);

/// Closes the connection; a call under way gets no answer.
void closeStoreConnection(StoreConnection &link);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_STORE_CONNECTION_H
