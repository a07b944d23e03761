/// Which table versions have requests running under them.
#pragma once

#include <map>
#include <mutex>
#include <optional>

#include <rattandyke/types.h>

namespace rattandyke::agent {

/// Brackets each request to an upstream that does not check fences with the
/// version of the table it was looked up in, and tells the leader how far this
/// host is quiesced. Thread-safe.
class InFlightVersions
{
public:
  /// Ends the bracket of one request when destroyed. Must not outlive the
  /// InFlightVersions it came from.
  class Bracket
  {
  public:
    Bracket(Bracket&& aOther) noexcept;
    Bracket& operator=(Bracket&& aOther) noexcept;
    Bracket(const Bracket&) = delete;
    Bracket& operator=(const Bracket&) = delete;
    ~Bracket();

    /// Ends it before destruction. Calling it again does nothing.
    void End();

  private:
    friend class InFlightVersions;
    Bracket(InFlightVersions& aOwner, TableVersion aVersion);

    InFlightVersions* mOwner;
    TableVersion mVersion;
  };

  /// To be called before the request is sent.
  /// @param aVersion version of the table the owner was looked up in.
  /// @return the bracket to hold until nothing of the request can run any
  /// more, or nothing if a newer table is already in force: look up again.
  std::optional<Bracket> Enter(TableVersion aVersion);

  /// Forbids new brackets below aVersion. Called before Quiesced may tell of
  /// it, when a new table comes into force.
  void Publish(TableVersion aVersion);

  /// @return the version V such that no request sent under a version below V
  /// runs or will be sent.
  TableVersion Quiesced() const;

private:
  void Leave(TableVersion aVersion);

  mutable std::mutex mMutex;
  TableVersion mPublished;
  std::map<TableVersion, uint64_t> mRunning;
};

} // namespace rattandyke::agent
