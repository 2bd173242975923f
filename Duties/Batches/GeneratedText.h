#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** The text that the runs of one item have generated so far, and the stored
 * parts of it, from which the batch's next owner resumes. No I/O. */
namespace lavender::batches {

/** Maximum size of a text as it is written, in bytes: a page of results holds
 * one at least. */
constexpr std::size_t kMaximumTextBytes = 900 << 10;

struct generated_text
{
  /** Data of the complete events, joined by line feeds. */
  std::string mData;
  /** Size of mData as a string of a JSON document, in bytes. */
  std::size_t mWrittenBytes = 0;
  /** Id of the last event; none before the first. */
  std::optional<std::int64_t> mLastEvent;
  /** Weights versions that generated events, in order of use. */
  std::vector<std::int64_t> mVersions;
  /** True if the run has ended and no event follows. */
  bool mIsComplete = false;
  /** Number of times that the text was discarded and started again. */
  int mRestarts = 0;
};

/** Size that the text would have as a string of a JSON document with one more
 * event, in bytes. */
std::size_t
WrittenBytesWith(const generated_text& aGenerated, std::string_view aData);

void
AddEvent(generated_text& aGenerated,
         std::int64_t aNumber,
         std::string_view aData,
         std::int64_t aVersion);

/** Discards the text. */
void
Restart(generated_text& aGenerated);

/** The stored prefix of a text. */
struct save_mark
{
  std::size_t mBytes = 0;
  std::optional<std::int64_t> mLastEvent;
  bool mIsComplete = false;
};

/** The part of an item's text that one write adds. */
struct text_part
{
  /** Index of the item in its submission. */
  std::size_t mItem = 0;
  /** Id of the event that the part follows; none for the first part of a text.
   */
  std::optional<std::int64_t> mAfter;
  /** mData holds the data of this part only; the other fields describe the text
   * up to the end of this part. */
  generated_text mGenerated;
};

/** Returns the part that isn't stored yet, or none if all of the text is
 * stored. */
std::optional<text_part>
UnsavedPart(const generated_text& aGenerated, const save_mark& aMark);

/** Moves the mark to the end of a part that was stored. Does nothing if the
 * text was discarded since the part was taken. */
void
MarkSaved(save_mark& aMark,
          const generated_text& aGenerated,
          const text_part& aPart);

/** An item's text as read back from the store. */
struct stored_text
{
  /** Id of the load of the batch that wrote the text. */
  std::string mWriter;
  generated_text mGenerated;
};

/** Stored texts by the index of the item in its submission. */
using stored_texts = std::map<std::size_t, stored_text>;

/** Applies a part that was read back from the store.
 *
 * When two entries both believe that they own a batch, each of them runs its
 * items and the stored parts of the two runs interleave. Parts of different
 * runs must never be joined, so a part only continues a part of the same
 * writer. A first part replaces the text of another writer only if it is
 * longer. */
void
ApplyPart(stored_texts& aStored,
          const std::string& aWriter,
          const text_part& aPart);

} // namespace lavender::batches
