#include "core/control/control_event.h"

#include <array>

namespace jacinth::control {
namespace {

/// By the index of the type in ControlEvent.
constexpr std::array<std::string_view, std::variant_size_v<ControlEvent>>
    kNames = {"message_received", "writes_synced",
              "storage_failed",   "tick",
              "endpoints_listed", "contacts_changed",
              "change_requested", "view_requested",
              "stop_requested"};

}  // namespace

std::string_view ControlEventName(const ControlEvent& event) {
  return ControlEventName(event.index());
}

std::string_view ControlEventName(std::size_t index) {
  return kNames.at(index);
}

}  // namespace jacinth::control
