#include "testing/memory_file_system.h"

#include <algorithm>

namespace rattandyke::testing {

namespace {

using Path = storage::FileSystem::Path;

tl::unexpected<Error>
FailInjected()
{
  return Fail(Code::StorageFailed, "injected");
}

} // namespace

class MemoryDisk::OpenFile final : public storage::File
{
public:
  OpenFile(std::shared_ptr<MemoryDisk> aDisk, std::shared_ptr<Node> aNode)
    : mDisk(std::move(aDisk))
    , mNode(std::move(aNode))
  {
  }

  Result<void> Append(std::string_view aBytes) override
  {
    if (!mDisk->MayGoOn()) {
      mNode->bytes += aBytes.substr(0, aBytes.size() / 2);
      return FailInjected();
    }
    const uint64_t used = mDisk->Used();
    const uint64_t capacity = std::max<uint64_t>(mDisk->mCapacity, used);
    const uint64_t room = capacity - used;
    if (aBytes.size() > room) {
      mNode->bytes += aBytes.substr(0, room);
      return Fail(Code::DiskFull, "injected");
    }
    mNode->bytes += aBytes;
    return {};
  }

  Result<void> Truncate(uint64_t aSize) override
  {
    if (!mDisk->MayGoOn()) {
      return FailInjected();
    }
    mNode->bytes.resize(aSize);
    return {};
  }

  Result<void> Sync() override
  {
    if (!mDisk->MayGoOn()) {
      return FailInjected();
    }
    mNode->synced = mNode->bytes;
    return {};
  }

private:
  const std::shared_ptr<MemoryDisk> mDisk;
  const std::shared_ptr<Node> mNode;
};

class MemoryDisk::Files final : public storage::FileSystem
{
public:
  explicit Files(std::shared_ptr<MemoryDisk> aDisk)
    : mDisk(std::move(aDisk))
  {
  }

  Result<void> CreateFolder(const Path&) override { return {}; }

  Result<std::unique_ptr<storage::FileLock>> Lock(const Path&) override
  {
    if (mDisk->mLocked) {
      return Fail(Code::StorageLocked, "injected");
    }
    return std::make_unique<Held>(mDisk);
  }

  Result<std::vector<std::string>> List(const Path& aFolder) override
  {
    std::vector<std::string> names;
    for (const std::string& path : mDisk->Paths()) {
      if (Path(path).parent_path() == aFolder) {
        names.push_back(Path(path).filename().string());
      }
    }
    return names;
  }

  Result<std::string> Read(const Path& aPath) override
  {
    return mDisk->mNames.at(aPath.string())->bytes;
  }

  Result<std::unique_ptr<storage::File>> Open(const Path& aPath) override
  {
    const auto found = mDisk->mNames.find(aPath.string());
    if (found != mDisk->mNames.end()) {
      return std::make_unique<OpenFile>(mDisk, found->second);
    }
    if (!mDisk->MayGoOn()) {
      return FailInjected();
    }
    auto node = std::make_shared<Node>();
    mDisk->SetName(aPath.string(), node);
    return std::make_unique<OpenFile>(mDisk, std::move(node));
  }

  Result<void> Rename(const Path& aFrom, const Path& aTo) override
  {
    if (!mDisk->MayGoOn()) {
      return FailInjected();
    }
    mDisk->SetName(aTo.string(), mDisk->mNames.at(aFrom.string()));
    mDisk->SetName(aFrom.string(), nullptr);
    return {};
  }

  Result<void> Remove(const Path& aPath) override
  {
    if (!mDisk->MayGoOn()) {
      return FailInjected();
    }
    mDisk->SetName(aPath.string(), nullptr);
    return {};
  }

  Result<void> SyncFolder(const Path&) override
  {
    if (!mDisk->MayGoOn()) {
      return FailInjected();
    }
    mDisk->mSyncedNames = mDisk->mNames;
    mDisk->mUnsyncedChanges.clear();
    return {};
  }

private:
  class Held final : public storage::FileLock
  {
  public:
    explicit Held(std::shared_ptr<MemoryDisk> aDisk)
      : mDisk(std::move(aDisk))
    {
      mDisk->mLocked = true;
    }
    ~Held() override { mDisk->mLocked = false; }

  private:
    const std::shared_ptr<MemoryDisk> mDisk;
  };

  const std::shared_ptr<MemoryDisk> mDisk;
};

std::unique_ptr<storage::FileSystem>
MemoryDisk::Mount(const std::shared_ptr<MemoryDisk>& aDisk)
{
  return std::make_unique<Files>(aDisk);
}

void
MemoryDisk::Crash(Random& aRandom)
{
  const size_t kept = aRandom() % (mUnsyncedChanges.size() + 1);
  for (size_t i = 0; i < kept; ++i) {
    Apply(mSyncedNames, mUnsyncedChanges[i]);
  }
  mUnsyncedChanges.clear();
  mNames = mSyncedNames;
  for (auto& [path, node] : mNames) {
    const bool appended = node->bytes.starts_with(node->synced);
    if (appended) {
      const size_t more = node->bytes.size() - node->synced.size();
      node->bytes.resize(node->synced.size() + aRandom() % (more + 1));
    } else if (aRandom() % 2 == 0) {
      node->bytes = node->synced;
    }
    node->synced = node->bytes;
  }
}

std::vector<std::string>
MemoryDisk::Paths() const
{
  std::vector<std::string> paths;
  for (const auto& [path, node] : mNames) {
    paths.push_back(path);
  }
  return paths;
}

std::string&
MemoryDisk::Contents(const std::string& aPath)
{
  return mNames.at(aPath)->bytes;
}

bool
MemoryDisk::MayGoOn()
{
  if (mFailAfter && *mFailAfter == 0) {
    return false;
  }
  if (mFailAfter) {
    --*mFailAfter;
  }
  return true;
}

void
MemoryDisk::SetName(const std::string& aPath, std::shared_ptr<Node> aNode)
{
  mUnsyncedChanges.push_back({ aPath, std::move(aNode) });
  Apply(mNames, mUnsyncedChanges.back());
}

void
MemoryDisk::Apply(Names& aNames, const NameChange& aChange)
{
  if (aChange.node) {
    aNames[aChange.path] = aChange.node;
  } else {
    aNames.erase(aChange.path);
  }
}

uint64_t
MemoryDisk::Used() const
{
  uint64_t used = 0;
  for (const auto& [path, node] : mNames) {
    used += node->bytes.size();
  }
  return used;
}

} // namespace rattandyke::testing
