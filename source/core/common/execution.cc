#include "core/common/execution.h"

#include <array>

#include "core/common/name_table.h"

namespace jacinth {
namespace {

constexpr std::array kNames = {
    NamedValue<Execution>{Execution::kRepeatable, "repeatable"},
    NamedValue<Execution>{Execution::kSingleAttempt, "single_attempt"},
    NamedValue<Execution>{Execution::kAtMostOnce, "at_most_once"},
};

}  // namespace

std::string_view ExecutionName(Execution execution) {
  return EnumName(kNames, execution);
}

std::optional<Execution> ExecutionFromName(std::string_view name) {
  return EnumFromName(kNames, name);
}

}  // namespace jacinth
