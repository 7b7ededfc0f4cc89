#include "core/policy_switches.h"

namespace stoathold {

PolicySwitches& policy_switches() {
  static PolicySwitches switches;
  return switches;
}

}  // namespace stoathold
