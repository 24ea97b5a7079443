#include "core/scheduling/work_item.h"

namespace amaranthlane::scheduling {

std::string_view RefusalReasonName(RefusalReason reason) {
  constexpr std::array<std::string_view, 5> kNames = {"wait_too_long", "deadline_unmeetable", "shed", "memory_guard",
                                                      "back_pressure"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace amaranthlane::scheduling
