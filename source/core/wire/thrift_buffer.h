#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "core/common/error.h"

namespace jacinth::wire {

/// Version written into the top-level structs that have a version field.
/// Decoders reject any other version.
inline constexpr std::int32_t kWireVersion = 1;

/// The compact protocol without virtual calls to the transport.
using MemoryProtocol = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;

/// Serializes a generated struct with the compact protocol.
template <typename Generated>
std::string Serialize(const Generated& value) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  MemoryProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// Parses a generated struct. Returns kCorruptData if the bytes are malformed.
template <typename Generated>
Result<Generated> Deserialize(std::string_view bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  // With OBSERVE, the buffer only reads the bytes, but its constructor does not
  // accept a pointer to const.
  auto* data = const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(bytes.data()));
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    MemoryProtocol protocol(buffer);
    Generated value;
    value.read(&protocol);
    return value;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kCorruptData, error.what());
  }
}

/// Converts a number from the wire to an enumerator. Returns kCorruptData if
/// the number is negative or greater than `last`, the last enumerator.
template <typename Enum>
Result<Enum> ToEnum(std::int32_t number, Enum last) {
  if (number < 0 || number > static_cast<std::int32_t>(last))
    return Fail(ErrorKind::kCorruptData,
                "an enumeration value is out of range");
  return static_cast<Enum>(number);
}

}  // namespace jacinth::wire
