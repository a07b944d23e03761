#include "storage/log_store.h"

#include <algorithm>
#include <charconv>

#include "storage/sealed_file.h"
#include "storage/segment_log.h"

namespace rattandyke::storage {

namespace {

constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr size_t kNumberBytes = 8;
/// WriteSealed syncs the file and its folder.
constexpr uint64_t kSyncsPerSealedFile = 2;

std::string
EncodeSnapshot(const consensus::Snapshot& aSnapshot)
{
  const std::string meta = aSnapshot.meta.SerializeAsString();
  std::string bytes;
  AppendNumber(bytes, meta.size());
  return bytes + meta + *aSnapshot.data;
}

std::optional<consensus::Snapshot>
DecodeSnapshot(std::string_view aBytes)
{
  if (aBytes.size() < kNumberBytes) {
    return std::nullopt;
  }
  const uint64_t length = ReadNumber(aBytes, 0);
  const std::string_view rest = aBytes.substr(kNumberBytes);
  consensus::Snapshot snapshot;
  if (length > rest.size() ||
      !snapshot.meta.ParseFromArray(rest.data(), static_cast<int>(length))) {
    return std::nullopt;
  }
  snapshot.data = std::make_shared<const std::string>(rest.substr(length));
  return snapshot;
}

std::string
SnapshotName(uint64_t aIndex)
{
  constexpr size_t kDigits = 20;
  const std::string digits = std::to_string(aIndex);
  return std::string(kSnapshotPrefix) +
         std::string(kDigits - digits.size(), '0') + digits;
}

} // namespace

struct LogStore::Impl
{
  Impl(std::unique_ptr<FileSystem> aFiles,
       std::filesystem::path aFolder,
       LogStoreOptions aOptions)
    : mFiles(std::move(aFiles))
    , mFolder(std::move(aFolder))
    , mLog(*mFiles, mFolder, aOptions.segmentBytes)
  {
  }

  Result<void> Open(uint64_t aRandomIdentity)
  {
    return mFiles->CreateFolder(mFolder)
      .and_then([&] { return mFiles->Lock(mFolder / "lock"); })
      .map([&](std::unique_ptr<FileLock> aLock) { mLock = std::move(aLock); })
      .and_then([&] { return mFiles->List(mFolder); })
      .map([&](std::vector<std::string> aNames) { mNames = std::move(aNames); })
      .and_then([&] { return RemoveTemporaries(); })
      .and_then([&] { return LoadIdentity(aRandomIdentity); })
      .and_then([&] { return LoadState(); })
      .and_then([&] { return LoadSnapshot(); })
      .and_then([&] { return LoadLog(); });
  }

  bool Has(std::string_view aName) const
  {
    return std::binary_search(mNames.begin(), mNames.end(), aName);
  }

  bool HasPrefix(std::string_view aPrefix) const
  {
    return std::any_of(mNames.begin(), mNames.end(), [&](const auto& aName) {
      return aName.starts_with(aPrefix);
    });
  }

  Result<void> RemoveTemporaries()
  {
    for (const std::string& name : mNames) {
      if (name.ends_with(kTemporarySuffix)) {
        if (auto removed = mFiles->Remove(mFolder / name); !removed) {
          return removed;
        }
      }
    }
    std::erase_if(mNames, [](const auto& aName) {
      return aName.ends_with(kTemporarySuffix);
    });
    return {};
  }

  Result<void> LoadIdentity(uint64_t aRandomIdentity)
  {
    const auto path = mFolder / "identity";
    if (!Has("identity")) {
      // A folder with a log but no identity lost a file. Under a new identity
      // its log would pass for one that this voter had acknowledged.
      if (Has("state") || HasPrefix("log-") || HasPrefix(kSnapshotPrefix)) {
        return FailCorrupt(path, 0, "the file is missing");
      }
      mIdentity = aRandomIdentity;
      std::string bytes;
      AppendNumber(bytes, mIdentity);
      mSyncs += kSyncsPerSealedFile + 1;
      return WriteSealed(*mFiles, path, bytes).and_then([&] {
        return mFiles->SyncFolder(mFolder.parent_path());
      });
    }
    return ReadSealed(*mFiles, path).and_then([&](const std::string& aBytes) {
      if (aBytes.size() != kNumberBytes) {
        return Result<void>(FailCorrupt(path, 0, "its length is wrong"));
      }
      mIdentity = ReadNumber(aBytes, 0);
      return Result<void>();
    });
  }

  Result<void> LoadState()
  {
    const auto path = mFolder / "state";
    if (!Has("state")) {
      // Forgetting a vote could elect two leaders in one term.
      if (HasPrefix("log-") || HasPrefix(kSnapshotPrefix)) {
        return FailCorrupt(path, 0, "the file is missing");
      }
      return {};
    }
    return ReadSealed(*mFiles, path).and_then([&](const std::string& aBytes) {
      if (!mRestored.hardState.ParseFromString(aBytes)) {
        return Result<void>(FailCorrupt(path, 0, "it can't be read"));
      }
      return Result<void>();
    });
  }

  Result<void> LoadSnapshot()
  {
    const auto newest =
      std::find_if(mNames.rbegin(), mNames.rend(), [](const auto& aName) {
        return aName.starts_with(kSnapshotPrefix);
      });
    if (newest == mNames.rend()) {
      return {};
    }
    const auto path = mFolder / *newest;
    return ReadSealed(*mFiles, path)
      .and_then([&](const std::string& aBytes) {
        mRestored.snapshot = DecodeSnapshot(aBytes);
        if (!mRestored.snapshot) {
          return Result<void>(FailCorrupt(path, 0, "it can't be read"));
        }
        return Result<void>();
      })
      .and_then([&] { return RemoveSnapshotsBut(*newest); });
  }

