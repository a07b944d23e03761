#include "load/plan.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::load {

Zipf::Zipf(uint32_t aCount, double aExponent)
{
  double sum = 0;
  for (uint32_t index = 0; index < aCount; ++index) {
    sum += 1 / std::pow(index + 1, aExponent);
    mCumulative.push_back(sum);
  }
}

uint32_t
Zipf::Draw(Random& aRandom) const
{
  const double drawn =
    std::uniform_real_distribution<double>(0, mCumulative.back())(aRandom);
  const auto found =
    std::upper_bound(mCumulative.begin(), mCumulative.end(), drawn);
  const auto index = std::distance(mCumulative.begin(), found);
  return std::min<uint32_t>(index, mCumulative.size() - 1);
}

Planner::Planner(const LoadConfig& aConfig,
                 size_t aCustomer,
                 std::string aRunName)
  : mConfig(aConfig)
  , mCustomer(aCustomer)
  , mRunName(std::move(aRunName))
  , mRandom(aConfig.seed * aConfig.customers.size() + aCustomer)
{
  std::vector<double> shares;
  for (const ServiceLoad& service : aConfig.services) {
    mKeys.emplace_back(service.keys, service.zipf);
    shares.push_back(service.share);
  }
  mServices = { shares.begin(), shares.end() };
  double customers = 0;
  for (const CustomerLoad& customer : aConfig.customers) {
    customers += customer.share;
  }
  mBaseRate = aConfig.rate * aConfig.customers[aCustomer].share / customers;
}

Plan
Planner::Next()
{
  mAt += std::chrono::duration<double>(
    std::exponential_distribution<double>(Rate())(mRandom));
  const size_t service = mServices(mRandom);
  const ServiceLoad& load = mConfig.services[service];
  Plan plan;
  plan.id =
    mRunName + '-' + std::to_string(mCustomer) + '-' + std::to_string(mCount++);
  plan.intended = std::chrono::duration_cast<Duration>(mAt);
  plan.service = &load;
  plan.customer = &mConfig.customers[mCustomer];
  plan.key = "key-" + std::to_string(mKeys[service].Draw(mRandom));
  plan.write = std::bernoulli_distribution(load.writeShare)(mRandom);
  if (plan.write && std::bernoulli_distribution(load.keyedShare)(mRandom)) {
    plan.idempotencyKey = "once-" + plan.id;
  }
  return plan;
}

double
Planner::Rate() const
{
  const CustomerLoad& customer = mConfig.customers[mCustomer];
  const bool surges = customer.surgeFrom <= mAt && mAt < customer.surgeUntil;
  return mBaseRate * (surges ? customer.surgeFactor : 1);
}

} // namespace rattandyke::load
