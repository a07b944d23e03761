/// Tables for people, from the JSON that programs get.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "rattandyke/admin_client.h"

namespace rattandyke::cli {

/// One column: a field of each item.
struct Column
{
  std::string_view heading;
  std::string_view field;
};

/// @return the field as a word; "-" if it is missing.
std::string FieldText(const boost::json::value& aItem, std::string_view aField);

/// Prints headings and one line for each item, columns aligned.
void PrintTable(const std::vector<Column>& aColumns,
                const boost::json::array& aItems);

/// Asks for a list and prints it, as a table or as JSON.
Exit ShowList(const HostArguments& aHost,
              const std::string& aTarget,
              const std::vector<Column>& aColumns);

/// Asks for one object and prints its fields, one a line, or as JSON.
Exit ShowObject(const HostArguments& aHost, const std::string& aTarget);

/// Prints an object's fields, one a line; nested ones indented.
void PrintObject(const boost::json::object& aObject, size_t aIndent = 0);

} // namespace rattandyke::cli
