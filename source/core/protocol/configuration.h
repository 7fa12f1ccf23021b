#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jacinth::protocol {

/// The members of the control group.
///
/// A replica id is `<instance>#<incarnation>`. The incarnation is generated at
/// random when the data folder is created, so a replica that lost its disk
/// returns under a new id and never counts as the voter that it was before.
struct Configuration {
  std::vector<std::string> voters;
  /// Replicas that receive the log, but do not vote or count towards a quorum.
  std::vector<std::string> learners;

  bool operator==(const Configuration&) const = default;

  bool IsVoter(std::string_view id) const;
  bool IsLearner(std::string_view id) const;
  bool IsMember(std::string_view id) const;
  /// Returns the number of voters that form a quorum.
  std::size_t QuorumSize() const;
};

/// Returns the instance part of a replica id.
std::string_view InstanceFromReplicaId(std::string_view replica_id);

/// Builds a replica id.
std::string MakeReplicaId(std::string_view instance,
                          std::string_view incarnation);

}  // namespace jacinth::protocol
