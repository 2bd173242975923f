#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** The text that runs of one item have made so far, and the parts of it that
 * are stored so that the next owner of its batch goes on from there. Pure. */
namespace lavender::batches {

struct generated_text
{
  /** Data of the whole events, with line feeds between. */
  std::string mData;
  /** Number of the last event; none before the first. */
  std::optional<std::int64_t> mLastEvent;
  /** Versions that made an event, oldest first. */
  std::vector<std::int64_t> mVersions;
  /** The run has ended: nothing follows. */
  bool mIsWhole = false;
  /** Times that the text was thrown away and begun anew. */
  int mRestarts = 0;
};

void
AddEvent(generated_text& aMade,
         std::int64_t aNumber,
         std::string_view aData,
         std::int64_t aVersion);

/** Throws the text away. */
void
Restart(generated_text& aMade);

/** How much of a text is stored. */
struct save_mark
{
  std::size_t mBytes = 0;
  std::optional<std::int64_t> mLastEvent;
  bool mIsWhole = false;
};

/** What one write adds to an item's stored text. */
struct text_part
{
  /** The item's place in its submission. */
  std::size_t mItem = 0;
  /** Event that it follows; none when it begins the text. */
  std::optional<std::int64_t> mAfter;
  /** Data of the part alone; the rest speaks of the text up to its end. */
  generated_text mMade;
};

/** The part that isn't stored yet; none when there is nothing. */
std::optional<text_part>
UnsavedPart(const generated_text& aMade, const save_mark& aMark);

/** Moves the mark to the end of a part that was stored, unless the text was
 * begun anew meanwhile. */
void
MarkSaved(save_mark& aMark,
          const generated_text& aMade,
          const text_part& aPart);

/** An item's text as the store holds it. */
struct stored_text
{
  /** Who wrote it: an owner's load of the batch. */
  std::string mWriter;
  generated_text mMade;
};

/** By the item's place in its submission. */
using stored_texts = std::map<std::size_t, stored_text>;

/** Takes in a part that was read back.
 *
 * Two entries that both believe to own a batch each run its items, and the
 * parts of their texts alternate. Those of two runs must never be joined, so a
 * part goes on only from one of the same writer; one that begins a text
 * replaces what another writer made only where it is longer. */
void
TakePart(stored_texts& aStored,
         const std::string& aWriter,
         const text_part& aPart);

} // namespace lavender::batches
