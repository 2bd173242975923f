#include "Duties/Registration/Announcement.h"

#include <algorithm>
#include <utility>

namespace lavender::registration {

namespace {

constexpr char kOthers[] = "others";

} // namespace

bool
IsSame(const announced_entry& aLeft, const announced_entry& aRight)
{
  return json::Write(EncodeEntry(aLeft)) == json::Write(EncodeEntry(aRight));
}

json::value
EncodeEntry(const announced_entry& aEntry)
{
  return json::object{ { "name", aEntry.mName },
                       { "address", aEntry.mAddress.Text() },
                       { "zone", aEntry.mAvailabilityZone },
                       { "cores", aEntry.mProcessorShare } };
}

std::optional<announced_entry>
DecodeEntry(const json::value& aEncoded, const std::string& aName)
{
  const auto address =
    edge::ParseAddress(json::StringAt(aEncoded, "address", ""));
  const auto name = json::StringAt(aEncoded, "name", aName);
  if (!address || name.empty()) {
    return std::nullopt;
  }
  return announced_entry{ name,
                          *address,
                          json::StringAt(aEncoded, "zone", ""),
                          json::NumberAt(aEncoded, "cores", 1) };
}

json::value
EncodeAnnouncement(const std::string& aWriter,
                   const std::vector<announced_entry>& aEntries)
{
  json::value spec = json::object{};
  json::array others;
  for (const auto& entry : aEntries) {
    if (entry.mName == aWriter) {
      spec = EncodeEntry(entry);
    } else {
      others.push_back(EncodeEntry(entry));
    }
  }
  if (!others.empty()) {
    spec.Set(kOthers, std::move(others));
  }
  return spec;
}

std::vector<announced_entry>
DecodeAnnouncement(const objects::stored_object& aObject)
{
  std::vector<announced_entry> entries;
  if (auto writer = DecodeEntry(aObject.mSpec, aObject.mName)) {
    entries.push_back(std::move(*writer));
  }
  if (const auto* others = aObject.mSpec.Find(kOthers)) {
    for (const auto& other : others->Elements()) {
      if (auto entry = DecodeEntry(other)) {
        entries.push_back(std::move(*entry));
      }
    }
  }
  return entries;
}

std::map<std::string, announced_entry>
CollectEntries(const announcements& aObjects)
{
  // Whether the entry's own object announces it, and the object's revision.
  using standing = std::pair<bool, objects::revision_number>;
  std::map<std::string, std::pair<standing, announced_entry>> best;
  for (const auto& [name, object] : aObjects) {
    for (const auto& entry : DecodeAnnouncement(object)) {
      const standing own{ entry.mName == name, object.mRevision };
      const auto known = best.find(entry.mName);
      if (known == best.end() || known->second.first < own) {
        best[entry.mName] = { own, entry };
      }
    }
  }
  std::map<std::string, announced_entry> entries;
  for (auto& [name, found] : best) {
    entries[name] = std::move(found.second);
  }
  return entries;
}

std::vector<removal>
RemovalsOf(const announcements& aObjects, const std::string& aEntry)
{
  std::vector<removal> removals;
  for (const auto& [name, object] : aObjects) {
    auto entries = DecodeAnnouncement(object);
    const auto found =
      std::find_if(entries.begin(), entries.end(), [&](const auto& aOther) {
        return aOther.mName == aEntry;
      });
    if (found == entries.end()) {
      continue;
    }
    entries.erase(found);
    removal write{ name, object.mRevision, std::nullopt };
    if (!entries.empty()) {
      write.mSpec = json::Write(EncodeAnnouncement(name, entries));
    }
    removals.push_back(std::move(write));
  }
  return removals;
}

} // namespace lavender::registration
