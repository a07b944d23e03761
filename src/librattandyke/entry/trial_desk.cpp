#include "entry/trial_desk.h"

namespace rattandyke::entry {

TrialDesk::TrialDesk(Settings aSettings, Instant aNow)
  : mSettings(aSettings)
  , mOpensAt(aNow + aSettings.longest)
{
}

std::optional<TrialAnswer>
TrialDesk::Step(const TrialEvent& aEvent, Instant aNow)
{
  return std::visit([&](const auto& aEach) { return On(aEach, aNow); }, aEvent);
}

std::optional<TrialAnswer>
TrialDesk::On(const trial_event::Asked& aEvent, Instant aNow)
{
  const TrialAnswer later{ false, mSettings.retryAfter };
  if (aNow < mOpensAt) {
    return later;
  }
  const auto [found, isNew] = mTrials.try_emplace(aEvent.service);
  Trial& trial = found->second;
  const bool taken =
    !isNew && aNow < trial.until && trial.asker != aEvent.asker;
  if (taken) {
    return later;
  }
  trial = { aEvent.asker, aNow + mSettings.longest };
  return TrialAnswer{ true, {} };
}

std::optional<TrialAnswer>
TrialDesk::On(const trial_event::Ended& aEvent, Instant)
{
  const auto found = mTrials.find(aEvent.service);
  if (found != mTrials.end() && found->second.asker == aEvent.asker) {
    mTrials.erase(found);
  }
  return std::nullopt;
}

std::optional<TrialAnswer>
TrialDesk::On(const trial_event::SessionGone& aEvent, Instant)
{
  std::erase_if(mTrials, [&](const auto& aOne) {
    const TrialAsker& asker = aOne.second.asker;
    return asker.host == aEvent.host && asker.session == aEvent.session;
  });
  return std::nullopt;
}

} // namespace rattandyke::entry
