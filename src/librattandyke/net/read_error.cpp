#include "net/read_error.h"

#include <boost/beast/http/error.hpp>

namespace rattandyke::net {

bool
IsMalformed(const boost::system::error_code& aError)
{
  using boost::beast::http::error;
  return aError.category() == make_error_code(error::bad_method).category() &&
         aError != error::end_of_stream && aError != error::partial_message;
}

} // namespace rattandyke::net
