#pragma once

#include <memory>
#include <optional>
#include <string>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

/** Serialises Thrift messages to bytes, for files. */
namespace lavender::wire {

template<typename Message>
std::string
Encode(const Message& aMessage)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

/** Returns none when the bytes can't be parsed as a message of the type. */
template<typename Message>
std::optional<Message>
Decode(const std::string& aBytes)
{
  try {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(aBytes.data()),
                  static_cast<std::uint32_t>(aBytes.size()));
    apache::thrift::protocol::TBinaryProtocol protocol(buffer);
    Message message;
    message.read(&protocol);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace lavender::wire
