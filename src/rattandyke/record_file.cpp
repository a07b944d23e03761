#include "rattandyke/record_file.h"

#include <fstream>
#include <sstream>

namespace rattandyke::cli {

Result<boost::json::array>
ReadRecordFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return Fail(Code::InvalidRecord, aFile + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  boost::system::error_code error;
  boost::json::value json = boost::json::parse(text.str(), error);
  if (error) {
    return Fail(Code::InvalidRecord, aFile + ": " + error.message());
  }
  boost::json::array records;
  if (json.is_array()) {
    records = std::move(json.get_array());
  } else {
    records.push_back(std::move(json));
  }
  for (const auto& record : records) {
    const auto* object = record.if_object();
    if (object == nullptr || !object->contains("kind") ||
        !object->contains("name") || !record.at("kind").is_string() ||
        !record.at("name").is_string()) {
      return Fail(Code::InvalidRecord,
                  aFile + ": each record needs texts 'kind' and 'name'");
    }
  }
  return records;
}

} // namespace rattandyke::cli
