#include "upstream/answer_body.h"

#include <boost/json.hpp>
#include <xxhash.h>

namespace rattandyke::upstream {

namespace {

std::string
MakePayload(const std::string& aRequest, size_t aBytes)
{
  std::string payload;
  payload.reserve(aBytes + aRequest.size() + 1);
  while (payload.size() < aBytes) {
    payload += aRequest;
    payload += '.';
  }
  payload.resize(aBytes);
  return payload;
}

std::string
Text(const boost::json::object& aHead, std::string_view aField)
{
  return boost::json::value_to<std::string>(aHead.at(aField));
}

AnswerIdentity
ParseIdentity(const boost::json::object& aHead)
{
  AnswerIdentity identity;
  identity.request = Text(aHead, "request");
  identity.service = Text(aHead, "service");
  identity.key = Text(aHead, "key");
  identity.customer = Text(aHead, "customer");
  identity.fence = aHead.at("fence").to_number<uint64_t>();
  identity.upstream = Text(aHead, "upstream");
  return identity;
}

} // namespace

std::string
MakeAnswerBody(const AnswerIdentity& aIdentity, size_t aPayloadBytes)
{
  const std::string payload = MakePayload(aIdentity.request, aPayloadBytes);
  const boost::json::object head{
    { "request", aIdentity.request },
    { "service", aIdentity.service },
    { "key", aIdentity.key },
    { "customer", aIdentity.customer },
    { "fence", aIdentity.fence },
    { "upstream", aIdentity.upstream },
    { "length", payload.size() },
    { "checksum", XXH64(payload.data(), payload.size(), 0) }
  };
  return boost::json::serialize(head) + '\n' + payload;
}

Result<AnswerIdentity>
ParseAnswerBody(std::string_view aBody)
{
  const size_t lineEnd = aBody.find('\n');
  if (lineEnd == std::string_view::npos) {
    return Fail(Code::UpstreamBroken, "The answer ends in its first line.");
  }
  const std::string_view payload = aBody.substr(lineEnd + 1);
  try {
    const auto parsed =
      boost::json::parse(boost::json::string_view(aBody.data(), lineEnd));
    const auto& head = parsed.as_object();
    if (head.at("length").to_number<uint64_t>() != payload.size()) {
      return Fail(Code::UpstreamBroken, "The answer's length is wrong.");
    }
    if (head.at("checksum").to_number<uint64_t>() !=
        XXH64(payload.data(), payload.size(), 0)) {
      return Fail(Code::UpstreamBroken, "The answer's checksum is wrong.");
    }
    return ParseIdentity(head);
  } catch (const std::exception& error) {
    return Fail(Code::UpstreamBroken,
                std::string("The answer's first line is not whole: ") +
                  error.what());
  }
}

} // namespace rattandyke::upstream
