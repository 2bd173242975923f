#pragma once

namespace lavender::site {

/** Kind of the objects in which entries tell each other, and the agents, their
 * address and availability zone; named like the entry. */
constexpr char kEntryKind[] = "entries";

} // namespace lavender::site
