#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "admin/message.h"
#include "rattandyke/record_file.h"
#include "rattandyke/table_printer.h"

namespace rattandyke::cli {
namespace {

using admin::PercentEncoded;

constexpr std::chrono::milliseconds kBetweenLooks{ 50 };

std::string
RandomId()
{
  std::random_device device;
  std::ostringstream id;
  id << std::hex << device() << device() << device() << device();
  return id.str();
}

/// The arguments of submit.
struct SubmitArguments
{
  explicit SubmitArguments(CommandLine& aLine)
    : host(aLine)
    , file("file",
           "JSON file: a record, or a list of records",
           true,
           "",
           "FILE",
           aLine.Tclap())
    , dryRun("", "dry-run", "check only, change nothing", aLine.Tclap())
    , wait("", "wait", "return when it is in force on all hosts", aLine.Tclap())
    , anyRevision("",
                  "any-revision",
                  "replace whatever is in force",
                  aLine.Tclap())
    , submissionId("",
                   "submission-id",
                   "identity of this submission: the same file sent again "
                   "with the same id has no second effect",
                   false,
                   "",
                   "ID",
                   aLine.Tclap())
  {
  }

  HostArguments host;
  TCLAP::UnlabeledValueArg<std::string> file;
  TCLAP::SwitchArg dryRun;
  TCLAP::SwitchArg wait;
  TCLAP::SwitchArg anyRevision;
  TCLAP::ValueArg<std::string> submissionId;
};

AdminCall
CallFor(const boost::json::object& aRecord,
        const SubmitArguments& aArguments,
        const std::string& aSubmissionId)
{
  return { .method = "PUT",
           .target =
             "/v1/records/" +
             PercentEncoded(std::string(aRecord.at("kind").as_string())) + "/" +
             PercentEncoded(std::string(aRecord.at("name").as_string())) +
             (aArguments.dryRun.getValue() ? "?dry_run=true" : ""),
           .ifMatch = aArguments.anyRevision.getValue() ? "*" : "",
           .submissionId = aSubmissionId,
           .body = boost::json::serialize(aRecord) };
}

/// Waits until every live host routes by a table that has the revision.
Result<void>
WaitInForce(const AdminClient& aClient,
            const std::string& aRevision,
            std::chrono::milliseconds aTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  for (;;) {
    const auto answer =
      aClient.AskAgain({ .target = "/v1/in-force?revision=" + aRevision });
    if (!answer) {
      return tl::unexpected(answer.error());
    }
    if (FieldText(*answer, "everywhere") == "true") {
      return {};
    }
    if (std::chrono::steady_clock::now() >= end) {
      return Fail(Code::DeadlineExceeded,
                  "Revision " + aRevision +
                    " is accepted but not yet in force everywhere.");
    }
    std::this_thread::sleep_for(kBetweenLooks);
  }
}

/// @return the records as accepted, up to the first that was refused.
Result<void>
SubmitAll(const AdminClient& aClient,
          const boost::json::array& aRecords,
          const SubmitArguments& aArguments,
          boost::json::array& aAccepted)
{
  const std::string id = aArguments.submissionId.getValue().empty()
                           ? RandomId()
                           : aArguments.submissionId.getValue();
  for (size_t i = 0; i < aRecords.size(); ++i) {
    const std::string ownId =
      aRecords.size() == 1 ? id : id + "-" + std::to_string(i + 1);
    const auto answer =
      aClient.AskAgain(CallFor(aRecords[i].as_object(), aArguments, ownId));
    if (!answer) {
      const std::string name = FieldText(aRecords[i], "kind") + "/" +
                               FieldText(aRecords[i], "name") + ": ";
      return Fail(answer.error().code, name + answer.error().message);
    }
    aAccepted.push_back(*answer);
  }
  return {};
}

Exit
Submit(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const SubmitArguments arguments(aLine);
  aLine.Parse(aArguments);

  const Result<AdminClient> client = arguments.host.Client();
  if (!client) {
    return Report(client.error());
  }
  const auto records = ReadRecordFile(arguments.file.getValue());
  if (!records) {
    return Report(records.error());
  }
  boost::json::array accepted;
  Result<void> done = SubmitAll(*client, *records, arguments, accepted);
  if (arguments.host.Json()) {
    // One record in, one out; a list in, a list out.
    const bool one = records->size() == 1 && accepted.size() == 1;
    std::cout << boost::json::serialize(one ? accepted[0]
                                            : boost::json::value(accepted))
              << '\n';
  } else if (!accepted.empty()) {
    PrintTable({ { "KIND", "kind" },
                 { "NAME", "name" },
                 { "REVISION", "revision" },
                 { "SUBMISSION", "submission_id" } },
               accepted);
  }
  const bool wait = arguments.wait.getValue() && !arguments.dryRun.getValue();
  if (done && wait && !accepted.empty()) {
    done = WaitInForce(*client,
                       FieldText(accepted.back(), "revision"),
                       arguments.host.Timeout());
  }
  return done ? Exit::Ok : Report(done.error());
}

const Registration sRegistration({ "submit",
                                   "Puts records from a file in force.",
                                   &Submit });

} // namespace
} // namespace rattandyke::cli
