#include "core/settings/setting_spec.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <asio/ip/address.hpp>
#include <asio/ip/network_v4.hpp>

#include "core/common/decimal.h"
#include "core/common/name_table.h"
#include "core/common/rank.h"
#include "core/common/split.h"

namespace jacinth::settings {
namespace {

constexpr std::array kTypeNames = {
    NamedValue<SettingType>{SettingType::kInteger, "integer"},
    NamedValue<SettingType>{SettingType::kDecimal, "decimal number"},
    NamedValue<SettingType>{SettingType::kBoolean, "true or false"},
    NamedValue<SettingType>{SettingType::kText, "text"},
    NamedValue<SettingType>{SettingType::kAddress, "ip:port"},
    NamedValue<SettingType>{SettingType::kName, "name"},
    NamedValue<SettingType>{SettingType::kRank, "rank"},
    NamedValue<SettingType>{SettingType::kList, "list"},
    NamedValue<SettingType>{SettingType::kBlockList, "list of a.b.c.d/n"},
};

constexpr std::int64_t kMaxPort = 65535;

bool IsNameCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '_' || c == '.';
}

// Returns whether `value` contains characters that are lost or change the
// meaning when it is written to INI and parsed again.
bool HasUnsafeCharacter(std::string_view value) {
  const bool has_control_character =
      std::any_of(value.begin(), value.end(),
                  [](unsigned char c) { return c < ' ' || c == '\x7f'; });
  return has_control_character || value.find(';') != std::string_view::npos;
}

bool IsAddress(std::string_view value) {
  const std::size_t colon = value.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const auto port = ParseInteger(value.substr(colon + 1));
  if (!port || *port < 1 || *port > kMaxPort)
    return false;
  asio::error_code error;
  asio::ip::make_address(std::string(value.substr(0, colon)), error);
  return !error;
}

std::optional<std::string> CheckBlocks(std::string_view value) {
  const std::vector<std::string> blocks = SplitList(value);
  if (blocks.empty())
    return "must not be empty";
  for (const std::string& block : blocks) {
    asio::error_code error;
    asio::ip::make_network_v4(block, error);
    if (error)
      return block + " is not a CIDR block a.b.c.d/n";
  }
  return std::nullopt;
}

std::optional<std::string> CheckInteger(IntegerRange range,
                                        std::string_view value) {
  const auto number = ParseInteger(value);
  if (!number)
    return "must be an integer";
  if (*number < range.min || *number > range.max) {
    return "must be from " + std::to_string(range.min) + " to " +
           std::to_string(range.max);
  }
  return std::nullopt;
}

}  // namespace

std::string_view SettingTypeName(SettingType type) {
  return EnumName(kTypeNames, type);
}

std::optional<std::string> CheckValue(SettingType type,
                                      IntegerRange range,
                                      std::string_view value) {
  if (HasUnsafeCharacter(value))
    return "contains a control character or a semicolon";
  switch (type) {
    case SettingType::kInteger:
      return CheckInteger(range, value);
    case SettingType::kDecimal:
      if (!ParseDecimal(value))
        return "must be a decimal number that is not negative";
      return std::nullopt;
    case SettingType::kBoolean:
      if (value != "true" && value != "false")
        return "must be true or false";
      return std::nullopt;
    case SettingType::kAddress:
      if (!IsAddress(value))
        return "must be a numeric ip:port";
      return std::nullopt;
    case SettingType::kName:
      if (!IsName(value))
        return "must be a name of letters, digits, '-', '_' and '.'";
      return std::nullopt;
    case SettingType::kRank:
      if (!RankFromName(value))
        return "must be urgent, normal or background";
      return std::nullopt;
    case SettingType::kBlockList:
      return CheckBlocks(value);
    case SettingType::kText:
      if (value.empty())
        return "must not be empty";
      return std::nullopt;
    case SettingType::kList:
      if (SplitList(value).empty())
        return "must not be empty";
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end)
    return std::nullopt;
  return number;
}

bool IsName(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace jacinth::settings
