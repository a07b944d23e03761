#include "config/table_rows.h"

namespace rattandyke::config {

namespace {

std::vector<Setting>
MakeTable()
{
  std::vector<Setting> table;
  for (auto rows : { HostRows(),
                     ListenRows(),
                     LimitRows(),
                     LeaseRows(),
                     LogRows(),
                     SecretRows() }) {
    table.insert(table.end(), rows.begin(), rows.end());
  }
  return table;
}

} // namespace

std::span<const Setting>
AllSettings()
{
  static const std::vector<Setting> sTable = MakeTable();
  return sTable;
}

} // namespace rattandyke::config
