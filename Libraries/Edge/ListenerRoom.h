#pragma once

namespace lavender::edge {

struct listener_state;
class server_connection;

/** Whether what the connection holds has room. */
bool
HasRoomForMemory(const listener_state& aState, const server_connection& aFor);

/** Ends connections until what aFor holds has room. aFor may be among them. */
void
MakeRoomForMemory(listener_state& aState, const server_connection& aFor);

/** Gives memory back to the system once most of what was held is freed. */
void
ReturnMemory(listener_state& aState);

/** Ends a connection if there are as many as allowed.
 * @return whether a new connection has room */
bool
MakeRoomForConnection(listener_state& aState);

} // namespace lavender::edge
