/// A vector of which versions share what did not change.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

namespace rattandyke::routing {

/// Value type: a copy shares its chunks, and an Editor copies only the chunks
/// that it changes. Reading is thread-safe.
///
/// @tparam ChunkSize elements in a chunk. A change costs one chunk and one
/// pointer for each chunk; about the square root of the usual size is best.
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

  /// Changes a private copy; Finish gives the changed vector.
  class Editor
  {
  public:
    explicit Editor(ChunkedVector aBase)
      : mVector(std::move(aBase))
      , mOwned(mVector.mChunks.size(), nullptr)
    {
    }

    size_t Size() const { return mVector.mSize; }
    const T& operator[](size_t aIndex) const { return mVector[aIndex]; }

    /// @return the element, in a chunk that nobody else sees. Valid until the
    /// next call.
    T& Change(size_t aIndex)
    {
      return (*Own(aIndex / ChunkSize))[aIndex % ChunkSize];
    }

    void Append(T aValue)
    {
      if (mVector.mSize % ChunkSize == 0) {
        AppendChunk();
      }
      Own(mVector.mSize / ChunkSize)->push_back(std::move(aValue));
      ++mVector.mSize;
    }

    /// Appends default elements until there are aSize.
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
      mOwned.push_back(chunk.get());
      mVector.mChunks.push_back(std::move(chunk));
    }

    Chunk* Own(size_t aChunk)
    {
      if (mOwned[aChunk] == nullptr) {
        auto copy = std::make_shared<Chunk>();
        copy->reserve(ChunkSize);
        *copy = *mVector.mChunks[aChunk];
        mOwned[aChunk] = copy.get();
        mVector.mChunks[aChunk] = std::move(copy);
      }
      return mOwned[aChunk];
    }

    ChunkedVector mVector;
    /// The chunks that this editor made; null for shared ones.
    std::vector<Chunk*> mOwned;
  };

private:
  std::vector<std::shared_ptr<const Chunk>> mChunks;
  size_t mSize = 0;
};

} // namespace rattandyke::routing
