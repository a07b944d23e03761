#include "net/message_frame.h"

#include <string>

#include <boost/beast/core/string.hpp>

namespace rattandyke::net {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstStatus = 100;

class Category final : public boost::system::error_category
{
public:
  const char* name() const noexcept override { return "rattandyke.frame"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<FrameError>(aValue)) {
      case FrameError::UnknownCoding:
        return "the only transfer coding that is known is chunked";
      case FrameError::Contradiction:
        return "the transfer coding contradicts the rest of the head";
      case FrameError::SeveralHosts:
        return "there are several Host fields";
      case FrameError::UnknownStatus:
        return "the status is not within 100 to 599";
      case FrameError::FoldedLine:
        return "a line of the head or trailer begins with a blank";
      case FrameError::NoFinalResponse:
        return "no final response follows the interim ones";
      case FrameError::UnknownLength:
        return "nothing tells whether the response is whole";
    }
    return "unknown error of a message's frame";
  }
};

} // namespace

const boost::system::error_category&
FrameCategory()
{
  static const Category sCategory;
  return sCategory;
}

boost::system::error_code
make_error_code(FrameError aError) // NOLINT(readability-identifier-naming)
{
  return { static_cast<int>(aError), FrameCategory() };
}

boost::system::error_code
CheckFrame(const http::fields& aFields, unsigned aVersion, bool aIsRequest)
{
  if (aIsRequest && aFields.count(http::field::host) > 1) {
    return FrameError::SeveralHosts;
  }
  const auto [first, last] =
    aFields.equal_range(http::field::transfer_encoding);
  if (first == last) {
    return {};
  }
  const bool contradicts = aVersion < kHttp11 || std::next(first) != last ||
                           first->value().empty() ||
                           aFields.count(http::field::content_length) > 0;
  if (contradicts) {
    return FrameError::Contradiction;
  }
  return boost::beast::iequals(first->value(), "chunked")
           ? boost::system::error_code{}
           : FrameError::UnknownCoding;
}

boost::system::error_code
CheckStatus(unsigned aStatus)
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus
           ? boost::system::error_code{}
           : FrameError::UnknownStatus;
}

boost::system::error_code
CheckLines(std::string_view aLines, bool aIsRequest)
{
  const bool allowed =
    aIsRequest || (aLines.find("\n ") == std::string_view::npos &&
                   aLines.find("\n\t") == std::string_view::npos);
  return allowed ? boost::system::error_code{} : FrameError::FoldedLine;
}

} // namespace rattandyke::net
