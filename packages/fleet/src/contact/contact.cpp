// Whether a target is known to live just before work starts there.

#include "contact/contact.h"

#include <algorithm>

namespace cuminbridge {

bool
IsInContact(const FleetState& aState, const Target& aTarget)
{
  // Longer than the long poll of targets with batch work, which need no probe.
  constexpr Millis kMaxAge(500);
  return aTarget.contact_ == Contact::Good && aTarget.heardAt_ &&
         aState.now_ - *aTarget.heardAt_ < kMaxAge;
}

bool
NeedsContact(const ItemState& aItem)
{
  return aItem.isStartUnanswered_ ||
         std::any_of(aItem.crashes_.begin(),
                     aItem.crashes_.end(),
                     [](const Crash& aCrash) {
                       return aCrash.kind_ == CrashKind::Unanswered ||
                              aCrash.kind_ == CrashKind::Unreached;
                     });
}

std::vector<Candidate>
CandidatesInContact(const FleetState& aState,
                    const Targets& aTargets,
                    std::vector<Candidate> aCandidates)
{
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    auto& candidate = aCandidates[index];
    candidate.isEligible_ =
      candidate.isEligible_ && IsInContact(aState, *aTargets[index]);
  }
  return aCandidates;
}

void
ProbeCandidates(FleetState& aState,
                const Targets& aTargets,
                std::vector<Candidate> aCandidates,
                std::size_t aCount,
                const Choose& aChoose)
{
  for (std::size_t count = 0; count < aCount; ++count) {
    const int best = aChoose(aCandidates);
    if (best == kNoCandidate) {
      return;
    }
    const auto chosen = static_cast<std::size_t>(best);
    aCandidates[chosen].isEligible_ = false;
    auto& target = *aTargets[chosen];
    if (!target.isProbed_ && !IsInContact(aState, target)) {
      target.isProbed_ = true;
      target.nextRenewal_ = std::min(target.nextRenewal_, aState.now_);
      aState.watchedTargets_.insert(target.report_.id_);
    }
  }
}

} // namespace cuminbridge
