#include "core/common/outcome.h"

#include <array>

#include "core/common/name_table.h"

namespace jacinth {
namespace {

constexpr std::array kNames = {
    NamedValue<Outcome>{Outcome::kRan, "ran"},
    NamedValue<Outcome>{Outcome::kNotRun, "not-run"},
    NamedValue<Outcome>{Outcome::kUnknown, "unknown"},
};

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  return EnumName(kNames, outcome);
}

std::optional<Outcome> OutcomeFromName(std::string_view name) {
  return EnumFromName(kNames, name);
}

}  // namespace jacinth
