#pragma once

#include "Libraries/Edge/Message.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** How entries make themselves known to one another and to agents. An object in
 * the store bears the name of the entry that writes it and announces that entry
 * and some others, so that a fleet that starts needs few writes. */
namespace lavender::registration {

/** An entry as it is announced. */
struct announced_entry
{
  std::string mName;
  edge::endpoint mAddress;
  std::string mAvailabilityZone;
  /** Processor cores that the entry may use. */
  double mProcessorShare = 1;
};

bool
IsSame(const announced_entry& aLeft, const announced_entry& aRight);

json::value
EncodeEntry(const announced_entry& aEntry);

/** @param aName used if the encoded entry has none */
std::optional<announced_entry>
DecodeEntry(const json::value& aEncoded, const std::string& aName = {});

/** Content of the object that an entry writes.
 * @param aEntries the writer itself, if it is announced, and others */
json::value
EncodeAnnouncement(const std::string& aWriter,
                   const std::vector<announced_entry>& aEntries);

/** Entries that an object announces, its writer first; unreadable ones are left
 * out. */
std::vector<announced_entry>
DecodeAnnouncement(const objects::stored_object& aObject);

/** Objects that announce entries, by name. */
using announcements = std::map<std::string, objects::stored_object>;

/** All announced entries, by name. An entry that several objects announce
 * counts as in its own object, else as in the object written last. */
std::map<std::string, announced_entry>
CollectEntries(const announcements& aObjects);

/** A write that ends an entry's announcement by one object. */
struct removal
{
  std::string mObject;
  objects::revision_number mRevision = 0;
  /** New content of the object as JSON; none if it must be deleted. */
  std::optional<std::string> mSpec;
};

std::vector<removal>
RemovalsOf(const announcements& aObjects, const std::string& aEntry);

} // namespace lavender::registration
