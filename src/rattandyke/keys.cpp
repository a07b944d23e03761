#include <array>
#include <iostream>
#include <random>

#include <zmq.h>

#include "admin/tokens.h"
#include "rattandyke/command.h"

namespace rattandyke::cli {
namespace {

constexpr size_t kTokenWords = 8;

Exit
PrintCurveKeys()
{
  std::array<char, 41> publicKey{};
  std::array<char, 41> secretKey{};
  if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
    return Report(
      { Code::TransportFailed, "This ZeroMQ was built without CURVE." });
  }
  std::cout << "[curve]\npublic_key = " << publicKey.data()
            << "\nsecret_key = " << secretKey.data()
            << "\npeers_public_key = " << publicKey.data() << '\n';
  return Exit::Ok;
}

/// Prints a new operator's token, and its line for the settings.
Exit
PrintToken(const std::string& aName, const std::string& aRole)
{
  if (aRole != "read-only" && aRole != "read-write") {
    return Report({ Code::UsageError, "--role: read-only or read-write" });
  }
  std::random_device device;
  std::string token;
  for (size_t i = 0; i < kTokenWords; ++i) {
    std::array<char, 9> word{};
    std::snprintf(word.data(), word.size(), "%08x", device());
    token += word.data();
  }
  std::cout << "token: " << token << "\n\n[tokens]\n"
            << aName << " = " << aRole << ' ' << admin::Sha256Hex(token)
            << '\n';
  return Exit::Ok;
}

Exit
Keys(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> what(
    "what",
    "new: CURVE keys for the hosts; token: an operator's token",
    true,
    "",
    "new|token",
    aLine.Tclap());
  TCLAP::ValueArg<std::string> name(
    "", "name", "who has the token", false, "operator", "NAME", aLine.Tclap());
  TCLAP::ValueArg<std::string> role("",
                                    "role",
                                    "what it allows",
                                    false,
                                    "read-write",
                                    "read-only|read-write",
                                    aLine.Tclap());
  aLine.Parse(aArguments);

  if (what.getValue() == "new") {
    return PrintCurveKeys();
  }
  if (what.getValue() == "token") {
    return PrintToken(name.getValue(), role.getValue());
  }
  return Report({ Code::UsageError, "keys: new or token" });
}

const Registration sRegistration(
  { "keys", "Makes keys for the hosts or a token for an operator.", &Keys });

} // namespace
} // namespace rattandyke::cli
