#include "rattandyke/table_printer.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace rattandyke::cli {

namespace {

constexpr size_t kGap = 2;

std::string
ValueText(const boost::json::value& aValue)
{
  if (aValue.is_string()) {
    return aValue.get_string().empty() ? "-" : std::string(aValue.get_string());
  }
  if (aValue.is_double()) {
    std::ostringstream text;
    text << aValue.get_double();
    return text.str();
  }
  return aValue.is_null() ? "-" : boost::json::serialize(aValue);
}

void
PrintRow(const std::vector<std::string>& aCells,
         const std::vector<size_t>& aWidths)
{
  std::string line;
  for (size_t i = 0; i < aCells.size(); ++i) {
    std::string cell = aCells[i];
    if (i + 1 < aCells.size()) {
      cell.resize(std::max(cell.size(), aWidths[i]) + kGap, ' ');
    }
    line += cell;
  }
  std::cout << line << '\n';
}

void
PrintItems(const boost::json::array& aItems, size_t aIndent)
{
  for (const auto& item : aItems) {
    std::cout << std::string(aIndent, ' ') << "- " << ValueText(item) << '\n';
  }
}

} // namespace

std::string
FieldText(const boost::json::value& aItem, std::string_view aField)
{
  const auto* object = aItem.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(aField);
  return value == nullptr ? "-" : ValueText(*value);
}

void
PrintTable(const std::vector<Column>& aColumns,
           const boost::json::array& aItems)
{
  std::vector<std::vector<std::string>> rows(1);
  for (const Column& column : aColumns) {
    rows[0].emplace_back(column.heading);
  }
  for (const auto& item : aItems) {
    auto& row = rows.emplace_back();
    for (const Column& column : aColumns) {
      row.push_back(FieldText(item, column.field));
    }
  }
  std::vector<size_t> widths(aColumns.size());
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    PrintRow(row, widths);
  }
}

Exit
ShowList(const HostArguments& aHost,
         const std::string& aTarget,
         const std::vector<Column>& aColumns)
{
  const Result<AdminClient> client = aHost.Client();
  if (!client) {
    return Report(client.error());
  }
  const Result<boost::json::array> items = client->AskList(aTarget);
  if (!items) {
    return Report(items.error());
  }
  if (aHost.Json()) {
    std::cout << boost::json::serialize(*items) << '\n';
  } else {
    PrintTable(aColumns, *items);
  }
  return Exit::Ok;
}

void
PrintObject(const boost::json::object& aObject, size_t aIndent)
{
  for (const auto& [key, value] : aObject) {
    std::cout << std::string(aIndent, ' ') << key << ": ";
    if (value.is_object()) {
      std::cout << '\n';
      PrintObject(value.get_object(), aIndent + kGap);
    } else if (value.is_array()) {
      std::cout << '\n';
      PrintItems(value.get_array(), aIndent + kGap);
    } else {
      std::cout << ValueText(value) << '\n';
    }
  }
}

Exit
ShowObject(const HostArguments& aHost, const std::string& aTarget)
{
  const Result<AdminClient> client = aHost.Client();
  if (!client) {
    return Report(client.error());
  }
  const Result<boost::json::value> answer = client->Ask({ .target = aTarget });
  if (!answer) {
    return Report(answer.error());
  }
  if (aHost.Json() || !answer->is_object()) {
    std::cout << boost::json::serialize(*answer) << '\n';
  } else {
    PrintObject(answer->get_object());
  }
  return Exit::Ok;
}

} // namespace rattandyke::cli
