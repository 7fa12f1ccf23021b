#include "core/common/json_lists.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

#include "core/common/json_value_reader.h"

namespace jacinth {
namespace {

/// Cost of an unreadable part beside its bytes: more than the name of a list,
/// which an entry may seem to hold, and less than a sound entry.
constexpr std::size_t kPartCost = 64;
/// Limit on arrays and objects that are open in a value of a text that has
/// unreadable entries. Each bracket may begin a value there, and without a
/// limit the time to read all of them would be quadratic.
constexpr std::size_t kMaxDepth = 16;
constexpr std::size_t kAnyDepth = std::numeric_limits<std::size_t>::max();

bool HasCharAt(std::string_view text, std::size_t position, char c) {
  return position < text.size() && text[position] == c;
}

/// The name of a member, and the position of its value.
struct MemberStart {
  std::string_view name;
  std::size_t value = 0;
};

std::optional<MemberStart> ReadMemberStart(std::string_view text,
                                           std::size_t position) {
  const std::size_t start = SkipJsonWhitespace(text, position);
  const auto end = EndOfJsonString(text, start);
  if (!end)
    return std::nullopt;
  const std::size_t colon = SkipJsonWhitespace(text, *end);
  if (!HasCharAt(text, colon, ':'))
    return std::nullopt;
  return MemberStart{text.substr(start, *end - start),
                     SkipJsonWhitespace(text, colon + 1)};
}

// Reads a member whose value is JSON. Returns the position after it.
std::optional<std::size_t> ReadMember(std::string_view text,
                                      std::size_t position,
                                      std::size_t max_depth,
                                      std::vector<JsonMemberText>& members) {
  const auto start = ReadMemberStart(text, position);
  if (!start)
    return std::nullopt;
  const auto end = EndOfJsonValue(text, start->value, max_depth);
  if (!end)
    return std::nullopt;
  members.push_back(
      {start->name, text.substr(start->value, *end - start->value)});
  return SkipJsonWhitespace(text, *end);
}

// Reads the members after one that ends at `position`, to the end of the text.
bool ReadLastMembers(std::string_view text,
                     std::size_t position,
                     std::size_t max_depth,
                     std::vector<JsonMemberText>& members) {
  position = SkipJsonWhitespace(text, position);
  while (HasCharAt(text, position, ',')) {
    const auto end = ReadMember(text, position + 1, max_depth, members);
    if (!end)
      return false;
    position = *end;
  }
  return HasCharAt(text, position, '}') &&
         SkipJsonWhitespace(text, position + 1) == text.size();
}

/// Finds the way to split the lists of a text that leaves the fewest bytes
/// unread.
///
/// The places between entries are the nodes of a graph, and readable and
/// unreadable entries its edges. All edges lead forward, so that the nodes are
/// visited once, in the order of their positions.
class ListSplitter {
 public:
  /// `repairs` is true if entries may be unreadable.
  ListSplitter(std::string_view text, bool repairs)
      : text_(text),
        repairs_(repairs),
        max_depth_(repairs ? kMaxDepth : kAnyDepth) {}

  /// Splits the object of lists whose first member begins at `start`.
  std::optional<JsonListsText> Split(std::size_t start);

 private:
  enum class Place { kEntry, kAfterEntry, kAfterList };

  struct Node {
    Place place = Place::kEntry;
    std::size_t position = 0;
    /// Number of bytes unread so far, and `kPartCost` for each unread part.
    std::size_t cost = 0;
    /// Index of the node before; that of the first node is its own.
    std::size_t before = 0;
    /// False if the edge from the node before is an unreadable entry.
    bool is_readable = true;
    /// Name of the list that begins here; empty if none does.
    std::string_view list_name;
  };

  std::size_t NextPosition(std::size_t position) const;
  void VisitAll(std::size_t position);
  std::optional<std::size_t> TakeOpen(std::size_t position, Place place);
  void VisitEntry(std::size_t index);
  void VisitAfterEntry(std::size_t index);
  void VisitAfterList(std::size_t index);
  void ReadListStart(std::size_t position, std::size_t before);
  void BeginUnreadable(std::size_t index);
  void EndUnreadable(std::size_t position);
  void Propose(Node node);
  std::vector<JsonListText> CollectLists() const;

