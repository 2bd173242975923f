#pragma once

#include <string>
#include <vector>

namespace lavender::tests {

/** Names that another writer may give an object: characters that have a meaning
 * in a URL, in JSON, in a head or in a log. None is a dot segment. */
std::vector<std::string>
OddNames();

} // namespace lavender::tests
