#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/json_lists.h"

namespace jacinth {

/// Limit on arrays and objects that are open in a value of a text that has
/// unreadable entries. Each bracket may begin a value there, and without a
/// limit the time to read all of them would be quadratic.
inline constexpr std::size_t kMaxRepairDepth = 16;
inline constexpr std::size_t kAnyJsonDepth =
    std::numeric_limits<std::size_t>::max();

/// Finds the way to split the lists of a text that leaves the fewest bytes
/// unread.
///
/// The places between entries are the nodes of a graph, and readable and
/// unreadable entries its edges. All edges lead forward, so that the nodes are
/// visited once, in the order of their positions.
class JsonListSplitter {
 public:
  /// `repairs` is true if entries may be unreadable.
  JsonListSplitter(std::string_view text, bool repairs)
      : text_(text),
        repairs_(repairs),
        max_depth_(repairs ? kMaxRepairDepth : kAnyJsonDepth) {}

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
    std::string_view list_name = {};
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

}  // namespace jacinth
