#include "server/metrics_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "log/log.h"
#include "metrics/burn_file.h"
#include "metrics/burn_json.h"
#include "metrics/prometheus.h"

namespace rattandyke::server {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kObserveInterval{ 5 };
/// A crash costs the report at most the requests since the last save.
constexpr int kObservationsPerSave = 6;

} // namespace

/// The timer runs on a strand; the mutex is for operators' calls from
/// elsewhere. It is taken before the recorder's locks and never while they are
/// held.
struct MetricsService::Impl : std::enable_shared_from_this<Impl>
{
  Impl(const asio::any_io_executor& aExecutor,
       HostName aHost,
       std::filesystem::path aFolder,
       metrics::Recorder& aRecorder,
       const agent::AgentService& aAgent,
       const Clock& aClock)
    : host(std::move(aHost))
    , recorder(aRecorder)
    , agent(aAgent)
    , clock(aClock)
    , timer(asio::make_strand(aExecutor))
  {
    if (!aFolder.empty()) {
      file.emplace(storage::MakeFileSystem(), std::move(aFolder));
    }
  }

  static void Tell(const Result<void>& aDone)
  {
    if (!aDone) {
      log::Line(log::Part::Server, log::Severity::Warning)
        << "cannot keep the counts of burn: " << aDone.error().message;
    }
  }

  void Load()
  {
    const std::lock_guard lock(mutex);
    if (file) {
      Tell(file->Load(keeper));
    }
  }

  void Wait()
  {
    timer.expires_after(kObserveInterval);
    timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError) {
          self->Observe();
          self->Wait();
        }
      });
  }

  void Observe()
  {
    const std::lock_guard lock(mutex);
    keeper.Observe(recorder.Collect(), clock.Wall());
    if (++observations % kObservationsPerSave == 0) {
      Save();
    }
  }

  void Save()
  {
    if (file) {
      Tell(file->Save(keeper));
    }
  }

  void Stop()
  {
    asio::post(timer.get_executor(),
               [self = shared_from_this()] { self->timer.cancel(); });
    const std::lock_guard lock(mutex);
    keeper.Observe(recorder.Collect(), clock.Wall());
    Save();
  }

  boost::json::object Burn()
  {
    const auto table = agent.Table();
    const std::lock_guard lock(mutex);
    keeper.Observe(recorder.Collect(), clock.Wall());
    std::vector<metrics::ServiceBurn> services;
    for (const auto& [name, history] : keeper.Histories()) {
      const records::ServiceRecord* record = table->FindServiceByName(name);
      services.push_back(
        { name,
          record == nullptr ? records::Objective{} : record->objective,
          history });
    }
    return metrics::ToJson(host, services);
  }

  const HostName host;
  metrics::Recorder& recorder;
  const agent::AgentService& agent;
  const Clock& clock;
  asio::steady_timer timer;
  std::mutex mutex;
  metrics::BurnKeeper keeper;
  std::optional<metrics::BurnFile> file;
  int observations = 0;
};

MetricsService::MetricsService(const asio::any_io_executor& aExecutor,
                               HostName aHost,
                               std::filesystem::path aFolder,
                               metrics::Recorder& aRecorder,
                               const agent::AgentService& aAgent,
                               const Clock& aClock)
  : mImpl(std::make_shared<Impl>(aExecutor,
                                 std::move(aHost),
                                 std::move(aFolder),
                                 aRecorder,
                                 aAgent,
                                 aClock))
{
}

MetricsService::~MetricsService() = default;

void
MetricsService::Start()
{
  mImpl->Load();
  asio::post(mImpl->timer.get_executor(), [impl = mImpl] { impl->Wait(); });
}

void
MetricsService::Stop()
{
  mImpl->Stop();
}

std::string
MetricsService::Page() const
{
  return metrics::ToPrometheus(mImpl->recorder.Collect());
}

boost::json::object
MetricsService::Burn() const
{
  return mImpl->Burn();
}

} // namespace rattandyke::server
