/// From a caller's whole request to the answer it gets.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "entry/retry_budget.h"
#include "gateway/caller_request_handler.h"
#include "gateway/dialect.h"
#include "gateway/egress_queue.h"
#include "gateway/feed_client.h"
#include "gateway/link_budget.h"
#include "gateway/metrics.h"
#include "gateway/request_context.h"
#include "gateway/route_table.h"
#include "gateway/slot_coordinator.h"
#include "gateway/upstream_client.h"

namespace rattandyke::gateway {

/// Finds the route, chooses upstreams, makes tries and words the answer. Runs
/// on one executor that runs one handler at a time.
class RequestHandler : public CallerRequestHandler
{
public:
  struct Options
  {
    DataCentre dataCentre;
    /// Second tries for each request that all hosts together may make.
    double retryRatio = 0;
    /// Second tries beyond these that all may make at a time.
    double retrySlack = 0;
    /// Of the host's link; 0: not told.
    double linkBytesPerSecond = 0;
  };

  /// @param aFeed, aDesk, aDialect and aClock outlive this object.
  RequestHandler(boost::asio::any_io_executor aExecutor,
                 Options aOptions,
                 const FeedClient& aFeed,
                 SlotCoordinator& aDesk,
                 const Dialect& aDialect,
                 const Clock& aClock);

  /// The state that the feed knows has changed.
  void StateChanged(const wire::GatewayCommand* aCommand);

  CallerLimits Limits() const override;

  boost::asio::awaitable<CallerResponse> Handle(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest) override;

  CallerResponse Refuse(unsigned aStatus,
                        const std::string& aText) const override;

  std::string IdOf(const CallerRequest& aRequest) const override;

  void CountEnd(std::string_view aReason) override;

  /// @return requests for keys since the last call, and times of upstreams.
  wire::FeedReport TakeLoadReport();

  /// Closes connections that have been idle too long.
  void Sweep();

  /// Bytes were sent to another host.
  void RecordSent(size_t aBytes) { mEgress.RecordSent(aBytes, mClock.Now()); }

  /// @return what this host has counted, as a text page.
  std::string MetricsPage();

private:
  /// About the bytes that a request's line and our own fields take.
  static constexpr size_t kRequestLine = 160;

  /// One request on its way.
  struct Flow
  {
    std::shared_ptr<RequestContext> context;
    std::shared_ptr<Route> route;
    std::shared_ptr<const UpstreamRequest> request;
    std::string service;
    std::optional<uint32_t> key;
    Instant arrived{};
    Instant deadline{};
    /// Upstreams that it was sent to.
    std::set<std::string> tried;
    uint32_t sent = 0;
    /// Somewhere it may have run.
    bool mayHaveRun = false;
    std::string lastReason;
    /// Of its key, when it last asked for a slot.
    std::string owner;
    std::string lastUpstream;
  };

  /// Requests whose keys have no owner at the moment.
  using Waiters = std::list<std::weak_ptr<RequestContext>>;

  bool OwnsKeys(const std::string& aService) const;
  std::shared_ptr<const UpstreamRequest> Outgoing(const CallerRequest& aRequest,
                                                  const std::string& aId) const;
  Instant PatienceEnd(const Flow& aFlow) const;
  bool HasMoved(const Flow& aFlow) const;
  /// @return whether this host knows what operators have set.
  bool HasState() const;
  /// Waits until the state changes.
  boost::asio::awaitable<void> AwaitChange(
    std::shared_ptr<RequestContext> aContext,
    Instant aUntil);
  boost::asio::awaitable<void> AwaitState(
    std::shared_ptr<RequestContext> aContext,
    Instant aUntil);
  boost::asio::awaitable<std::string> AwaitOwner(Flow& aFlow);
  boost::asio::awaitable<SlotOutcome> AwaitSlot(Flow& aFlow);
  boost::asio::awaitable<CallerResponse> Answer(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest);
  /// Runs a request if the host's link has room for its answer.
  boost::asio::awaitable<CallerResponse> RunIfRoom(Flow& aFlow);
  static size_t BytesOf(const UpstreamRequest& aRequest);
  boost::asio::awaitable<CallerResponse> Run(Flow& aFlow);
  /// Waits until the host's link can take an answer.
  boost::asio::awaitable<void> AwaitEgress(
    std::shared_ptr<RequestContext> aContext,
    size_t aBytes,
    Instant aDue);
  void WatchEgress();
  boost::asio::awaitable<AttemptResult> Try(Flow& aFlow, const Slot& aSlot);
  /// Notes what the upstream told with its answer.
  void RecordLoadReport(const std::string& aInstance,
                        const UpstreamResponse& aAnswer);
  bool MayRetry(Flow& aFlow, const AttemptResult& aResult);
  CallerResponse Final(const Flow& aFlow, AttemptResult aResult) const;
  CallerResponse NotRun(const Flow& aFlow,
                        Duration aRetryAfter,
                        const std::string& aReason) const;
  CallerResponse Own(unsigned aStatus,
                     const std::string& aId,
                     const std::string& aText,
                     std::optional<Duration> aRetryAfter = {}) const;
  entry::RetryBudget& BudgetOf(const std::string& aService);
  void WakeWaiters();
  void NoteKey(const std::string& aService, uint32_t aKey);

  const boost::asio::any_io_executor mExecutor;
  const Options mOptions;
  const FeedClient& mFeed;
  const Dialect& mDialect;
  const HeaderNames& mHeaders;
  const Clock& mClock;
  RouteTable mRoutes;
  SlotCoordinator& mDesk;
  UpstreamClient mExchanger;
  std::map<std::string, std::unique_ptr<entry::RetryBudget>> mBudgets;
  Waiters mWaiters;
  Metrics mMetrics;
  LinkBudget mLink;
  ResponseSizes mSizes;
  EgressQueue mEgress;
  EgressQueue::Ticket mLastEgress = 0;
  /// Whose answers wait for the link.
  std::map<EgressQueue::Ticket, std::shared_ptr<RequestContext>> mAwaitEgress;
  boost::asio::steady_timer mEgressTimer;
  std::map<std::string, std::map<uint32_t, uint32_t>> mKeyLoads;
};

} // namespace rattandyke::gateway
