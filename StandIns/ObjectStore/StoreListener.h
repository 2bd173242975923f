#pragma once

#include "Libraries/Edge/Listener.h"
#include "StandIns/ObjectStore/MemoryStore.h"

namespace lavender::standin {

/** Serves the simulated object store over HTTP, on the platform's paths. */
class store_listener
{
public:
  store_listener(boost::asio::io_context& aLoop, memory_store_state& aState);

  unsigned short Open();

private:
  void Serve(const edge::exchange_ptr& aExchange);

  const memory_store_state& mState;
  objects::object_store mStore;
  edge::listener mListener;
};

} // namespace lavender::standin
