/// Registry of plug-ins by kind and name.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/result.h>

namespace rattandyke {

/// Factories of one kind of plug-in, by name. A plug-in registers itself from
/// its own file through a static Registration, so adding one needs no other
/// file to change. Registration happens before main; after that the registry
/// is read-only and may be used from any thread.
///
/// @tparam Interface abstract class that the plug-in implements.
/// @tparam Args      arguments of its factory.
template<typename Interface, typename... Args>
class Registry
{
public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  /// Adds the factory when constructed.
  struct Registration
  {
    Registration(std::string aName, Factory aFactory)
    {
      Factories().emplace(std::move(aName), std::move(aFactory));
    }
  };

  /// @return a new instance, or Code::UnknownPlugin.
  static Result<std::unique_ptr<Interface>> Make(std::string_view aName,
                                                 Args... aArgs)
  {
    const auto found = Factories().find(aName);
    if (found == Factories().end()) {
      return Fail(Code::UnknownPlugin,
                  "No plug-in is named '" + std::string(aName) + "'.");
    }
    return found->second(std::forward<Args>(aArgs)...);
  }

  /// @return the registered names, sorted.
  static std::vector<std::string> Names()
  {
    std::vector<std::string> names;
    for (const auto& [name, factory] : Factories()) {
      names.push_back(name);
    }
    return names;
  }

private:
  static std::map<std::string, Factory, std::less<>>& Factories()
  {
    static std::map<std::string, Factory, std::less<>> sFactories;
    return sFactories;
  }
};

} // namespace rattandyke
