#include "routing/active_runners.h"

#include "routing/runner.h"

namespace stoathold {

bool ActiveRunners::ById::operator()(const Runner* left, const Runner* right) const {
  return left->record().id < right->record().id;
}

void ActiveRunners::drop_idle(TimePoint now) {
  std::erase_if(runners_, [now](const Runner* runner) { return !runner->is_reportable(now); });
}

}  // namespace stoathold
