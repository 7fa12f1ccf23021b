#include "core/common/rank.h"

#include "core/common/name_table.h"

namespace jacinth {
namespace {

constexpr std::array kNames = {
    NamedValue<Rank>{Rank::kUrgent, "urgent"},
    NamedValue<Rank>{Rank::kNormal, "normal"},
    NamedValue<Rank>{Rank::kBackground, "background"},
};

}  // namespace

std::string_view RankName(Rank rank) {
  return EnumName(kNames, rank);
}

std::optional<Rank> RankFromName(std::string_view name) {
  return EnumFromName(kNames, name);
}

}  // namespace jacinth
