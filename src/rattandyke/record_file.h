/// Files of records that operators submit or compare.
#pragma once

#include <string>

#include <boost/json.hpp>

#include <rattandyke/result.h>

namespace rattandyke::cli {

/// @return the records of a file, one object or a list of them, or
/// Code::InvalidRecord. Each has texts "kind" and "name".
Result<boost::json::array> ReadRecordFile(const std::string& aFile);

} // namespace rattandyke::cli
