#include "core/wire/command_codec.h"

#include <utility>

#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
namespace {

struct CommandWriter {
  generated::Command& out;

  void operator()(const protocol::ChangeSettings& body) const {
    // The setter would copy the branches.
    out.change = ToWire(body);
    out.__isset.change = true;
  }
  void operator()(const protocol::ClaimRequest& body) const {
    out.__set_claim(ToWire(body));
  }
  void operator()(const protocol::FinishRequest& body) const {
    out.__set_finish(ToWire(body));
  }
  void operator()(const protocol::RecordOwners& body) const {
    std::vector<generated::SliceOwner> owners;
    for (const protocol::SliceOwner& owner : body.owners)
      owners.push_back(ToWire(owner));
    out.__set_owners(owners);
  }
  void operator()(const protocol::RecordSuspects& body) const {
    std::vector<generated::SuspectRequest> suspects;
    for (const protocol::SuspectRequest& request : body.requests)
      suspects.push_back(ToWire(request));
    out.__set_suspects(suspects);
    // A replica of a build without suspects stops at a command without a body
    // that it knows. It takes this one for a record of no owners.
    out.__set_owners({});
  }
};

}  // namespace

std::string EncodeCommand(const protocol::Command& command) {
  generated::Command out;
  out.version = kWireVersion;
  out.wall_ms = command.wall_ms;
  out.proposal = static_cast<std::int64_t>(command.proposal);
  std::visit(CommandWriter{out}, command.body);
  return Serialize(out);
}

Result<protocol::Command> DecodeCommand(std::string_view bytes) {
  auto in = Deserialize<generated::Command>(bytes);
  if (!in)
    return tl::unexpected(in.error());
  if (in->version != kWireVersion)
    return Fail(ErrorKind::kCorruptData,
                "the version of the command is not supported");
  protocol::Command out;
  out.wall_ms = in->wall_ms;
  out.proposal = static_cast<std::uint64_t>(in->proposal);
  if (in->__isset.change) {
    out.body = FromWire(std::move(in->change));
    return out;
  }
  if (in->__isset.claim) {
    out.body = FromWire(in->claim);
    return out;
  }
  if (in->__isset.suspects) {
    protocol::RecordSuspects body;
    for (const generated::SuspectRequest& request : in->suspects)
      body.requests.push_back(FromWire(request));
    out.body = std::move(body);
    return out;
  }
  if (in->__isset.owners) {
    protocol::RecordOwners body;
    for (const generated::SliceOwner& owner : in->owners)
      body.owners.push_back(FromWire(owner));
    out.body = std::move(body);
    return out;
  }
  if (!in->__isset.finish)
    return Fail(ErrorKind::kCorruptData,
                "the command has no body of a known type");
  auto finish = FromWire(in->finish);
  if (!finish)
    return tl::unexpected(finish.error());
  out.body = std::move(*finish);
  return out;
}

}  // namespace jacinth::wire
