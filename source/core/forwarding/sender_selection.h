#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace jacinth::forwarding {

/// Selects some of the entries to send requests to an endpoint, by a hash of
/// their names, so that all entries agree without coordination.
class SenderSelection {
 public:
  /// `entries` are the live entry instances, including `self`.
  SenderSelection(std::string self, std::vector<std::string> entries);
  SenderSelection();

  /// Returns the selection of an entry that doesn't know the others. Each entry
  /// is selected with such a probability that of `max_entries` entries those
  /// that are allowed can be expected to send, and of fewer entries fewer.
  static SenderSelection OfUnknownFleet(std::string self,
                                        std::size_t max_entries);

  /// Returns true if this entry is one of at most `max_senders` that may send
  /// to the endpoint.
  bool IsSelected(const std::string& endpoint, std::size_t max_senders) const;

  std::size_t entry_count() const { return entries_->size(); }

  /// Returns true for the selection of an entry that doesn't know the others.
  bool IsOfUnknownFleet() const { return assumed_entries_ != 0; }

  bool operator==(const SenderSelection& other) const;

 private:
  std::string self_;
  /// Shared by the copies of the selection.
  std::shared_ptr<const std::vector<std::string>> entries_;
  /// Assumed number of entries if they are unknown, or 0.
  std::size_t assumed_entries_ = 0;
};

}  // namespace jacinth::forwarding
