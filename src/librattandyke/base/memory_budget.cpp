#include "base/memory_budget.h"

#include <algorithm>
#include <list>
#include <utility>

namespace rattandyke {

namespace {

/// Part of the budget that only responses may use.
constexpr size_t kResponseShare = 32;
/// Bytes beyond the budget that only small bodies may use.
constexpr size_t kSmallBodyBytes = size_t{ 16 } * 1024 * 1024;

} // namespace

struct MemoryBudget::Core : std::enable_shared_from_this<MemoryBudget::Core>
{
  explicit Core(size_t aBytes)
    : bytes(aBytes)
  {
  }

  size_t LimitOf(Use aUse) const
  {
    return aUse == Use::Response ? bytes : bytes - bytes / kResponseShare;
  }

  bool HasRoom(Use aUse, size_t aBytes) const
  {
    return inUse + aBytes <= LimitOf(aUse);
  }

  Reservation Reserve(size_t aBytes)
  {
    inUse += aBytes;
    peak = std::max(peak, inUse);
    return { shared_from_this(), aBytes };
  }

  void Release(size_t aBytes)
  {
    inUse -= aBytes;
    GrantWaiting(Use::Response);
    GrantWaiting(Use::Request);
  }

  void GrantWaiting(Use aUse)
  {
    std::list<Ticket*>& queue = QueueOf(aUse);
    while (!queue.empty() && HasRoom(aUse, queue.front()->mBytes)) {
      Ticket& ticket = *queue.front();
      queue.pop_front();
      ticket.mReservation = Reserve(ticket.mBytes);
      ticket.mOnGranted();
    }
  }

  std::list<Ticket*>& QueueOf(Use aUse)
  {
    return aUse == Use::Response ? waitingResponses : waitingRequests;
  }

  const size_t bytes;
  size_t inUse = 0;
  size_t peak = 0;
  std::list<Ticket*> waitingRequests;
  std::list<Ticket*> waitingResponses;
};

MemoryBudget::Reservation::Reservation(std::shared_ptr<Core> aCore,
                                       size_t aBytes)
  : mCore(std::move(aCore))
  , mBytes(aBytes)
{
}

MemoryBudget::Reservation::Reservation(Reservation&& aOther) noexcept
  : mCore(std::move(aOther.mCore))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

MemoryBudget::Reservation&
MemoryBudget::Reservation::operator=(Reservation&& aOther) noexcept
{
  if (this != &aOther) {
    ShrinkTo(0);
    mCore = std::move(aOther.mCore);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

MemoryBudget::Reservation::~Reservation()
{
  ShrinkTo(0);
}

void
MemoryBudget::Reservation::Merge(Reservation aOther)
{
  if (!mCore) {
    mCore = aOther.mCore;
  }
  mBytes += std::exchange(aOther.mBytes, 0);
}

void
MemoryBudget::Reservation::ShrinkTo(size_t aBytes)
{
  if (aBytes < mBytes) {
    mCore->Release(std::exchange(mBytes, aBytes) - aBytes);
  }
}

MemoryBudget::Ticket::Ticket(size_t aBytes, std::function<void()> aOnGranted)
  : mBytes(aBytes)
  , mOnGranted(std::move(aOnGranted))
{
}

MemoryBudget::Ticket::~Ticket()
{
  if (const auto core = mCore.lock()) {
    core->waitingRequests.remove(this);
    core->waitingResponses.remove(this);
    // A body behind this one may have room.
    core->GrantWaiting(Use::Response);
    core->GrantWaiting(Use::Request);
  }
}

std::optional<MemoryBudget::Reservation>
MemoryBudget::Ticket::Take()
{
  return std::exchange(mReservation, std::nullopt);
}

MemoryBudget::MemoryBudget(size_t aBytes)
  : mCore(std::make_shared<Core>(aBytes))
{
}

MemoryBudget::~MemoryBudget() = default;

std::optional<MemoryBudget::Reservation>
MemoryBudget::TryReserve(Use aUse, size_t aBytes)
{
  const bool small = aBytes <= kSmallBytes;
  const bool fits =
    small ? mCore->inUse + aBytes <= mCore->bytes + kSmallBodyBytes
          : mCore->QueueOf(aUse).empty() && mCore->HasRoom(aUse, aBytes);
  if (!fits) {
    return std::nullopt;
  }
  return mCore->Reserve(aBytes);
}

std::unique_ptr<MemoryBudget::Ticket>
MemoryBudget::Wait(Use aUse, size_t aBytes, std::function<void()> aOnGranted)
{
  auto ticket = std::make_unique<Ticket>(aBytes, std::move(aOnGranted));
  ticket->mCore = mCore;
  mCore->QueueOf(aUse).push_back(ticket.get());
  mCore->GrantWaiting(aUse);
  return ticket;
}

bool
MemoryBudget::CanEverFit(Use aUse, size_t aBytes) const
{
  return aBytes <= kSmallBytes || aBytes <= mCore->LimitOf(aUse);
}

size_t
MemoryBudget::Bytes() const
{
  return mCore->bytes;
}

size_t
MemoryBudget::BytesInUse() const
{
  return mCore->inUse;
}

size_t
MemoryBudget::PeakBytes() const
{
  return mCore->peak;
}

size_t
MemoryBudget::WaitingBodies() const
{
  return mCore->waitingRequests.size() + mCore->waitingResponses.size();
}

} // namespace rattandyke
