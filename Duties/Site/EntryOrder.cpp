#include "Duties/Site/EntryOrder.h"

#include <algorithm>
#include <tuple>

namespace lavender::site {

std::vector<std::string>
OrderEntries(std::vector<listed_entry> aEntries)
{
  std::sort(aEntries.begin(),
            aEntries.end(),
            [](const auto& aLeft, const auto& aRight) {
              return std::tuple(-aLeft.mProcessorShare, aLeft.mName) <
                     std::tuple(-aRight.mProcessorShare, aRight.mName);
            });
  std::vector<std::string> names;
  for (auto& entry : aEntries) {
    names.push_back(std::move(entry.mName));
  }
  return names;
}

} // namespace lavender::site
