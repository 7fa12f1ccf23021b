#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinth::settings {

/// A value and the branch that sets it.
struct EffectiveValue {
  std::string value;
  std::string source;

  bool operator==(const EffectiveValue&) const = default;
};

/// The settings that operators manage, organized in branches. A branch is
/// identified by a path such as `service/bookings/region/west`; the path of the
/// root is empty.
///
/// A branch inherits a key that it does not set from the nearest ancestor that
/// sets it.
class Tree {
 public:
  using Values = std::map<std::string, std::string>;

  bool operator==(const Tree&) const = default;

  /// Sets one value.
  void Set(std::string_view branch, std::string key, std::string value);

  /// Replaces the values that a branch sets itself, and returns those that it
  /// set before. An empty map removes the branch.
  Values Replace(std::string_view branch, Values values);

  /// Returns the values that the branch sets itself, or nullptr.
  const Values* Find(std::string_view branch) const;

  /// Returns true if the branch sets values or has descendants.
  bool Contains(std::string_view branch) const;

  /// Returns the own or inherited value of `key` in `branch`, or nullopt.
  std::optional<EffectiveValue> FindEffectiveValue(std::string_view branch,
                                                   std::string_view key) const;

  /// Returns the sorted names of the branches directly below `branch` that set
  /// values or have descendants.
  std::vector<std::string> ChildNames(std::string_view branch) const;

  const std::map<std::string, Values>& branches() const { return branches_; }

  /// Returns the canonical INI text, which is the same for equal trees.
  std::string ToIni() const;

  /// Returns Hash64 of ToIni().
  std::uint64_t Checksum() const;

 private:
  std::map<std::string, Values> branches_;
};

/// Returns the path of the parent of `branch`, or nullopt for the root.
std::optional<std::string_view> ParentBranch(std::string_view branch);

/// Returns the INI text of the values of one branch, without the section line.
std::string ValuesToIni(const Tree::Values& values);

}  // namespace jacinth::settings
