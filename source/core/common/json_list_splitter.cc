#include "core/common/json_list_splitter.h"

#include <algorithm>

#include "core/common/json_value_reader.h"

namespace jacinth {
namespace {

/// Cost of an unreadable part beside its bytes: more than the name of a list,
/// which an entry may seem to hold, and less than a sound entry.
constexpr std::size_t kPartCost = 64;
/// Limit on the nodes of a page, which bounds the memory that reading it takes.
/// Only pages that are mostly brackets or commas have more.
constexpr std::size_t kMaxNodes = 1UL << 18U;

}  // namespace

std::optional<JsonListsText> JsonListSplitter::Split(std::size_t start) {
  nodes_.push_back({Place::kAfterList, start});
  if (HasCharAt(text_, start, '}'))
    VisitAfterList(0);
  else
    ReadListStart(start, 0);
  for (std::size_t position = NextPosition(start); position < text_.size();
       position = NextPosition(position + 1)) {
    VisitAll(position);
    if (nodes_.size() > kMaxNodes)
      return std::nullopt;
  }
  if (!last_)
    return std::nullopt;
  return JsonListsText{CollectLists(), std::move(last_members_)};
}

// Returns the next position at or after `position` that has a node, or at which
// an unreadable entry may end.
std::size_t JsonListSplitter::NextPosition(std::size_t position) const {
  const std::size_t node =
      open_.empty() ? text_.size() : open_.begin()->first.first;
  const std::size_t separator =
      unreadable_ ? text_.find_first_of(",]", position) : text_.size();
  return std::min(node, separator);
}

void JsonListSplitter::VisitAll(std::size_t position) {
  if (const auto node = TakeOpen(position, Place::kEntry))
    VisitEntry(*node);
  if (unreadable_ && (text_[position] == ',' || text_[position] == ']'))
    EndUnreadable(position);
  if (const auto node = TakeOpen(position, Place::kAfterEntry))
    VisitAfterEntry(*node);
  if (const auto node = TakeOpen(position, Place::kAfterList))
    VisitAfterList(*node);
}

std::optional<std::size_t> JsonListSplitter::TakeOpen(std::size_t position,
                                                      Place place) {
  const auto found = open_.find({position, place});
  if (found == open_.end())
    return std::nullopt;
  const std::size_t index = found->second;
  open_.erase(found);
  return index;
}

void JsonListSplitter::VisitEntry(std::size_t index) {
  const Node node = nodes_[index];
  const bool ends_list =
      !node.list_name.empty() && HasCharAt(text_, node.position, ']');
  if (ends_list)
    Propose({Place::kAfterEntry, node.position, node.cost, index});
  // Among unreadable bytes, a single value such as a string tells little.
  const bool may_read = !repairs_ || HasCharAt(text_, node.position, '{');
  if (may_read) {
    const auto end = EndOfJsonValue(text_, node.position, max_depth_);
    if (end)
      Propose({Place::kAfterEntry, *end, node.cost, index});
  }
  if (repairs_)
    BeginUnreadable(index);
}

void JsonListSplitter::VisitAfterEntry(std::size_t index) {
  const Node node = nodes_[index];
  if (text_[node.position] == ',')
    Propose({Place::kEntry, node.position + 1, node.cost, index});
  else if (text_[node.position] == ']')
    Propose({Place::kAfterList, node.position + 1, node.cost, index});
}

void JsonListSplitter::VisitAfterList(std::size_t index) {
  const Node node = nodes_[index];
  if (HasCharAt(text_, node.position, ',')) {
    ReadListStart(node.position + 1, index);
    return;
  }
  const bool is_better = !last_ || node.cost < nodes_[*last_].cost;
  if (!is_better || !HasCharAt(text_, node.position, '}'))
    return;
  std::vector<JsonMemberText> members;
  if (!ReadLastJsonMembers(text_, node.position + 1, max_depth_, members))
    return;
  last_ = index;
  last_members_ = std::move(members);
}

void JsonListSplitter::ReadListStart(std::size_t position, std::size_t before) {
  const std::size_t cost = nodes_[before].cost;
  const auto start = ReadJsonMemberStart(text_, position);
  if (!start)
    return;
  if (HasCharAt(text_, start->value, '[')) {
    Propose({Place::kEntry, start->value + 1, cost, before, true, start->name});
    return;
  }
  if (const auto end = EndOfJsonValue(text_, start->value, max_depth_)) {
    Propose(
        {Place::kAfterList, *end, cost + *end - position + kPartCost, before});
  }
}

void JsonListSplitter::BeginUnreadable(std::size_t index) {
  // The bytes from the other beginning to this one would be unread as well.
  const Node& node = nodes_[index];
  const bool is_better =
      !unreadable_ || node.cost <= nodes_[*unreadable_].cost + node.position -
                                       nodes_[*unreadable_].position;
  if (is_better)
    unreadable_ = index;
}

void JsonListSplitter::EndUnreadable(std::size_t position) {
  const Node& node = nodes_[*unreadable_];
  const std::size_t cost = node.cost + position - node.position + kPartCost;
  Propose({Place::kAfterEntry, position, cost, *unreadable_,
           /*is_readable=*/false});
}

void JsonListSplitter::Propose(Node node) {
  node.position = SkipJsonWhitespace(text_, node.position);
  const auto [found, is_new] =
      open_.try_emplace({node.position, node.place}, nodes_.size());
  if (!is_new) {
    if (nodes_[found->second].cost <= node.cost)
      return;
    found->second = nodes_.size();
  }
  nodes_.push_back(node);
}

std::vector<JsonListText> JsonListSplitter::CollectLists() const {
  std::vector<std::size_t> path;
  for (std::size_t index = *last_; index != 0; index = nodes_[index].before)
    path.push_back(index);
  std::reverse(path.begin(), path.end());
  std::vector<JsonListText> lists;
  for (const std::size_t index : path) {
    const Node& node = nodes_[index];
    if (!node.list_name.empty())
      lists.push_back({node.list_name, {}});
    const Node& before = nodes_[node.before];
    const bool is_entry =
        node.place == Place::kAfterEntry &&
        (node.position != before.position || !node.is_readable);
    if (!is_entry)
      continue;
    const std::string_view text =
        text_.substr(before.position, node.position - before.position);
    lists.back().entries.push_back({text, node.is_readable});
  }
  return lists;
}

}  // namespace jacinth
