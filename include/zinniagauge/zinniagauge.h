// Everything that needs no library of an encoding or transport: the board, the
// decisions and the timer service. Adapters are included one by one.
#ifndef ZINNIAGAUGE_ZINNIAGAUGE_H
#define ZINNIAGAUGE_ZINNIAGAUGE_H

#include "zinniagauge/board/board.h"
#include "zinniagauge/board/error.h"
#include "zinniagauge/board/invariant.h"
#include "zinniagauge/board/request.h"
#include "zinniagauge/board/table.h"
#include "zinniagauge/board/ticket.h"
#include "zinniagauge/config.h"
#include "zinniagauge/decide/admit.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/breaker.h"
#include "zinniagauge/decide/bundle_head.h"
#include "zinniagauge/decide/bundle_spread.h"
#include "zinniagauge/decide/burn.h"
#include "zinniagauge/decide/check_bundle.h"
#include "zinniagauge/decide/clock_bound.h"
#include "zinniagauge/decide/dispatch.h"
#include "zinniagauge/decide/end_mark.h"
#include "zinniagauge/decide/evidence.h"
#include "zinniagauge/decide/exchange.h"
#include "zinniagauge/decide/member.h"
#include "zinniagauge/decide/move.h"
#include "zinniagauge/decide/retry.h"
#include "zinniagauge/decide/schedule.h"
#include "zinniagauge/decide/share.h"
#include "zinniagauge/fwd.h"
#include "zinniagauge/time/timer_service.h"

#endif // ZINNIAGAUGE_ZINNIAGAUGE_H
