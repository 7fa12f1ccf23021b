#include "core/settings/tree.h"

#include <set>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::settings {
namespace {

void AppendValues(const Tree::Values& values, std::string& text) {
  for (const auto& [key, value] : values)
    text.append(key).append(" = ").append(value).append("\n");
}

void AppendBranch(const std::string& branch,
                  const Tree::Values& values,
                  bool is_first,
                  std::string& text) {
  if (!branch.empty())
    text.append(is_first ? "[" : "\n[").append(branch).append("]\n");
  AppendValues(values, text);
}

}  // namespace

void Tree::Set(std::string_view branch, std::string key, std::string value) {
  branches_[std::string(branch)][std::move(key)] = std::move(value);
}

Tree::Values Tree::Replace(std::string_view branch, Values values) {
  if (values.empty()) {
    const auto removed = branches_.extract(std::string(branch));
    return removed.empty() ? Values() : std::move(removed.mapped());
  }
  return std::exchange(branches_[std::string(branch)], std::move(values));
}

const Tree::Values* Tree::Find(std::string_view branch) const {
  const auto found = branches_.find(std::string(branch));
  return found == branches_.end() ? nullptr : &found->second;
}

bool Tree::Contains(std::string_view branch) const {
  return Find(branch) != nullptr || !ChildNames(branch).empty();
}

std::optional<EffectiveValue> Tree::FindEffectiveValue(
    std::string_view branch,
    std::string_view key) const {
  std::optional<std::string_view> current = branch;
  for (; current; current = ParentBranch(*current)) {
    const Values* values = Find(*current);
    if (values == nullptr)
      continue;
    const auto found = values->find(std::string(key));
    if (found != values->end())
      return EffectiveValue{found->second, std::string(*current)};
  }
  return std::nullopt;
}

std::vector<std::string> Tree::ChildNames(std::string_view branch) const {
  std::string prefix(branch);
  if (!prefix.empty())
    prefix += '/';
  // Descendants of a child may follow other children: "a-b" sorts before "a/c".
  std::set<std::string> names;
  for (auto it = branches_.lower_bound(prefix); it != branches_.end(); ++it) {
    const std::string& path = it->first;
    if (path.compare(0, prefix.size(), prefix) != 0)
      break;
    const std::string suffix = path.substr(prefix.size());
    std::string name = suffix.substr(0, suffix.find('/'));
    if (!name.empty())
      names.insert(std::move(name));
  }
  return {names.begin(), names.end()};
}

std::string Tree::ToIni() const {
  std::string text;
  for (const auto& [branch, values] : branches_)
    AppendBranch(branch, values, /*is_first=*/text.empty(), text);
  return text;
}

std::uint64_t Tree::Checksum() const {
  Hasher64 hasher;
  std::string text;
  bool is_first = true;
  for (const auto& [branch, values] : branches_) {
    text.clear();
    AppendBranch(branch, values, is_first, text);
    hasher.Add(text);
    is_first = false;
  }
  return hasher.Value();
}

std::optional<std::string_view> ParentBranch(std::string_view branch) {
  if (branch.empty())
    return std::nullopt;
  const std::size_t slash = branch.rfind('/');
  return slash == std::string_view::npos ? std::string_view()
                                         : branch.substr(0, slash);
}

std::string ValuesToIni(const Tree::Values& values) {
  std::string text;
  AppendValues(values, text);
  return text;
}

}  // namespace jacinth::settings