  std::string_view text_;
  bool repairs_;
  std::size_t max_depth_;
  std::vector<Node> nodes_;
  /// Nodes to visit; at each place the one of the lowest cost.
  std::map<std::pair<std::size_t, Place>, std::size_t> open_;
  /// Node at which the unreadable entry of the lowest cost begins.
  std::optional<std::size_t> unreadable_;
  std::optional<std::size_t> last_;
  std::vector<JsonMemberText> last_members_;
};

std::optional<JsonListsText> ListSplitter::Split(std::size_t start) {
  nodes_.push_back({Place::kAfterList, start});
  if (HasCharAt(text_, start, '}'))
    VisitAfterList(0);
  else
    ReadListStart(start, 0);
  for (std::size_t position = NextPosition(start); position < text_.size();
       position = NextPosition(position + 1))
    VisitAll(position);
  if (!last_)
    return std::nullopt;
  return JsonListsText{CollectLists(), std::move(last_members_)};
}

// Returns the next position at or after `position` that has a node, or at which
// an unreadable entry may end.
std::size_t ListSplitter::NextPosition(std::size_t position) const {
  const std::size_t node =
      open_.empty() ? text_.size() : open_.begin()->first.first;
  const std::size_t separator =
      unreadable_ ? text_.find_first_of(",]", position) : text_.size();
  return std::min(node, separator);
}

void ListSplitter::VisitAll(std::size_t position) {
  if (const auto node = TakeOpen(position, Place::kEntry))
    VisitEntry(*node);
  if (unreadable_ && (text_[position] == ',' || text_[position] == ']'))
    EndUnreadable(position);
  if (const auto node = TakeOpen(position, Place::kAfterEntry))
    VisitAfterEntry(*node);
  if (const auto node = TakeOpen(position, Place::kAfterList))
    VisitAfterList(*node);
}

std::optional<std::size_t> ListSplitter::TakeOpen(std::size_t position,
                                                  Place place) {
  const auto found = open_.find({position, place});
  if (found == open_.end())
    return std::nullopt;
  const std::size_t index = found->second;
  open_.erase(found);
  return index;
}

void ListSplitter::VisitEntry(std::size_t index) {
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

void ListSplitter::VisitAfterEntry(std::size_t index) {
  const Node node = nodes_[index];
  if (text_[node.position] == ',')
    Propose({Place::kEntry, node.position + 1, node.cost, index});
  else if (text_[node.position] == ']')
    Propose({Place::kAfterList, node.position + 1, node.cost, index});
}

void ListSplitter::VisitAfterList(std::size_t index) {
  const Node node = nodes_[index];
  if (HasCharAt(text_, node.position, ',')) {
    ReadListStart(node.position + 1, index);
    return;
  }
  const bool is_better = !last_ || node.cost < nodes_[*last_].cost;
  if (!is_better || !HasCharAt(text_, node.position, '}'))
    return;
  std::vector<JsonMemberText> members;
  if (!ReadLastMembers(text_, node.position + 1, max_depth_, members))
    return;
  last_ = index;
  last_members_ = std::move(members);
}

void ListSplitter::ReadListStart(std::size_t position, std::size_t before) {
  const std::size_t cost = nodes_[before].cost;
  const auto start = ReadMemberStart(text_, position);
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

void ListSplitter::BeginUnreadable(std::size_t index) {
  // The bytes from the other beginning to this one would be unread as well.
  const Node& node = nodes_[index];
  const bool is_better =
      !unreadable_ || node.cost <= nodes_[*unreadable_].cost + node.position -
                                       nodes_[*unreadable_].position;
  if (is_better)
    unreadable_ = index;
}

void ListSplitter::EndUnreadable(std::size_t position) {
  const Node& node = nodes_[*unreadable_];
  const std::size_t cost = node.cost + position - node.position + kPartCost;
  Propose({Place::kAfterEntry, position, cost, *unreadable_,
           /*is_readable=*/false});
}

void ListSplitter::Propose(Node node) {
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

std::vector<JsonListText> ListSplitter::CollectLists() const {
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

// Joins unreadable entries that one JSON text leads through, with those between
// them: they are parts of one entry, which is unreadable behind them.
void JoinParts(JsonListText& list) {
  std::vector<JsonEntryText>& entries = list.entries;
  for (std::size_t first = 0; first < entries.size(); ++first) {
    if (entries[first].is_readable || !HasCharAt(entries[first].text, 0, '{'))
      continue;
    const char* const begin = entries[first].text.data();
    const std::string_view last_text = entries.back().text;
    const auto size =
        static_cast<std::size_t>(last_text.data() + last_text.size() - begin);
    JsonValueReader reader(std::string_view(begin, size), 0);
    std::size_t last = first;
    std::size_t current = first;
    while (reader.ReadToken() && reader.depth() <= kMaxDepth) {
      const char* const position = begin + reader.position();
      while (current + 1 < entries.size() &&
             position > entries[current + 1].text.data())
        ++current;
      if (reader.depth() == 1 && !entries[current].is_readable)
        last = current;
    }
    if (last == first)
      continue;
    const std::string_view text = entries[last].text;
    entries[first].text = std::string_view(
        begin, static_cast<std::size_t>(text.data() + text.size() - begin));
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(first) + 1,
                  entries.begin() + static_cast<std::ptrdiff_t>(last) + 1);
  }
}

}  // namespace

std::optional<JsonListsText> SplitJsonLists(std::string_view text,
                                            std::string_view member) {
  std::vector<JsonMemberText> members;
  std::size_t position = SkipJsonWhitespace(text, 0);
  if (!HasCharAt(text, position, '{'))
    return std::nullopt;
  auto start = ReadMemberStart(text, position + 1);
  while (start && start->name != member) {
    const auto end = ReadMember(text, position + 1, kAnyDepth, members);
    if (!end || !HasCharAt(text, *end, ','))
      return std::nullopt;
    position = *end;
    start = ReadMemberStart(text, position + 1);
  }
  if (!start || !HasCharAt(text, start->value, '{'))
    return std::nullopt;
  const std::size_t first = SkipJsonWhitespace(text, start->value + 1);
  auto lists = ListSplitter(text, /*repairs=*/false).Split(first);
  if (!lists) {
    lists = ListSplitter(text, /*repairs=*/true).Split(first);
    if (!lists)
      return std::nullopt;
    std::for_each(lists->lists.begin(), lists->lists.end(), JoinParts);
  }
  lists->members.insert(lists->members.begin(), members.begin(), members.end());
  return lists;
}

}  // namespace jacinth
