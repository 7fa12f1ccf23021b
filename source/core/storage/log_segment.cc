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

std::string Number(std::uint64_t value, std::size_t size) {
  std::string bytes(size, '\0');
  std::memcpy(bytes.data(), &value, size);
  return bytes;
}

std::uint64_t ReadNumber(std::string_view bytes, std::size_t size) {
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), size);
  return value;
}

std::string SegmentHeader(std::uint64_t number) {
  return std::string(kSegmentMagic) + Number(number, sizeof(number));
}

// Includes the segment number and the offset, so that a stale record of another
// segment or position fails the check.
std::uint64_t Checksum(std::uint64_t number,
                       std::uint64_t offset,
                       std::string_view payload) {
  return Hash64(payload, Hash64(Number(offset, sizeof(offset)), number));
}

// Returns the payload of the record at `offset`; nullopt if there is no valid
// record.
std::optional<std::string_view> RecordAt(std::string_view bytes,
                                         std::uint64_t number,
                                         std::uint64_t offset) {
  if (offset + kRecordHeaderSize > bytes.size())
    return std::nullopt;
  std::string_view rest = bytes.substr(offset);
  if (rest.substr(0, kRecordMagic.size()) != kRecordMagic)
    return std::nullopt;
  rest.remove_prefix(kRecordMagic.size());
  const std::uint64_t length = ReadNumber(rest, kLengthSize);
  rest.remove_prefix(kLengthSize);
  const std::uint64_t checksum = ReadNumber(rest, kChecksumSize);
  rest.remove_prefix(kChecksumSize);
  if (length > rest.size())
    return std::nullopt;
  const std::string_view payload = rest.substr(0, length);
  if (Checksum(number, offset, payload) != checksum)
    return std::nullopt;
  return payload;
}

// Returns true if a valid record starts at or after `offset`.
bool WholeRecordFollows(std::string_view bytes,
                        std::uint64_t number,
                        std::uint64_t offset) {
  std::size_t at = bytes.find(kRecordMagic, offset);
  for (; at != std::string_view::npos; at = bytes.find(kRecordMagic, at + 1)) {
    if (RecordAt(bytes, number, at))
      return true;
  }
  return false;
}

Error Damaged(const std::filesystem::path& path,
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
  const std::string header = SegmentHeader(number);
  if (auto made = ReplaceFile(path, header); !made)
    return tl::unexpected(made.error());
  return Reopen(folder, number, header.size());
}

Result<SegmentContents> LogSegment::Read(const std::filesystem::path& path,
                                         std::uint64_t number,
                                         bool is_last) {
  const auto bytes = ReadFile(path);
  if (!bytes)
    return tl::unexpected(bytes.error());
  const std::string header = SegmentHeader(number);
  if (bytes->substr(0, header.size()) != header)
    return tl::unexpected(Damaged(path, 0, "invalid segment header"));
  SegmentContents contents;
  std::uint64_t offset = header.size();
  while (auto payload = RecordAt(*bytes, number, offset)) {
    contents.records.emplace_back(*payload);
    offset += kRecordHeaderSize + payload->size();
  }
  contents.valid_size = offset;
  contents.torn_bytes = bytes->size() - offset;
  if (contents.torn_bytes == 0)
    return contents;
  if (!is_last)
    return tl::unexpected(Damaged(path, offset, "corrupt record"));
  if (WholeRecordFollows(*bytes, number, offset + 1)) {
    return tl::unexpected(
        Damaged(path, offset, "corrupt record followed by valid records"));
  }
  return contents;
}

Result<LogSegment> LogSegment::Reopen(const std::filesystem::path& folder,
                                      std::uint64_t number,
                                      std::uint64_t valid_size) {
  auto file = File::Open(folder / FileName(number), File::Mode::kAppend);
  if (!file)
    return tl::unexpected(file.error());
  if (auto cut = file->Truncate(valid_size); !cut)
    return tl::unexpected(cut.error());
  if (auto synced = file->Sync(); !synced)
    return tl::unexpected(synced.error());
  return LogSegment(std::move(*file), number, valid_size);
}

LogSegment::LogSegment(File file, std::uint64_t number, std::uint64_t size)
    : file_(std::move(file)), number_(number), size_(size) {}

Result<void> LogSegment::Append(std::string_view record) {
  std::string bytes(kRecordMagic);
  bytes += Number(record.size(), kLengthSize);
  bytes += Number(Checksum(number_, size_, record), kChecksumSize);
  bytes += record;
  if (auto written = file_.Write(bytes); !written)
    return written;
  if (auto synced = file_.Sync(); !synced)
    return synced;
  size_ += bytes.size();
  return {};
}

}  // namespace jacinth::storage
