#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {

generated::SliceOwner ToWire(const protocol::SliceOwner& owner) {
  generated::SliceOwner out;
  out.service_name = owner.service;
  out.slice = static_cast<std::int32_t>(owner.slice);
  out.endpoint = owner.endpoint;
  return out;
}

protocol::SliceOwner FromWire(const generated::SliceOwner& owner) {
  return {owner.service_name, static_cast<std::uint32_t>(owner.slice),
          owner.endpoint};
}

generated::SliceClaim ToWire(const protocol::SliceClaim& claim) {
  generated::SliceClaim out;
  out.owner = ToWire(claim.owner);
  out.reason = static_cast<std::int32_t>(claim.reason);
  return out;
}

Result<protocol::SliceClaim> FromWire(const generated::SliceClaim& claim) {
  const auto reason =
      ToEnum(claim.reason, protocol::SliceClaimReason::kOwnerOverloaded);
  if (!reason)
    return tl::unexpected(reason.error());
  return protocol::SliceClaim{FromWire(claim.owner), *reason};
}

generated::SliceUse ToWire(const protocol::SliceUse& use) {
  generated::SliceUse out;
  out.service_name = use.service;
  out.slice = static_cast<std::int32_t>(use.slice);
  out.busy_ms = use.busy_ms;
  return out;
}

protocol::SliceUse FromWire(const generated::SliceUse& use) {
  return {use.service_name, static_cast<std::uint32_t>(use.slice), use.busy_ms};
}

generated::SliceUpdate ToWire(const protocol::SliceUpdate& update) {
  generated::SliceUpdate out;
  out.version = static_cast<std::int64_t>(update.version);
  for (const protocol::SliceOwner& owner : update.changed)
    out.changed.push_back(ToWire(owner));
  if (update.base != 0)
    out.__set_base(static_cast<std::int64_t>(update.base));
  if (update.parts)
    out.__set_parts({update.parts->begin(), update.parts->end()});
  return out;
}

protocol::SliceUpdate FromWire(const generated::SliceUpdate& update) {
  protocol::SliceUpdate out;
  out.version = static_cast<std::uint64_t>(update.version);
  for (const generated::SliceOwner& owner : update.changed)
    out.changed.push_back(FromWire(owner));
  out.base = static_cast<std::uint64_t>(update.base);
  if (update.__isset.parts)
    out.parts.emplace(update.parts.begin(), update.parts.end());
  return out;
}

}  // namespace jacinth::wire
