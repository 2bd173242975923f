#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

namespace lavender::objects {

/** @param aIsComplete false if some page couldn't be read */
using listing_done =
  std::function<void(bool aIsComplete, std::vector<stored_object>)>;

/** Lists all objects of a kind, page by page.
 * @param aStore outlives the call */
void
ListAll(const object_store& aStore,
        const std::string& aKind,
        freshness aFreshness,
        listing_done aDone);

} // namespace lavender::objects
