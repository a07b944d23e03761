#include "net/read_error.h"

#include <boost/beast/http/error.hpp>

#include "net/message_frame.h"

namespace rattandyke::net {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kNotImplemented = 501;

} // namespace

bool
IsMalformed(const boost::system::error_code& aError)
{
  using boost::beast::http::error;
  if (aError.category() == FrameCategory()) {
    return true;
  }
  return aError.category() == make_error_code(error::bad_method).category() &&
         aError != error::end_of_stream && aError != error::partial_message;
}

unsigned
StatusForReadError(const boost::system::error_code& aError)
{
  using boost::beast::http::error;
  if (aError == error::header_limit) {
    return kHeadTooLarge;
  }
  if (aError == error::body_limit || aError == error::buffer_overflow) {
    return kTooLarge;
  }
  if (aError == FrameError::UnknownCoding) {
    return kNotImplemented;
  }
  return IsMalformed(aError) ? kBadRequest : 0;
}

} // namespace rattandyke::net
