/// Limit of the memory that a process uses for the bodies of messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace rattandyke {

/// Shares a number of bytes among the bodies that a process holds, so that
/// together they can't exceed the memory of its host, whose kernel would end
/// the process with everything that it handles. Does no I/O. Not thread-safe.
///
/// Small bodies never wait: some bytes are kept for them alone. Large ones wait
/// in the order of their arrival. Bodies of responses may use more than those
/// of requests: a request that holds its body while it waits for room for its
/// response would otherwise wait for others that do the same.
class MemoryBudget
{
  struct Core;

public:
  enum class Use : uint8_t
  {
    Request,
    Response
  };

  /// Size up to which a body is small.
  static constexpr size_t kSmallBytes = size_t{ 64 } * 1024;

  /// Bytes that are held for a body until this object is destroyed.
  class Reservation
  {
  public:
    Reservation() = default;
    Reservation(Reservation&& aOther) noexcept;
    Reservation& operator=(Reservation&& aOther) noexcept;
    ~Reservation();

    size_t Bytes() const { return mBytes; }

    /// Adds the bytes of another reservation to this one.
    void Merge(Reservation aOther);

    /// Releases the bytes beyond a number.
    void ShrinkTo(size_t aBytes);

  private:
    friend class MemoryBudget;
    Reservation(std::shared_ptr<Core> aCore, size_t aBytes);

    std::shared_ptr<Core> mCore;
    size_t mBytes = 0;
  };

  /// A body that waits for room. Destroying it ends the wait.
  class Ticket
  {
  public:
    Ticket(size_t aBytes, std::function<void()> aOnGranted);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    /// @return the reservation once, nullopt before there is room.
    std::optional<Reservation> Take();

  private:
    friend class MemoryBudget;

    const size_t mBytes;
    const std::function<void()> mOnGranted;
    std::weak_ptr<Core> mCore;
    std::optional<Reservation> mReservation;
  };

  /// @param aBytes for all bodies that are not small.
  explicit MemoryBudget(size_t aBytes);
  ~MemoryBudget();

  /// @return a reservation, nullopt if there is no room now or if earlier
  /// bodies wait.
  std::optional<Reservation> TryReserve(Use aUse, size_t aBytes);

  /// Waits for room.
  /// @param aOnGranted called once, when Ticket::Take() returns a reservation.
  std::unique_ptr<Ticket> Wait(Use aUse,
                               size_t aBytes,
                               std::function<void()> aOnGranted);

  /// @return whether a body of this size has room while no other is held.
  bool CanEverFit(Use aUse, size_t aBytes) const;

  size_t Bytes() const;
  size_t BytesInUse() const;
  size_t PeakBytes() const;
  size_t WaitingBodies() const;

private:
  std::shared_ptr<Core> mCore;
};

} // namespace rattandyke
