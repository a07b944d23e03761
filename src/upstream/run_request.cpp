#include "upstream/run_request.h"

#include <charconv>

namespace rattandyke::upstream {

namespace {

std::string
Header(const Request& aRequest, std::string_view aName)
{
  const auto value = aRequest[beast::string_view(aName.data(), aName.size())];
  return { value.data(), value.size() };
}

} // namespace

std::string
DecodePercent(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (size_t at = 0; at < aText.size(); ++at) {
    unsigned char byte = 0;
    const char* const digits = aText.data() + at + 1;
    if (aText[at] == '%' && at + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, byte, kHexadecimal).ptr ==
          digits + 2) {
      decoded += static_cast<char>(byte);
      at += 2;
    } else {
      decoded += aText[at];
    }
  }
  return decoded;
}

std::optional<uint64_t>
NumberHeader(const Request& aRequest, std::string_view aName)
{
  const std::string text = Header(aRequest, aName);
  uint64_t number = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return number;
}

RunRequest
DescribeRun(const Request& aRequest, const std::string& aSender)
{
  RunRequest run;
  run.service = Header(aRequest, "Rattandyke-Service");
  run.key = DecodePercent(Header(aRequest, "Rattandyke-Key"));
  run.slot = Header(aRequest, "Rattandyke-Slot");
  run.fence = NumberHeader(aRequest, "Rattandyke-Fence").value_or(0);
  run.requestId = Header(aRequest, "Rattandyke-Request-Id");
  run.loadId = Header(aRequest, kLoadIdHeader);
  run.loadAttempt = NumberHeader(aRequest, kLoadAttemptHeader).value_or(0);
  run.customer = DecodePercent(Header(aRequest, "Rattandyke-Customer"));
  run.idempotencyKey = Header(aRequest, "Idempotency-Key");
  run.method = std::string(aRequest.method_string());
  run.sender = aSender;
  return run;
}

Claim
ClaimOf(const Request& aRequest, const RunRequest& aRun)
{
  const uint64_t slot =
    NumberHeader(aRequest, "Rattandyke-Slot").value_or(UINT32_MAX);
  return { aRun.key, Slot{ static_cast<uint32_t>(slot) }, Fence{ aRun.fence } };
}

} // namespace rattandyke::upstream
