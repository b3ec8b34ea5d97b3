// Applies the quarantine to the calls of this front.
#include "zinniagauge/decide/random.h"
#include "zinniagauge/front/reachability.h"

#include <algorithm>

namespace zinniagauge {

namespace {

/// A trait that was answered within this time isn't recorded in a crash.
constexpr Duration RecentAnswer = std::chrono::seconds(5);

/// A back end that refuses connections later than this after a connection was
/// lost may have ended for another reason.
constexpr Duration MaxConfirmTime = std::chrono::seconds(1);

/// Fronts start their trials within this time for each front, so that the
/// first one's result is known before the next.
constexpr Duration TrialSpreadPerFront = std::chrono::seconds(4);

TraitStatus traitStatus(const RequestLoop &rl,
                        std::span<const CallTraitId> traits) {
  if (rl.Crashes.Crashes.empty())
    return TraitStatus::Clear;
  const auto fronts = static_cast<std::int64_t>(rl.Board.LivingFronts);
  const TrialOrder order{nameHash(rl.Settings.Node),
                         TrialSpreadPerFront * fronts};
  return statusOf(rl.Crashes, traits, rl.EventLoop.Now, order);
}

bool contains(const Call &call, CallTraitId trait) {
  const auto &traits = call.Work.Traits;
  return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

/// Whether \p call has got past its first event. A suspect call then no longer
/// holds back others, and is resumed like them.
bool hasBegun(const Call &call) {
  return call.WasAnswered || call.Stream.Events > 1;
}

void publishCrashes(RequestLoop &rl) {
  rl.Board.OwnCrashes.publish(rl.Crashes);
  scheduleLoadReport(rl);
}

/// Logs \p rec, one of the records \p all of the crash of \p backend.
void logCrash(RequestLoop &rl, std::string_view backend, const CrashRecord &rec,
              std::span<const CrashRecord> all) {
  std::vector<CallTraitId> traits;
  for (const CrashRecord &r : all)
    if (r.Call == rec.Call)
      traits.push_back(r.Trait);
  EventLine line = eventLine("crash_recorded");
  add(line, "backend", backend);
  add(line, "trait", static_cast<std::int64_t>(rec.Trait.Value));
  add(line, "whole_request", std::int64_t{isWholeRequest(rec.Trait) ? 1 : 0});
  add(line, "crashes",
      static_cast<std::int64_t>(crashesOf(rl.Crashes, rec.Trait).size()));
  add(line, "quarantined",
      std::int64_t{traitStatus(rl, traits) == TraitStatus::Quarantined ? 1
                                                                       : 0});
  rl.Log.write(line);
}

} // namespace

TraitStatus traitStatus(const RequestLoop &rl, const Call &call) {
  return traitStatus(rl, call.Work.Traits);
}

bool isHeldBack(const RequestLoop &rl, const Call &call) {
  if (traitStatus(rl, call) != TraitStatus::Suspect)
    return false;
  const auto sharessuspect = [&](const Call &other) {
    return std::any_of(call.Work.Traits.begin(), call.Work.Traits.end(),
                       [&](CallTraitId trait) {
                         return contains(other, trait) &&
                                traitStatus(rl, {&trait, 1}) !=
                                    TraitStatus::Clear;
                       });
  };
  return std::any_of(rl.BackendConnections.begin(), rl.BackendConnections.end(),
                     [&](const auto &it) {
                       const Call *other = it.second->ActiveCall.get();
                       return other && other != &call && !hasBegun(*other) &&
                              sharessuspect(*other);
                     });
}

void recordAnswered(RequestLoop &rl, Call &call) {
  if (call.WasAnswered)
    return;
  call.WasAnswered = true;
  bool changed = false;
  for (const CallTraitId trait : call.Work.Traits) {
    recordAnswered(rl.Answered, trait, rl.EventLoop.Now);
    changed = recordAnswer(rl.Crashes, {trait, rl.EventLoop.Now}) || changed;
  }
  if (changed)
    publishCrashes(rl);
}

void onConnectionLost(RequestLoop &rl, BackendState &to, const Call &call) {
  if (call.WasAnswered || to.IsPeer)
    return;
  const bool checking = !to.UnconfirmedCrashes.empty();
  for (const CallTraitId trait : call.Work.Traits) {
    const Time answered = lastAnswered(rl.Answered, trait);
    if (answered != Time() && rl.EventLoop.Now - answered < RecentAnswer)
      continue;
    to.UnconfirmedCrashes.push_back(
        {trait, mix64(to.Info.Id.Value ^ to.Info.StartedAtMs),
         nameHash(call.Id), rl.EventLoop.Now});
  }
  if (!checking && !to.UnconfirmedCrashes.empty())
    checkBackend(rl, to);
}

void onBackendDown(RequestLoop &rl, BackendState &to) {
  HeldCrashes crashes;
  crashes.Backend = to.Info.Name;
  crashes.StartedAtMs = to.Info.StartedAtMs;
  crashes.Records = std::move(to.UnconfirmedCrashes);
  to.UnconfirmedCrashes.clear();
  std::erase_if(crashes.Records, [&](const CrashRecord &rec) {
    return rl.EventLoop.Now - rec.At > MaxConfirmTime;
  });
  for (const CrashRecord &rec : crashes.Records)
    crashes.At = std::max(crashes.At, rec.At);
  if (!crashes.Records.empty())
    recordOnceReached(rl, to, std::move(crashes));
}

void recordCrashes(RequestLoop &rl, const HeldCrashes &crashes) {
  std::vector<CrashRecord> recorded = crashes.Records;
  std::erase_if(recorded, [&](const CrashRecord &rec) {
    return !recordCrash(rl.Crashes, rec);
  });
  for (const CrashRecord &rec : recorded)
    logCrash(rl, crashes.Backend, rec, recorded);
  if (!recorded.empty())
    publishCrashes(rl);
}

bool mayCrashAgain(const RequestLoop &rl, const Call &call) {
  return !hasBegun(call) &&
         mayCrashAgain(rl.Crashes, call.Work.Traits, rl.EventLoop.Now);
}

void updateCrashes(RequestLoop &rl) {
  bool changed = dropExpired(rl.Crashes, rl.EventLoop.Now);
  {
    const ReadGuard guard;
    changed =
        mergeEvidence(rl.Crashes, rl.Board.PeerCrashes.read(guard)) || changed;
  }
  std::vector<TraitAnswer> answers;
  for (const CrashRecord &rec : rl.Crashes.Crashes)
    if (const Time at = lastAnswered(rl.Answered, rec.Trait); at > rec.At)
      answers.push_back({rec.Trait, at});
  for (const TraitAnswer &answer : answers)
    changed = recordAnswer(rl.Crashes, answer) || changed;
  if (changed)
    publishCrashes(rl);
}

} // namespace zinniagauge