  Result<void> RemoveSnapshotsBut(const std::string& aKept)
  {
    for (const std::string& name : mNames) {
      if (name.starts_with(kSnapshotPrefix) && name != aKept) {
        if (auto removed = mFiles->Remove(mFolder / name); !removed) {
          return removed;
        }
      }
    }
    return {};
  }

  Result<void> LoadLog()
  {
    auto entries = mLog.Load(mNames);
    if (!entries) {
      return tl::unexpected(entries.error());
    }
    mRestored.entries = std::move(*entries);
    return JoinLogToSnapshot().map([&] {
      mRestored.previousIndex = mLog.BaseIndex();
      mRestored.previousTerm = mLog.BaseTerm();
    });
  }

  Result<void> JoinLogToSnapshot()
  {
    const uint64_t index =
      mRestored.snapshot ? mRestored.snapshot->meta.index() : 0;
    const uint64_t term =
      mRestored.snapshot ? mRestored.snapshot->meta.term() : 0;
    const bool hasLog = mLog.BaseIndex() > 0 || !mRestored.entries.empty();
    if (hasLog && mLog.BaseIndex() > index) {
      return FailCorrupt(mFolder / SnapshotName(mLog.BaseIndex()),
                         0,
                         "the entries before the log are missing");
    }
    // A crash between writing a snapshot that replaces the log and dropping
    // the log leaves entries that are not what the snapshot goes on from.
    if (mLog.LastIndex() < index || TermOf(index) != term) {
      mRestored.entries.clear();
      return mLog.Clear(index, term);
    }
    return {};
  }

  uint64_t TermOf(uint64_t aIndex) const
  {
    if (aIndex == mLog.BaseIndex()) {
      return mLog.BaseTerm();
    }
    return mRestored.entries[aIndex - mLog.BaseIndex() - 1].term();
  }

  Result<void> Write(std::span<const consensus::Persist> aBatches)
  {
    // A vote or term is written before the entries of earlier batches. That is
    // safe: none of these batches has been acknowledged yet.
    const wire::HardState* state = nullptr;
    for (const consensus::Persist& batch : aBatches) {
      state = batch.hardState ? &*batch.hardState : state;
    }
    if (state != nullptr) {
      mSyncs += kSyncsPerSealedFile;
      auto written =
        WriteSealed(*mFiles, mFolder / "state", state->SerializeAsString());
      if (!written) {
        return written;
      }
    }
    for (const consensus::Persist& batch : aBatches) {
      if (auto written = WriteBatch(batch); !written) {
        return written;
      }
    }
    return mLog.Flush();
  }

  Result<void> WriteBatch(const consensus::Persist& aBatch)
  {
    if (aBatch.snapshot) {
      if (auto saved = SaveSnapshot(*aBatch.snapshot); !saved) {
        return saved;
      }
    }
    if (aBatch.truncateFrom) {
      auto cut = mLog.TruncateFrom(aBatch.truncateFrom->value);
      if (!cut) {
        return cut;
      }
    }
    for (const wire::LogEntry& entry : aBatch.entries) {
      if (auto appended = mLog.Append(entry); !appended) {
        return appended;
      }
    }
    return {};
  }

  Result<void> SaveSnapshot(const consensus::SaveSnapshot& aSave)
  {
    const wire::SnapshotMeta& meta = aSave.snapshot.meta;
    const std::string name = SnapshotName(meta.index());
    mSyncs += kSyncsPerSealedFile;
    return mLog.Flush()
      .and_then([&] {
        return WriteSealed(
          *mFiles, mFolder / name, EncodeSnapshot(aSave.snapshot));
      })
      .and_then([&] { return mFiles->List(mFolder); })
      .and_then([&](std::vector<std::string> aNames) {
        mNames = std::move(aNames);
        return RemoveSnapshotsBut(name);
      })
      .and_then([&] {
        return aSave.discardLog ? mLog.Clear(meta.index(), meta.term())
                                : mLog.DropBelow(aSave.keepFrom);
      });
  }

  std::unique_ptr<FileSystem> mFiles;
  std::filesystem::path mFolder;
  std::unique_ptr<FileLock> mLock;
  std::vector<std::string> mNames;
  uint64_t mIdentity = 0;
  consensus::Restored mRestored;
  SegmentLog mLog;
  uint64_t mSyncs = 0;
};

LogStore::LogStore(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

LogStore::~LogStore() = default;

Result<std::unique_ptr<LogStore>>
LogStore::Open(std::unique_ptr<FileSystem> aFiles,
               std::filesystem::path aFolder,
               LogStoreOptions aOptions,
               uint64_t aRandomIdentity)
{
  auto impl =
    std::make_unique<Impl>(std::move(aFiles), std::move(aFolder), aOptions);
  return impl->Open(aRandomIdentity).map([&] {
    return std::unique_ptr<LogStore>(new LogStore(std::move(impl)));
  });
}

HostIdentity
LogStore::Identity() const
{
  return HostIdentity{ mImpl->mIdentity };
}

consensus::Restored
LogStore::TakeRestored()
{
  return std::exchange(mImpl->mRestored, {});
}

Result<void>
LogStore::Write(std::span<const consensus::Persist> aBatches)
{
  return mImpl->Write(aBatches);
}

uint64_t
LogStore::Syncs() const
{
  return mImpl->mSyncs + mImpl->mLog.Syncs();
}

} // namespace rattandyke::storage
