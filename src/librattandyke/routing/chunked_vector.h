/// Persistent vector: copies share their unchanged chunks (copy-on-write).
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

namespace rattandyke::routing {

/// Immutable vector stored in chunks. Copies share all chunks; an Editor copies
/// only the chunks that it changes. Concurrent reads are thread-safe.
///
/// @tparam ChunkSize elements per chunk. An edit copies one pointer per chunk
/// and each changed chunk, so the square root of the usual size is best.
template<typename T, size_t ChunkSize>
class ChunkedVector
{
  using Chunk = std::vector<T>;

public:
  size_t Size() const { return mSize; }

  const T& operator[](size_t aIndex) const
  {
    return (*mChunks[aIndex / ChunkSize])[aIndex % ChunkSize];
  }

  /// Builds a changed version of a vector. Finish returns the result.
  class Editor
  {
  public:
    explicit Editor(ChunkedVector aBase)
      : mVector(std::move(aBase))
      , mPrivateChunks(mVector.mChunks.size(), nullptr)
    {
    }

    size_t Size() const { return mVector.mSize; }
    const T& operator[](size_t aIndex) const { return mVector[aIndex]; }

    /// @return a mutable reference to the element, in a chunk that no other
    /// vector shares. The reference is valid until the next call.
    T& Mutable(size_t aIndex)
    {
      return (*MutableChunk(aIndex / ChunkSize))[aIndex % ChunkSize];
    }

    void Append(T aValue)
    {
      if (mVector.mSize % ChunkSize == 0) {
        AppendChunk();
      }
      MutableChunk(mVector.mSize / ChunkSize)->push_back(std::move(aValue));
      ++mVector.mSize;
    }

    /// Appends default-constructed elements until the size is at least aSize.
    void GrowTo(size_t aSize)
    {
      while (mVector.mSize < aSize) {
        Append(T{});
      }
    }

    ChunkedVector Finish() { return std::move(mVector); }

  private:
    void AppendChunk()
    {
      auto chunk = std::make_shared<Chunk>();
      chunk->reserve(ChunkSize);
      mPrivateChunks.push_back(chunk.get());
      mVector.mChunks.push_back(std::move(chunk));
    }

    Chunk* MutableChunk(size_t aChunkIndex)
    {
      if (mPrivateChunks[aChunkIndex] == nullptr) {
        auto copy = std::make_shared<Chunk>();
        copy->reserve(ChunkSize);
        *copy = *mVector.mChunks[aChunkIndex];
        mPrivateChunks[aChunkIndex] = copy.get();
        mVector.mChunks[aChunkIndex] = std::move(copy);
      }
      return mPrivateChunks[aChunkIndex];
    }

    ChunkedVector mVector;
    /// Chunks that this editor allocated, by chunk index; null if shared.
    std::vector<Chunk*> mPrivateChunks;
  };

private:
  std::vector<std::shared_ptr<const Chunk>> mChunks;
  size_t mSize = 0;
};

} // namespace rattandyke::routing
