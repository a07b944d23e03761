#include "gateway/rest_register.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// A recorded rest may seem to end this much earlier than the entry host
/// reports: the log's delay counts as a part of it.
constexpr milliseconds kTolerance{ 500 };

} // namespace

wire::UpstreamRest
ToMessage(const std::string& aHost,
          const RestingUpstreams::Rest& aRest,
          Instant aNow)
{
  wire::UpstreamRest message;
  message.set_host(aHost);
  message.set_instance(aRest.instance);
  message.set_life(aRest.incarnation);
  message.set_left_ms(static_cast<uint32_t>(
    std::chrono::ceil<milliseconds>(aRest.until - aNow).count()));
  return message;
}

void
RestRegister::Record(const wire::RecordRests& aRests,
                     Duration aAge,
                     Instant aNow)
{
  for (const wire::UpstreamRest& rest : aRests.rests()) {
    const Instant until = aNow + milliseconds{ rest.left_ms() } - aAge;
    if (until <= aNow || mSize >= kMaxRests) {
      continue;
    }
    RestingUpstreams& resting = mByHost[rest.host()];
    const size_t before = resting.Size();
    resting.Record(rest.instance(), rest.life(), until);
    mSize += resting.Size() - before;
  }
}

bool
RestRegister::Contains(const wire::UpstreamRest& aRest, Instant aNow) const
{
  const auto host = mByHost.find(aRest.host());
  return host != mByHost.end() &&
         host->second.Left(aRest.instance(), aRest.life(), aNow) +
             Duration(kTolerance) >=
           Duration(milliseconds{ aRest.left_ms() }) &&
         host->second.Left(aRest.instance(), aRest.life(), aNow) >
           Duration::zero();
}

wire::UpstreamRests
RestRegister::RestsOf(const std::string& aHost, Instant aNow) const
{
  wire::UpstreamRests rests;
  const auto host = mByHost.find(aHost);
  if (host != mByHost.end()) {
    for (const RestingUpstreams::Rest& rest : host->second.Rests(aNow)) {
      *rests.add_rests() = ToMessage(aHost, rest, aNow);
    }
  }
  return rests;
}

wire::RecordRests
RestRegister::Save(Instant aNow, WallTime aWall) const
{
  wire::RecordRests saved;
  saved.set_told_at_ms(aWall.time_since_epoch().count());
  for (const auto& [host, resting] : mByHost) {
    for (const RestingUpstreams::Rest& rest : resting.Rests(aNow)) {
      *saved.add_rests() = ToMessage(host, rest, aNow);
    }
  }
  return saved;
}

void
RestRegister::RemoveEnded(Instant aNow)
{
  mSize = 0;
  for (auto host = mByHost.begin(); host != mByHost.end();) {
    host->second.RemoveEnded(aNow);
    mSize += host->second.Size();
    host = host->second.Size() == 0 ? mByHost.erase(host) : std::next(host);
  }
}

} // namespace rattandyke::gateway
