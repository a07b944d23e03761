#include "metrics/burn_file.h"

#include <cinttypes>
#include <cstdio>
#include <sstream>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattandyke::metrics {
namespace {

constexpr const char* kFile = "burn";
constexpr const char* kNewFile = "burn.new";
/// Three days of sixteen services by minute are about three megabytes.
constexpr size_t kLargeFile = size_t{ 8 } * 1024 * 1024;

/// "MINUTE ALL FAILED SLOW SERVICE CHECKSUM"; a service's name has no blanks.
std::string
LineOf(const CountedMinute& aCounted)
{
  char numbers[100];
  const auto minute =
    std::chrono::floor<std::chrono::minutes>(aCounted.at.time_since_epoch());
  std::snprintf(numbers,
                sizeof numbers,
                "%lld %" PRIu64 " %" PRIu64 " %" PRIu64 " ",
                static_cast<long long>(minute.count()),
                aCounted.counts.total,
                aCounted.counts.failed,
                aCounted.counts.slow);
  const std::string text = numbers + aCounted.service;
  return text + ' ' + std::to_string(XXH64(text.data(), text.size(), 0)) + '\n';
}

std::optional<CountedMinute>
ParseLine(const std::string& aLine)
{
  const size_t end = aLine.rfind(' ');
  if (end == std::string::npos ||
      aLine.substr(end + 1) != std::to_string(XXH64(aLine.data(), end, 0))) {
    return std::nullopt;
  }
  std::istringstream fields(aLine.substr(0, end));
  int64_t minute = 0;
  CountedMinute counted;
  fields >> minute >> counted.counts.total >> counted.counts.failed >>
    counted.counts.slow >> counted.service;
  if (!fields) {
    return std::nullopt;
  }
  counted.at = WallTime{ std::chrono::minutes(minute) };
  return counted;
}

} // namespace

BurnFile::BurnFile(std::unique_ptr<storage::FileSystem> aFiles,
                   std::filesystem::path aFolder)
  : mFiles(std::move(aFiles))
  , mFolder(std::move(aFolder))
{
}

BurnFile::~BurnFile() = default;

Result<void>
BurnFile::Load(BurnKeeper& aKeeper)
{
  const Result<std::vector<std::string>> names = mFiles->List(mFolder);
  if (!names) {
    return tl::unexpected(names.error());
  }
  if (std::find(names->begin(), names->end(), kFile) != names->end()) {
    const Result<std::string> text = mFiles->Read(mFolder / kFile);
    if (!text) {
      return tl::unexpected(text.error());
    }
    std::istringstream lines(*text);
    std::string line;
    while (std::getline(lines, line)) {
      if (const auto counted = ParseLine(line)) {
        aKeeper.Restore(*counted);
      }
    }
  }
  return Rewrite(aKeeper);
}

Result<void>
BurnFile::Save(BurnKeeper& aKeeper)
{
  std::string lines;
  for (const CountedMinute& counted : aKeeper.Unsaved()) {
    lines += LineOf(counted);
  }
  aKeeper.MarkSaved();
  if (lines.empty() && mFile != nullptr) {
    return {};
  }
  Result<void> done;
  if (mFile == nullptr || mBytes + lines.size() > kLargeFile) {
    done = Rewrite(aKeeper);
  } else {
    mBytes += lines.size();
    done = mFile->Append(lines).and_then([this] { return mFile->Sync(); });
  }
  if (!done) {
    // A part of the lines may be there; appending them again would count it
    // twice. The next call writes all that is known anew.
    mFile.reset();
  }
  return done;
}

/// The old file stays until the new one is whole, synced and renamed.
Result<void>
BurnFile::Rewrite(const BurnKeeper& aKeeper)
{
  std::string lines;
  for (const auto& [service, history] : aKeeper.Histories()) {
    for (const auto& [minute, counts] : history.Minutes()) {
      lines += LineOf({ service, minute, counts });
    }
  }
  auto file = mFiles->Open(mFolder / kNewFile);
  if (!file) {
    return tl::unexpected(file.error());
  }
  Result<void> done = (*file)->Truncate(0);
  if (done) {
    done = (*file)->Append(lines);
  }
  if (done) {
    done = (*file)->Sync();
  }
  if (done) {
    done = mFiles->Rename(mFolder / kNewFile, mFolder / kFile);
  }
  if (done) {
    done = mFiles->SyncFolder(mFolder);
  }
  if (done) {
    mFile = std::move(*file);
    mBytes = lines.size();
  }
  return done;
}

} // namespace rattandyke::metrics
