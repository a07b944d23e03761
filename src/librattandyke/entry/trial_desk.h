/// Lets suspects run one at a time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::entry {

/// A sending that wants to run a suspect.
struct TrialAsker
{
  HostName host;
  uint64_t session = 0;
  uint64_t attempt = 0;
  auto operator<=>(const TrialAsker&) const = default; // NOLINT(*-nullptr)
};

/// The events of TrialDesk.
namespace trial_event {

struct Asked
{
  TrialAsker asker;
  ServiceName service;
  std::string fingerprint;
};
/// However it ended.
struct Ended
{
  TrialAsker asker;
  ServiceName service;
};
/// The host's process is gone, and its trials with it.
struct SessionGone
{
  HostName host;
  uint64_t session = 0;
};

} // namespace trial_event

using TrialEvent = std::
  variant<trial_event::Asked, trial_event::Ended, trial_event::SessionGone>;

/// Answer to Asked.
struct TrialAnswer
{
  bool granted = false;
  /// If not granted: when to ask again.
  std::chrono::milliseconds retryAfter{};
};

/// In the leader's memory. At most one suspect of a service runs at a time, so
/// that a crash tells which one it was. Not thread-safe.
class TrialDesk
{
public:
  struct Settings
  {
    /// A trial is taken to be over then, though nobody said so.
    std::chrono::milliseconds longest{ 5000 };
    std::chrono::milliseconds retryAfter{ 50 };
  };

  /// @param aNow when this host became the leader: its predecessor may have
  /// granted a trial an instant before, so none is granted until that is over.
  TrialDesk(Settings aSettings, Instant aNow);

  /// @return the answer to Asked; none to the other events.
  std::optional<TrialAnswer> Step(const TrialEvent& aEvent, Instant aNow);

private:
  struct Trial
  {
    TrialAsker asker;
    Instant until{};
  };

  std::optional<TrialAnswer> On(const trial_event::Asked& aEvent, Instant aNow);
  std::optional<TrialAnswer> On(const trial_event::Ended& aEvent, Instant aNow);
  std::optional<TrialAnswer> On(const trial_event::SessionGone& aEvent,
                                Instant aNow);

  const Settings mSettings;
  const Instant mOpensAt;
  std::map<ServiceName, Trial> mTrials;
};

} // namespace rattandyke::entry
