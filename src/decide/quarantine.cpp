#include "zinniagauge/decide/quarantine.h"

#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <tuple>

namespace zinniagauge {

namespace {

bool byTraitAndCrash(const CrashRecord &a, const CrashRecord &b) {
  return std::tie(a.Trait, a.Crash) < std::tie(b.Trait, b.Crash);
}

bool byTrait(const TraitAnswer &a, const TraitAnswer &b) {
  return a.Trait < b.Trait;
}

/// The answer of \p trait that is known, or null.
const TraitAnswer *findAnswer(const CrashEvidence &ev, CallTraitId trait) {
  const auto it = std::lower_bound(ev.Answers.begin(), ev.Answers.end(),
                                   TraitAnswer{trait, {}}, byTrait);
  return it != ev.Answers.end() && it->Trait == trait ? &*it : nullptr;
}

/// Stores \p answer unless a later one is known.
bool storeAnswer(CrashEvidence &ev, const TraitAnswer &answer) {
  const auto it =
      std::lower_bound(ev.Answers.begin(), ev.Answers.end(), answer, byTrait);
  if (it != ev.Answers.end() && it->Trait == answer.Trait) {
    const bool later = it->At < answer.At;
    it->At = std::max(it->At, answer.At);
    return later;
  }
  ev.Answers.insert(it, answer);
  if (ev.Answers.size() > MaxTraitAnswers)
    ev.Answers.erase(
        std::min_element(ev.Answers.begin(), ev.Answers.end(),
                         [](const TraitAnswer &a, const TraitAnswer &b) {
                           return a.At < b.At;
                         }));
  return true;
}

/// Makes room for a record. What is known of the trait with the fewest records
/// goes first, so that a flood of new traits can't end a quarantine.
void evictOne(CrashEvidence &ev) {
  const auto weight = [&](const CrashRecord &r) {
    return std::make_tuple(crashesOf(ev, r.Trait).size(), r.At);
  };
  ev.Crashes.erase(
      std::min_element(ev.Crashes.begin(), ev.Crashes.end(),
                       [&](const CrashRecord &a, const CrashRecord &b) {
                         return weight(a) < weight(b);
                       }));
}

/// Drops the oldest record of \p trait if it is earlier than \p before.
bool dropOldest(CrashEvidence &ev, CallTraitId trait, Time before) {
  const std::span<const CrashRecord> records = crashesOf(ev, trait);
  const auto oldest = std::min_element(
      records.begin(), records.end(),
      [](const CrashRecord &a, const CrashRecord &b) { return a.At < b.At; });
  if (oldest->At >= before)
    return false;
  ev.Crashes.erase(ev.Crashes.begin() + (&*oldest - ev.Crashes.data()));
  return true;
}

/// The crashes and calls of one trait's records.
struct CrashCount {
  std::uint32_t Crashes = 0; // At least MinCrashSpacing apart.
  std::uint32_t Calls = 0;
  Time LastAt;
};

CrashCount countCrashes(std::span<const CrashRecord> records) {
  std::vector<CrashRecord> list(records.begin(), records.end());
  CrashCount out;
  std::sort(list.begin(), list.end(),
            [](const auto &a, const auto &b) { return a.Call < b.Call; });
  for (std::size_t n = 0; n < list.size(); ++n)
    if (n == 0 || list[n].Call != list[n - 1].Call)
      ++out.Calls;
  std::sort(list.begin(), list.end(),
            [](const auto &a, const auto &b) { return a.At < b.At; });
  Time counted;
  for (const CrashRecord &r : list) {
    if (out.Crashes == 0 || r.At - counted >= MinCrashSpacing) {
      ++out.Crashes;
      counted = r.At;
    }
    out.LastAt = r.At;
  }
  return out;
}

/// How many records a trait must have to explain the crashes of another one.
enum class Explains : std::uint8_t { More, AsMany };

/// The records of \p trait whose crashes no other trait explains. One with as
/// many records doesn't if it is in \p traits, too, unless it is the whole
/// request and \p trait only a part of its prompt.
std::vector<CrashRecord> unexplainedCrashes(const CrashEvidence &ev,
                                            CallTraitId trait,
                                            std::span<const CallTraitId> traits,
                                            Explains rule) {
  const std::span<const CrashRecord> own = crashesOf(ev, trait);
  const auto explains = [&](const CrashRecord &o) {
    const std::size_t n = crashesOf(ev, o.Trait).size();
    return n > own.size() ||
           (rule == Explains::AsMany && n == own.size() &&
            ((isWholeRequest(o.Trait) && !isWholeRequest(trait)) ||
             std::find(traits.begin(), traits.end(), o.Trait) == traits.end()));
  };
  std::vector<CrashRecord> out(own.begin(), own.end());
  std::erase_if(out, [&](const CrashRecord &r) {
    return std::any_of(
        ev.Crashes.begin(), ev.Crashes.end(), [&](const CrashRecord &o) {
          return o.Crash == r.Crash && o.Trait != trait && explains(o);
        });
  });
  return out;
}

Duration quarantineTime(std::uint32_t crashes) {
  Duration out = MinQuarantine;
  for (std::uint32_t n = QuarantineCrashes; n < crashes && out < MaxQuarantine;
       ++n)
    out *= 2;
  return std::min(out, MaxQuarantine);
}

bool mayQuarantine(const CrashCount &count) {
  return count.Crashes >= QuarantineCrashes && count.Calls >= QuarantineCalls;
}

/// How much later than the first front this one may try \p trait again.
Duration trialDelay(CallTraitId trait, const TrialOrder &order) {
  if (order.Spread <= Duration::zero())
    return Duration::zero();
  const auto spread = static_cast<std::uint64_t>(order.Spread.count());
  return Duration(
      static_cast<std::int64_t>(mix64(trait.Value ^ order.Front) % spread));
}

TraitStatus oneTraitStatus(const CrashEvidence &ev, CallTraitId trait,
                           std::span<const CallTraitId> traits, Time now,
                           const TrialOrder &order) {
  const CrashCount count =
      countCrashes(unexplainedCrashes(ev, trait, traits, Explains::More));
  if (count.Crashes < SuspectCrashes)
    return TraitStatus::Clear;
  const Duration time =
      quarantineTime(count.Crashes) + trialDelay(trait, order);
  if (!mayQuarantine(count) || now - count.LastAt >= time)
    return TraitStatus::Suspect;
  return mayQuarantine(countCrashes(
             unexplainedCrashes(ev, trait, traits, Explains::AsMany)))
             ? TraitStatus::Quarantined
             : TraitStatus::Suspect;
}

} // namespace

std::span<const CrashRecord> crashesOf(const CrashEvidence &ev,
                                       CallTraitId trait) noexcept {
  const auto [first, last] = std::equal_range(
      ev.Crashes.begin(), ev.Crashes.end(), CrashRecord{trait, 0, 0, {}},
      [](const CrashRecord &a, const CrashRecord &b) {
        return a.Trait < b.Trait;
      });
  return {first, last};
}

bool recordCrash(CrashEvidence &ev, const CrashRecord &rec) {
  const TraitAnswer *answer = findAnswer(ev, rec.Trait);
  if (answer && answer->At >= rec.At)
    return false;
  const auto it = std::lower_bound(ev.Crashes.begin(), ev.Crashes.end(), rec,
                                   byTraitAndCrash);
  if (it != ev.Crashes.end() && it->Trait == rec.Trait &&
      it->Crash == rec.Crash)
    return false;
  if (crashesOf(ev, rec.Trait).size() >= MaxRecordsPerTrait &&
      !dropOldest(ev, rec.Trait, rec.At))
    return false;
  ev.Crashes.insert(std::lower_bound(ev.Crashes.begin(), ev.Crashes.end(), rec,
                                     byTraitAndCrash),
                    rec);
  if (ev.Crashes.size() > MaxCrashRecords)
    evictOne(ev);
  return true;
}

bool recordAnswer(CrashEvidence &ev, const TraitAnswer &answer) {
  const auto voided = std::erase_if(ev.Crashes, [&](const CrashRecord &r) {
    return r.Trait == answer.Trait && r.At <= answer.At;
  });
  return voided > 0 && storeAnswer(ev, answer);
}

bool mergeEvidence(CrashEvidence &ev, const CrashEvidence &more) {
  bool changed = false;
  for (const TraitAnswer &a : more.Answers) {
    changed = storeAnswer(ev, a) || changed;
    changed = std::erase_if(ev.Crashes,
                            [&](const CrashRecord &r) {
                              return r.Trait == a.Trait && r.At <= a.At;
                            }) > 0 ||
              changed;
  }
  for (const CrashRecord &r : more.Crashes)
    changed = recordCrash(ev, r) || changed;
  return changed;
}

bool dropExpired(CrashEvidence &ev, Time now) {
  const auto crashes = std::erase_if(ev.Crashes, [&](const CrashRecord &r) {
    return now - r.At > CrashRecordLifetime;
  });
  const auto answers = std::erase_if(ev.Answers, [&](const TraitAnswer &a) {
    return now - a.At > AnswerLifetime;
  });
  return crashes + answers > 0;
}

bool sameEvidence(const CrashEvidence &a, const CrashEvidence &b) {
  return std::equal(a.Crashes.begin(), a.Crashes.end(), b.Crashes.begin(),
                    b.Crashes.end(),
                    [](const CrashRecord &x, const CrashRecord &y) {
                      return x.Trait == y.Trait && x.Crash == y.Crash;
                    }) &&
         std::equal(a.Answers.begin(), a.Answers.end(), b.Answers.begin(),
                    b.Answers.end(),
                    [](const TraitAnswer &x, const TraitAnswer &y) {
                      return x.Trait == y.Trait;
                    });
}

TraitStatus statusOf(const CrashEvidence &ev,
                     std::span<const CallTraitId> traits, Time now,
                     const TrialOrder &order) {
  TraitStatus out = TraitStatus::Clear;
  for (const CallTraitId trait : traits)
    if (crashesOf(ev, trait).size() >= SuspectCrashes)
      out = std::max(out, oneTraitStatus(ev, trait, traits, now, order));
  return out;
}

bool mayCrashAgain(const CrashEvidence &ev, std::span<const CallTraitId> traits,
                   Time now) {
  return std::any_of(traits.begin(), traits.end(), [&](CallTraitId trait) {
    const auto list = unexplainedCrashes(ev, trait, traits, Explains::More);
    return std::any_of(list.begin(), list.end(), [&](const CrashRecord &r) {
      return now - r.At >= MinCrashSpacing;
    });
  });
}

void recordAnswered(AnsweredTraits &traits, CallTraitId trait, Time now) {
  if (!traits.Young.contains(trait) &&
      traits.Young.size() >= MaxAnsweredTraits) {
    traits.Old = std::move(traits.Young);
    traits.Young.clear();
  }
  traits.Young[trait] = now;
}

Time lastAnswered(const AnsweredTraits &traits, CallTraitId trait) noexcept {
  if (const auto it = traits.Young.find(trait); it != traits.Young.end())
    return it->second;
  const auto it = traits.Old.find(trait);
  return it == traits.Old.end() ? Time() : it->second;
}

} // namespace zinniagauge
