#include "Libraries/ObjectStore/ObjectStore.h"

namespace lavender::objects {

const char*
ToString(store_outcome aOutcome)
{
  switch (aOutcome) {
    case store_outcome::Done:
      return "done";
    case store_outcome::Conflict:
      return "conflict";
    case store_outcome::NotFound:
      return "not_found";
    case store_outcome::Refused:
      return "refused";
    case store_outcome::TooLarge:
      return "too_large";
    case store_outcome::HistoryGone:
      return "history_gone";
    case store_outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

const char*
ToString(listing_fault aFault)
{
  switch (aFault) {
    case listing_fault::NoName:
      return "a page that isn't the last one names no object";
    case listing_fault::NotForward:
      return "a page ends at a name that an earlier one had";
  }
  return "unknown";
}

} // namespace lavender::objects
