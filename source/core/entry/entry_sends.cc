#include "core/entry/entry_node.h"

namespace jacinth::entry {

bool EntryNode::MaySend(RequestTicket ticket) const {
  return requests_.count(ticket) != 0;
}

}  // namespace jacinth::entry
