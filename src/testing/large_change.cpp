#include "testing/large_change.h"

#include <random>
#include <string>

namespace rattandyke::testing {

namespace {

constexpr size_t kHosts = 6;
constexpr size_t kNameLetters = 7;
constexpr size_t kPathLetters = 9;
constexpr uint32_t kTimeoutMs = 2000;
constexpr uint32_t kObjectiveMs = 500;

std::string
Word(std::mt19937& aRandom, size_t aLetters)
{
  static const std::string sLetters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string word;
  for (size_t i = 0; i < aLetters; ++i) {
    word += sLetters[aRandom() % sLetters.size()];
  }
  return word;
}

} // namespace

wire::ChangeItems
LargeChange(size_t aRoutes)
{
  std::mt19937 random(1); // Fixed: the same routes in every run.
  wire::ChangeItems change;
  for (size_t i = 0; i < aRoutes; ++i) {
    wire::RouteItem* route = change.add_routes();
    route->set_name("r-" + Word(random, kNameLetters));
    route->set_host("host" + std::to_string(i % kHosts) + ".example");
    route->set_prefix("/" + Word(random, kPathLetters) + "/" +
                      std::to_string(i) + "/");
    route->set_timeout_ms(kTimeoutMs);
    route->set_objective_ms(kObjectiveMs);
    route->set_max_attempts(2);
    route->set_version(1);
    wire::RoutePart* part = route->add_parts();
    part->set_service("desk");
    part->set_weight(1);
  }
  return change;
}

} // namespace rattandyke::testing
