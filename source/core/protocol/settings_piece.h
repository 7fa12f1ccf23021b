#pragma once

#include <cstdint>
#include <string>

namespace jacinth::protocol {

/// How much of a packed settings update an entry has received; the revision is
/// 0 if it receives none.
struct SettingsPosition {
  /// Revision that the update changes; 0 if it holds the whole tree.
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  /// Hash64 of the packed update.
  std::uint64_t checksum = 0;
  /// Bytes received.
  std::uint64_t offset = 0;

  bool operator==(const SettingsPosition&) const = default;
};

/// A part of a packed settings update.
struct SettingsPiece {
  /// Update that the piece belongs to, and where it begins.
  SettingsPosition position;
  /// Size of the packed update in bytes.
  std::uint64_t total_bytes = 0;
  std::string bytes;
  /// ChangeScope of the update, with the first one of several pieces; empty if
  /// the sender doesn't tell it.
  std::string scope;

  bool operator==(const SettingsPiece&) const = default;
};

}  // namespace jacinth::protocol
