#include "control/evidence_book.h"

namespace rattandyke::control {

namespace {

// Failures have to go on for so long: an upstream that restarts its listener
// is back sooner.
constexpr std::chrono::milliseconds kFailingFor{ 500 };
// Older sights say nothing of now.
constexpr std::chrono::milliseconds kRecent{ 1000 };
constexpr std::chrono::seconds kMemory{ 10 };
constexpr size_t kLeastAccusers = 2;
// A host has to have tried so many before its link can be told from them.
constexpr size_t kLeastTried = 2;

} // namespace

void
EvidenceBook::Note(const wire::Heartbeat& aHeartbeat, Instant aNow)
{
  Sights& sights = mWitnesses[aHeartbeat.host()];
  for (const wire::UpstreamEvidence& evidence : aHeartbeat.evidence()) {
    const bool reached =
      evidence.succeeded() + evidence.failed() + evidence.shed() > 0;
    if (!reached && evidence.unreachable() == 0) {
      continue;
    }
    Sight& sight = sights[{ evidence.service(), evidence.upstream() }];
    sight.last = aNow;
    if (reached) {
      sight.failingSince.reset();
    } else if (!sight.failingSince) {
      sight.failingSince = aNow;
    }
  }
  std::erase_if(sights, [&](const auto& aItem) {
    return aNow - aItem.second.last > kMemory;
  });
}

void
EvidenceBook::Forget(const Key& aUpstream)
{
  for (auto& [host, sights] : mWitnesses) {
    sights.erase(aUpstream);
  }
}

bool
EvidenceBook::IsRecent(const Sight& aSight, Instant aNow)
{
  return aNow - aSight.last <= kRecent;
}

bool
EvidenceBook::IsFailing(const Sight& aSight, Instant aNow)
{
  return aSight.failingSince && aNow - *aSight.failingSince >= kFailingFor;
}

bool
EvidenceBook::HasBadLink(const Sights& aSights, Instant aNow)
{
  size_t tried = 0;
  size_t failing = 0;
  for (const auto& [upstream, sight] : aSights) {
    if (IsRecent(sight, aNow)) {
      ++tried;
      failing += sight.failingSince ? 1 : 0;
    }
  }
  return tried >= kLeastTried && failing * 2 > tried;
}

std::vector<EvidenceBook::Key>
EvidenceBook::Unreachable(size_t aEntries, Instant aNow)
{
  std::map<Key, std::pair<size_t, size_t>> votes;
  for (const auto& [host, sights] : mWitnesses) {
    if (HasBadLink(sights, aNow)) {
      continue;
    }
    for (const auto& [upstream, sight] : sights) {
      if (IsRecent(sight, aNow)) {
        auto& [accusers, witnesses] = votes[upstream];
        accusers += IsFailing(sight, aNow) ? 1 : 0;
        ++witnesses;
      }
    }
  }
  std::vector<Key> unreachable;
  const size_t least = std::min(kLeastAccusers, aEntries);
  for (const auto& [upstream, vote] : votes) {
    const auto [accusers, witnesses] = vote;
    if (accusers > 0 && accusers >= least && accusers * 2 > witnesses) {
      unreachable.push_back(upstream);
    }
  }
  return unreachable;
}

} // namespace rattandyke::control
