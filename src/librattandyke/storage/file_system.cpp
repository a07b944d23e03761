#include "storage/file_system.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace rattandyke::storage {

namespace {

using Path = FileSystem::Path;

constexpr mode_t kFileMode = 0600;

tl::unexpected<Error>
FailErrno(std::string_view aWhat, const Path& aPath)
{
  const int number = errno;
  const bool full = number == ENOSPC || number == EDQUOT;
  return Fail(full ? Code::DiskFull : Code::StorageFailed,
              "Can't " + std::string(aWhat) + " " + aPath.string() + ": " +
                std::strerror(number) + ".");
}

class Descriptor
{
public:
  explicit Descriptor(int aValue)
    : mValue(aValue)
  {
  }
  ~Descriptor()
  {
    if (mValue >= 0) {
      ::close(mValue);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int Value() const { return mValue; }

private:
  const int mValue;
};

class SystemFile final : public File
{
public:
  SystemFile(int aDescriptor, Path aPath)
    : mDescriptor(aDescriptor)
    , mPath(std::move(aPath))
  {
  }

  Result<void> Append(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t written =
        ::write(mDescriptor.Value(), aBytes.data(), aBytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return FailErrno("write", mPath);
      }
      aBytes.remove_prefix(written);
    }
    return {};
  }

  Result<void> Truncate(uint64_t aSize) override
  {
    if (::ftruncate(mDescriptor.Value(), static_cast<off_t>(aSize)) != 0) {
      return FailErrno("truncate", mPath);
    }
    return {};
  }

  Result<void> Sync() override
  {
    if (::fdatasync(mDescriptor.Value()) != 0) {
      return FailErrno("sync", mPath);
    }
    return {};
  }

private:
  const Descriptor mDescriptor;
  const Path mPath;
};

class SystemLock final : public FileLock
{
public:
  explicit SystemLock(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  int Value() const { return mDescriptor.Value(); }

private:
  const Descriptor mDescriptor;
};

class SystemFileSystem final : public FileSystem
{
public:
  Result<void> CreateFolder(const Path& aPath) override
  {
    std::error_code error;
    std::filesystem::create_directories(aPath, error);
    if (error) {
      return Fail(Code::StorageFailed,
                  "Can't make folder " + aPath.string() + ": " +
                    error.message() + ".");
    }
    return {};
  }

  Result<std::unique_ptr<FileLock>> Lock(const Path& aPath) override
  {
    const int descriptor =
      ::open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    if (descriptor < 0) {
      return FailErrno("open", aPath);
    }
    auto lock = std::make_unique<SystemLock>(descriptor);
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
      if (errno != EWOULDBLOCK) {
        return FailErrno("lock", aPath);
      }
      return Fail(Code::StorageLocked,
                  "Another process uses data folder " +
                    aPath.parent_path().string() +
                    ". Stop it, or name another folder.");
    }
    return lock;
  }

  Result<std::vector<std::string>> List(const Path& aFolder) override
  {
    std::vector<std::string> names;
    std::error_code error;
    std::filesystem::directory_iterator item(aFolder, error);
    for (; !error && item != std::filesystem::directory_iterator();
         item.increment(error)) {
      names.push_back(item->path().filename().string());
    }
    if (error) {
      return Fail(Code::StorageFailed,
                  "Can't list " + aFolder.string() + ": " + error.message() +
                    ".");
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  Result<std::string> Read(const Path& aPath) override
  {
    const Descriptor descriptor(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat info = {};
    if (descriptor.Value() < 0 || ::fstat(descriptor.Value(), &info) != 0) {
      return FailErrno("open", aPath);
    }
    std::string bytes(info.st_size, '\0');
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t got =
        ::read(descriptor.Value(), bytes.data() + done, bytes.size() - done);
      if (got < 0 && errno == EINTR) {
        continue;
      }
      if (got < 0) {
        return FailErrno("read", aPath);
      }
      if (got == 0) {
        break;
      }
      done += got;
    }
    bytes.resize(done);
    return bytes;
  }

  Result<std::unique_ptr<File>> Open(const Path& aPath) override
  {
    const int descriptor = ::open(
      aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    if (descriptor < 0) {
      return FailErrno("open", aPath);
    }
    return std::make_unique<SystemFile>(descriptor, aPath);
  }

  Result<void> Rename(const Path& aFrom, const Path& aTo) override
  {
    if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
      return FailErrno("rename", aFrom);
    }
    return {};
  }

  Result<void> Remove(const Path& aPath) override
  {
    if (::unlink(aPath.c_str()) != 0 && errno != ENOENT) {
      return FailErrno("remove", aPath);
    }
    return {};
  }

  Result<void> SyncFolder(const Path& aFolder) override
  {
    const Descriptor descriptor(
      ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.Value() < 0 || ::fsync(descriptor.Value()) != 0) {
      return FailErrno("sync", aFolder);
    }
    return {};
  }
};

} // namespace

std::unique_ptr<FileSystem>
MakeFileSystem()
{
  return std::make_unique<SystemFileSystem>();
}

} // namespace rattandyke::storage
