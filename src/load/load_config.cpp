#include "load/load_config.h"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace rattandyke::load {

namespace {

using Tree = boost::property_tree::ptree;

/// Puts a key's value into its field; throws if the type is wrong.
using Setter = std::function<void(const Tree&)>;
using Setters = std::map<std::string, Setter, std::less<>>;

template<typename T>
Setter
Into(T& aField)
{
  return [&aField](const Tree& aValue) { aField = aValue.get_value<T>(); };
}

template<typename Unit>
Setter
IntoTime(std::chrono::milliseconds& aField)
{
  return [&aField](const Tree& aValue) {
    using Value = std::chrono::duration<double, typename Unit::period>;
    aField = std::chrono::duration_cast<std::chrono::milliseconds>(
      Value(aValue.get_value<double>()));
  };
}

Setters
SettersOf(LoadConfig& aConfig)
{
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  return { { "rate", Into(aConfig.rate) },
           { "seconds", IntoTime<seconds>(aConfig.duration) },
           { "max_requests", Into(aConfig.maxRequests) },
           { "max_outstanding", Into(aConfig.maxOutstanding) },
           { "timeout_ms", IntoTime<milliseconds>(aConfig.timeout) },
           { "late_ms", IntoTime<milliseconds>(aConfig.late) },
           { "patience_ms", IntoTime<milliseconds>(aConfig.patience) },
           { "seed", Into(aConfig.seed) } };
}

Setters
SettersOf(ServiceLoad& aService)
{
  return { { "prefix", Into(aService.prefix) },
           { "share", Into(aService.share) },
           { "keys", Into(aService.keys) },
           { "zipf", Into(aService.zipf) },
           { "write_share", Into(aService.writeShare) },
           { "keyed_share", Into(aService.keyedShare) },
           { "answer_bytes", Into(aService.answerBytes) },
           { "body_bytes", Into(aService.bodyBytes) } };
}

Setters
SettersOf(CustomerLoad& aCustomer)
{
  using std::chrono::seconds;
  return { { "share", Into(aCustomer.share) },
           { "surge_from_s", IntoTime<seconds>(aCustomer.surgeFrom) },
           { "surge_until_s", IntoTime<seconds>(aCustomer.surgeUntil) },
           { "surge_factor", Into(aCustomer.surgeFactor) } };
}

/// @throws std::invalid_argument naming the key.
[[noreturn]] void
Refuse(const std::string& aSection,
       const std::string& aKey,
       const std::string& aWhy)
{
  throw std::invalid_argument("[" + aSection + "] " + aKey + ": " + aWhy);
}

void
Fill(const std::string& aSection, const Tree& aValues, const Setters& aSetters)
{
  for (const auto& [key, value] : aValues) {
    const auto setter = aSetters.find(key);
    if (setter == aSetters.end()) {
      Refuse(aSection, key, "no such key");
    }
    try {
      setter->second(value);
    } catch (const std::exception&) {
      Refuse(aSection, key, "'" + value.data() + "' is not a number");
    }
  }
}

/// Takes the section's first word off. @return whether it was aWord.
bool
TakeWord(const std::string& aSection,
         std::string_view aWord,
         std::string& aName)
{
  const std::string start = std::string(aWord) + ' ';
  if (aSection.rfind(start, 0) != 0) {
    return false;
  }
  aName = aSection.substr(start.size());
  return true;
}

void
FillSection(LoadConfig& aConfig,
            const std::string& aSection,
            const Tree& aValues)
{
  std::string name;
  if (aSection == "run") {
    Fill(aSection, aValues, SettersOf(aConfig));
  } else if (TakeWord(aSection, "service", name)) {
    ServiceLoad& service = aConfig.services.emplace_back();
    service.name.value = name;
    service.prefix = '/' + name;
    Fill(aSection, aValues, SettersOf(service));
  } else if (TakeWord(aSection, "customer", name)) {
    CustomerLoad& customer = aConfig.customers.emplace_back();
    customer.name.value = name;
    Fill(aSection, aValues, SettersOf(customer));
  } else {
    throw std::invalid_argument("[" + aSection + "]: no such section");
  }
}

void
CheckRanges(const LoadConfig& aConfig)
{
  if (aConfig.services.empty() || aConfig.customers.empty()) {
    throw std::invalid_argument("one service and one customer are needed");
  }
  if (aConfig.rate <= 0 || aConfig.duration.count() <= 0) {
    throw std::invalid_argument("[run] rate and seconds must be above 0");
  }
  for (const ServiceLoad& service : aConfig.services) {
    if (service.keys == 0 || service.share < 0) {
      throw std::invalid_argument("[service " + service.name.value +
                                  "] keys must be above 0, share not below");
    }
  }
}

Result<LoadConfig>
Parse(std::istream& aStream)
{
  LoadConfig config;
  try {
    Tree tree;
    boost::property_tree::read_ini(aStream, tree);
    for (const auto& [section, values] : tree) {
      FillSection(config, section, values);
    }
    CheckRanges(config);
  } catch (const std::exception& error) {
    return Fail(Code::InvalidSettings, error.what());
  }
  return config;
}

} // namespace

Result<LoadConfig>
ReadLoadConfig(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(Code::InvalidSettings, "Cannot open '" + aPath + "'.");
  }
  return Parse(file);
}

Result<LoadConfig>
ParseLoadConfig(const std::string& aText)
{
  std::istringstream stream(aText);
  return Parse(stream);
}

} // namespace rattandyke::load
