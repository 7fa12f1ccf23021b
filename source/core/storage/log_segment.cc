#include "core/storage/log_segment.h"

#include <array>
#include <cstring>
#include <optional>
#include <utility>

#include "core/common/hash.h"

namespace jacinth::storage {
namespace {

constexpr std::string_view kSegmentMagic = "JRSEG001";
constexpr std::string_view kRecordMagic = "JREC";
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kRecordHeaderSize =
    kRecordMagic.size() + kLengthSize + kChecksumSize;

std::string EncodeNumber(std::uint64_t value, std::size_t size) {
  std::string bytes(size, '\0');
  std::memcpy(bytes.data(), &value, size);
  return bytes;
}

std::uint64_t DecodeNumber(std::string_view bytes, std::size_t size) {
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), size);
  return value;
}

std::string MakeSegmentHeader(std::uint64_t number) {
  return std::string(kSegmentMagic) + EncodeNumber(number, sizeof(number));
}

// Includes the segment number and the offset, so that a stale record of another
// segment or position fails the check.
std::uint64_t ComputeChecksum(std::uint64_t number,
                              std::uint64_t offset,
                              std::string_view payload) {
  return Hash64(payload, Hash64(EncodeNumber(offset, sizeof(offset)), number));
}

// Returns the payload of the record at `offset`; nullopt if there is no valid
// record.
std::optional<std::string_view> ReadRecordAt(std::string_view bytes,
                                             std::uint64_t number,
                                             std::uint64_t offset) {
  if (offset + kRecordHeaderSize > bytes.size())
    return std::nullopt;
  std::string_view remaining = bytes.substr(offset);
  if (remaining.substr(0, kRecordMagic.size()) != kRecordMagic)
    return std::nullopt;
  remaining.remove_prefix(kRecordMagic.size());
  const std::uint64_t length = DecodeNumber(remaining, kLengthSize);
  remaining.remove_prefix(kLengthSize);
  const std::uint64_t checksum = DecodeNumber(remaining, kChecksumSize);
  remaining.remove_prefix(kChecksumSize);
  if (length > remaining.size())
    return std::nullopt;
  const std::string_view payload = remaining.substr(0, length);
  if (ComputeChecksum(number, offset, payload) != checksum)
    return std::nullopt;
  return payload;
}

// Returns true if a valid record starts at or after `offset`.
bool HasValidRecordFrom(std::string_view bytes,
                        std::uint64_t number,
                        std::uint64_t offset) {
  std::size_t position = bytes.find(kRecordMagic, offset);
  for (; position != std::string_view::npos;
       position = bytes.find(kRecordMagic, position + 1)) {
    if (ReadRecordAt(bytes, number, position))
      return true;
  }
  return false;
}

Error MakeCorruptionError(const std::filesystem::path& path,
                          std::uint64_t offset,
                          std::string_view reason) {
  return {ErrorKind::kCorruptData, path.string() + " at byte " +
                                       std::to_string(offset) + ": " +
                                       std::string(reason)};
}

}  // namespace

std::string LogSegment::FileName(std::uint64_t number) {
  constexpr std::size_t kDigits = 20;
  std::string digits = std::to_string(number);
  digits.insert(0, kDigits - digits.size(), '0');
  return "segment-" + digits + ".log";
}

Result<LogSegment> LogSegment::Create(const std::filesystem::path& folder,
                                      std::uint64_t number) {
  const std::filesystem::path path = folder / FileName(number);
  const std::string header = MakeSegmentHeader(number);
  if (auto created = ReplaceFile(path, header); !created)
    return tl::unexpected(created.error());
  return Reopen(folder, number, header.size());
}

Result<SegmentContents> LogSegment::Read(const std::filesystem::path& path,
                                         std::uint64_t number,
                                         bool is_last) {
  const auto bytes = ReadFile(path);
  if (!bytes)
    return tl::unexpected(bytes.error());
  const std::string header = MakeSegmentHeader(number);
  if (bytes->substr(0, header.size()) != header)
    return tl::unexpected(
        MakeCorruptionError(path, 0, "invalid segment header"));
  SegmentContents contents;
  std::uint64_t offset = header.size();
  while (auto payload = ReadRecordAt(*bytes, number, offset)) {
    contents.records.emplace_back(*payload);
    offset += kRecordHeaderSize + payload->size();
  }
  contents.valid_size = offset;
  contents.torn_bytes = bytes->size() - offset;
  if (contents.torn_bytes == 0)
    return contents;
  if (!is_last)
    return tl::unexpected(MakeCorruptionError(path, offset, "corrupt record"));
  if (HasValidRecordFrom(*bytes, number, offset + 1)) {
    return tl::unexpected(MakeCorruptionError(
        path, offset, "corrupt record followed by valid records"));
  }
  return contents;
}

Result<LogSegment> LogSegment::Reopen(const std::filesystem::path& folder,
                                      std::uint64_t number,
                                      std::uint64_t valid_size) {
  auto file = File::Open(folder / FileName(number), File::Mode::kAppend);
  if (!file)
    return tl::unexpected(file.error());
  if (auto truncated = file->Truncate(valid_size); !truncated)
    return tl::unexpected(truncated.error());
  if (auto synced = file->Sync(); !synced)
    return tl::unexpected(synced.error());
  return LogSegment(std::move(*file), number, valid_size);
}

LogSegment::LogSegment(File file, std::uint64_t number, std::uint64_t size)
    : file_(std::move(file)), number_(number), size_(size) {}

Result<void> LogSegment::Append(std::string_view record) {
  std::string bytes(kRecordMagic);
  bytes += EncodeNumber(record.size(), kLengthSize);
  bytes += EncodeNumber(ComputeChecksum(number_, size_, record), kChecksumSize);
  bytes += record;
  if (auto written = file_.Write(bytes); !written)
    return written;
  if (auto synced = file_.Sync(); !synced)
    return synced;
  size_ += bytes.size();
  return {};
}

}  // namespace jacinth::storage
