// Claims, renews and reads the slots of coordinators in the table service.
#include "zinniagauge/store/controllers.h"
#include "zinniagauge/store/report_builder.h"

#include "zinniagauge/decide/random.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace zinniagauge {

namespace {

/// How often a coordinator renews its row and reads the others.
constexpr Duration RenewPeriod = std::chrono::seconds(4);

/// The shortest time between two reads by a front that finds no coordinator.
constexpr Duration MinReadInterval = std::chrono::seconds(1);

constexpr Duration ResponseTimeout = std::chrono::milliseconds(700);

using nlohmann::json;

std::string encodeRow(const CoordinatorController &cc) {
  const FrontSettings &set = cc.Owner->Settings;
  const json doc = {
      {"zone", set.Zone},
      {"node", set.Node},
      {"life", cc.Incarnation},
      {"beat", cc.Heartbeat},
      {"address", toString(set.GossipAddress)},
      {"fronts", groupSize(cc.Owner->PeerGossip)},
  };
  return doc.dump();
}

/// Parses a row; nullopt if it can't be read.
std::optional<CoordinatorRow> parseRow(const TableRow &row) {
  const json doc = json::parse(row.Value, nullptr, false);
  if (!doc.is_object())
    return std::nullopt;
  try {
    CoordinatorRow out;
    out.Key = row.Key;
    out.Version = row.Version;
    out.Zone = doc.at("zone").get<std::string>();
    out.Node = doc.at("node").get<std::string>();
    out.Incarnation = doc.at("life").get<std::uint64_t>();
    out.Heartbeat = doc.at("beat").get<std::uint64_t>();
    out.GroupSize = doc.at("fronts").get<std::uint32_t>();
    const auto address = parseAddress(doc.at("address").get<std::string>());
    if (!address)
      return std::nullopt;
    out.Address = *address;
    return out;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

void requestRead(CoordinatorController &cc);

/// Writes this front's row to \p slot if the row's version is the expected one.
void writeSlot(CoordinatorController &cc, const SlotWrite &slot);

/// Arms the timer of a claim, for a random time after \p wait.
void armClaim(CoordinatorController &cc, Duration wait) {
  if (cc.ClaimTimer.Hook.is_linked())
    return;
  constexpr double Scale = 1.0 / 1'000'000;
  const double random =
      static_cast<double>(randomBelow(cc.RandomState, 1'000'000)) * Scale;
  arm(cc.Owner->EventLoop, cc.ClaimTimer,
      cc.Owner->EventLoop.Now + wait +
          claimDelay(cc.Owner->Settings.CpuShare, random));
}

void applyRows(CoordinatorController &cc, const TableReadResult &rd) {
  Controllers &ct = *cc.Owner;
  std::vector<CoordinatorRow> rows;
  for (const TableRow &row : rd.Rows) {
    if (auto r = parseRow(row))
      rows.push_back(std::move(*r));
    else
      countTableCall(ct.Metrics, "coordinator_row", "unreadable");
  }
  const std::uint64_t era = ct.Board.TableEra.copy().Number;
  const bool restored = cc.Table.Era != era;
  updateCoordinators(cc.Table, rows, era, ct.EventLoop.Now);
  if (ct.Board.HeardAt == 0)
    ct.Board.LivingFronts = livingFronts(cc.Table);
  const auto held = heldSlot(cc.Table, ct.Settings.Node);
  cc.HoldsSlot = held.has_value();
  onCoordinatorsChanged(ct.PeerGossip);
  // A row of this front's former process is taken over at once, and one that a
  // restored service may have lost is written again.
  if (held && (restored || !cc.RenewTimer.Hook.is_linked()))
    arm(ct.EventLoop, cc.RenewTimer, ct.EventLoop.Now);
  if (held || isAttached(ct.PeerGossip))
    return;
  const auto free = claimableSlot(cc.Table, ct.Settings.Zone);
  if (free && cc.ClaimDue)
    writeSlot(cc, *free);
  else if (free)
    armClaim(cc, Duration::zero());
  cc.ClaimDue = false;
}

void onReadResponse(void *ctx, const StoreResponse &response) {
  CoordinatorController &cc = *static_cast<CoordinatorController *>(ctx);
  const EraOrder order = applyStoreEra(*cc.Owner, response, "coordinators");
  handleResult([&] { return cc.Owner->Protocol.ParseRows(response); },
               [&](const TableReadResult &rd) {
                 recordStoreResult(*cc.Owner, cc.StoreUnreachable,
                                   "coordinators", response, nullptr);
                 if (order == EraOrder::Outdated)
                   requestRead(cc);
                 else
                   applyRows(cc, rd);
                 return 0;
               },
               [&](const Error &err) {
                 recordStoreResult(*cc.Owner, cc.StoreUnreachable,
                                   "coordinators", response, &err);
                 return 0;
               });
}

void onWriteResponse(void *ctx, const StoreResponse &response) {
  CoordinatorController &cc = *static_cast<CoordinatorController *>(ctx);
  static_cast<void>(applyStoreEra(*cc.Owner, response, "coordinators"));
  handleResult([&] { return cc.Owner->Protocol.ParseWriteResult(response); },
               [&](const TableResult & /*res*/) {
                 // The rows tell who holds which slot, also after a lost race.
                 requestRead(cc);
                 return 0;
               },
               [&](const Error &err) {
                 recordStoreResult(*cc.Owner, cc.StoreUnreachable,
                                   "coordinators", response, &err);
                 return 0;
               });
}

void requestRead(CoordinatorController &cc) {
  cc.LastReadAt = cc.Owner->EventLoop.Now;
  sendRequest(cc.Connection,
              cc.Owner->Protocol.ReadRequest(StoreTable::Fronts, {}),
              ResponseTimeout, onReadResponse, &cc);
}

void writeSlot(CoordinatorController &cc, const SlotWrite &slot) {
  // In another era the version may be that of another holder's row. Zero: a
  // coordinator of a build that knows no eras reported the slot.
  if (slot.Era != 0 && slot.Era != cc.Owner->Board.TableEra.copy().Number) {
    requestRead(cc);
    return;
  }
  ++cc.Heartbeat;
  TableTransaction tx;
  tx.Ops.push_back({slot.ExpectedVersion == 0 ? TableOpKind::PutIfAbsent
                                              : TableOpKind::CompareAndSwap,
                    slot.Key, encodeRow(cc), slot.ExpectedVersion});
  sendRequest(cc.Connection,
              cc.Owner->Protocol.WriteRequest(StoreTable::Fronts, tx),
              ResponseTimeout, onWriteResponse, &cc);
}

void onRenewTimer(void *ctx, Time now) {
  CoordinatorController &cc = *static_cast<CoordinatorController *>(ctx);
  const auto held = heldSlot(cc.Table, cc.Owner->Settings.Node);
  if (!held)
    return;
  arm(cc.Owner->EventLoop, cc.RenewTimer, now + RenewPeriod);
  if (!cc.Connection.Busy)
    writeSlot(cc, *held);
}

void onClaimTimer(void *ctx, Time now) {
  CoordinatorController &cc = *static_cast<CoordinatorController *>(ctx);
  if (cc.HoldsSlot)
    return;
  if (cc.Connection.Busy) {
    arm(cc.Owner->EventLoop, cc.ClaimTimer, now + ResponseTimeout);
    return;
  }
  if (!isAttached(cc.Owner->PeerGossip)) {
    cc.ClaimDue = true;
    requestRead(cc); // Other fronts may have claimed slots meanwhile.
  } else if (!cc.VacantSlots.empty()) {
    // The condition of the write tells whether another front was faster.
    writeSlot(cc, cc.VacantSlots.front());
  }
}

} // namespace

void onStoreRestored(CoordinatorController &cc) {
  if (cc.HoldsSlot && !cc.Connection.Busy)
    requestRead(cc);
}

void requestCoordinators(CoordinatorController &cc) {
  if (!cc.Connection.Busy &&
      cc.Owner->EventLoop.Now - cc.LastReadAt >= MinReadInterval)
    requestRead(cc);
}

void considerVacantSlots(CoordinatorController &cc,
                         std::span<const SlotWrite> vacant) {
  cc.VacantSlots.clear();
  for (const SlotWrite &s : vacant)
    if (s.Key.substr(0, s.Key.rfind('/')) == cc.Owner->Settings.Zone)
      cc.VacantSlots.push_back(s);
  // The coordinator may have read the table just before a slot was taken.
  if (!cc.VacantSlots.empty())
    armClaim(cc, RenewPeriod);
}

void startCoordinatorController(CoordinatorController &cc) {
  std::random_device dev;
  cc.Incarnation = (std::uint64_t{dev()} << 32U) | dev();
  cc.RandomState = cc.Incarnation;
  setUpStoreConnection(cc.Connection, cc.Owner->EventLoop,
                       cc.Owner->Settings.TableServiceAddress);
  cc.RenewTimer.Fn = onRenewTimer;
  cc.RenewTimer.Ctx = &cc;
  cc.ClaimTimer.Fn = onClaimTimer;
  cc.ClaimTimer.Ctx = &cc;
  requestRead(cc);
}

} // namespace zinniagauge
