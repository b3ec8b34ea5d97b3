// One connection to the table service: a call at a time, each with its time
// limit.
#ifndef ZINNIAGAUGE_STORE_STORE_LINK_H
#define ZINNIAGAUGE_STORE_STORE_LINK_H

#include "zinniagauge/net/channel.h"
#include "zinniagauge/net/http1.h"

#include <string>
#include <string_view>

namespace zinniagauge {

/// A call to the service, as its protocol has it.
struct StoreAsk {
  std::string Method;
  std::string Target;
  std::string Body; // JSON, or empty.
};

/// What became of a call.
struct StoreAnswer {
  int Status = 0; // Zero: no answer; the call may have had its effect.
  std::string Body;
  std::string Why; // Of no answer.
  Time AskedBoot;  // When the call was made, by bootNow.
};

/// Called once for each call.
using StoreDone = void (*)(void *ctx, const StoreAnswer &answer);

/// A connection that is opened when it is needed.
struct StoreLink {
  Loop *Lp = nullptr;
  PeerAddress To;
  Channel Ch;
  MessageParser Parser;
  std::string Body;
  LoopTimer Timer;
  bool Busy = false;
  StoreDone Done = nullptr;
  void *Ctx = nullptr;
  Time AskedBoot;
};

/// Prepares \p link for calls to \p to.
void setUp(StoreLink &link, Loop &lp, PeerAddress to);

/// Makes a call; the link must not be busy. \p done is called with its answer,
/// or with none after \p limit.
void ask(StoreLink &link, const StoreAsk &what, Duration limit, StoreDone done,
         void *ctx);

/// Closes the connection; a call under way gets no answer.
void closeLink(StoreLink &link);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_STORE_STORE_LINK_H
