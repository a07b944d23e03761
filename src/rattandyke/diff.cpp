#include <iostream>

#include "admin/message.h"
#include "rattandyke/record_file.h"
#include "rattandyke/table_printer.h"

namespace rattandyke::cli {
namespace {

/// Lists where two values differ, by path.
void
Compare(const std::string& aPath,
        const boost::json::value* aOld,
        const boost::json::value* aNew,
        boost::json::array& aDifferences)
{
  const bool objects = aOld != nullptr && aNew != nullptr &&
                       aOld->is_object() && aNew->is_object();
  if (!objects) {
    if (aOld == nullptr || aNew == nullptr || *aOld != *aNew) {
      boost::json::object line{ { "field", aPath } };
      line["in_force"] = aOld == nullptr ? boost::json::value() : *aOld;
      line["file"] = aNew == nullptr ? boost::json::value() : *aNew;
      aDifferences.push_back(std::move(line));
    }
    return;
  }
  const std::string prefix = aPath.empty() ? "" : aPath + ".";
  for (const auto& [key, value] : aOld->get_object()) {
    Compare(prefix + std::string(key),
            &value,
            aNew->get_object().if_contains(key),
            aDifferences);
  }
  for (const auto& [key, value] : aNew->get_object()) {
    if (!aOld->get_object().contains(key)) {
      Compare(prefix + std::string(key), nullptr, &value, aDifferences);
    }
  }
}

/// @return the body in force; null if there is no such record.
Result<boost::json::value>
BodyInForce(const AdminClient& aClient, const boost::json::value& aRecord)
{
  const auto answer = aClient.AskAgain(
    { .target = "/v1/records/" +
                admin::PercentEncoded(FieldText(aRecord, "kind")) + "/" +
                admin::PercentEncoded(FieldText(aRecord, "name")) });
  if (!answer && answer.error().code == Code::UnknownRecord) {
    return boost::json::value();
  }
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  const auto* body = answer->as_object().if_contains("body");
  return body == nullptr ? boost::json::value() : *body;
}

Exit
Diff(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "JSON file as for submit", true, "", "FILE", aLine.Tclap());
  aLine.Parse(aArguments);

  const Result<AdminClient> client = host.Client();
  if (!client) {
    return Report(client.error());
  }
  const auto records = ReadRecordFile(file.getValue());
  if (!records) {
    return Report(records.error());
  }
  boost::json::array differences;
  for (const auto& record : *records) {
    const auto inForce = BodyInForce(*client, record);
    if (!inForce) {
      return Report(inForce.error());
    }
    const std::string name =
      FieldText(record, "kind") + "/" + FieldText(record, "name");
    boost::json::array ofRecord;
    Compare("",
            inForce->is_null() ? nullptr : &*inForce,
            record.as_object().if_contains("body"),
            ofRecord);
    for (auto& line : ofRecord) {
      line.as_object()["record"] = name;
      differences.push_back(std::move(line));
    }
  }
  if (host.Json()) {
    std::cout << boost::json::serialize(differences) << '\n';
  } else if (!differences.empty()) {
    PrintTable({ { "RECORD", "record" },
                 { "FIELD", "field" },
                 { "IN FORCE", "in_force" },
                 { "FILE", "file" } },
               differences);
  }
  return differences.empty() ? Exit::Ok : Exit::Failed;
}

const Registration sRegistration(
  { "diff", "Tells how a file's records differ from those in force.", &Diff });

} // namespace
} // namespace rattandyke::cli
