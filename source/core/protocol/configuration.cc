#include "core/protocol/configuration.h"

#include <algorithm>

namespace jacinth::protocol {
namespace {

bool Contains(const std::vector<std::string>& ids, std::string_view id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

bool Configuration::IsVoter(std::string_view id) const {
  return Contains(voters, id);
}

bool Configuration::IsLearner(std::string_view id) const {
  return Contains(learners, id);
}

bool Configuration::IsMember(std::string_view id) const {
  return IsVoter(id) || IsLearner(id);
}

std::size_t Configuration::QuorumSize() const {
  return voters.size() / 2 + 1;
}

std::string_view InstanceFromReplicaId(std::string_view replica_id) {
  return replica_id.substr(0, replica_id.find('#'));
}

std::string MakeReplicaId(std::string_view instance,
                          std::string_view incarnation) {
  std::string id(instance);
  id += '#';
  id += incarnation;
  return id;
}

}  // namespace jacinth::protocol
