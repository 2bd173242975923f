#pragma once

namespace lavender::site {

/** Kind of the objects in which entries publish their address and availability
 * zone for other entries and agents. An object has the name of its entry. */
constexpr char kEntryKind[] = "entries";

} // namespace lavender::site
