/// @file
/// Progress of a run at a runner, as seen from the node that sent it.
#pragma once

#include <cstdint>
#include <string_view>

namespace stoathold {

/// Stages of one run, in order.
enum class RunStage : std::uint8_t {
  kWaiting,  ///< No response has started: the run is in progress or waits in the runner's queue.
  kResponseStarted,  ///< The response headers were received: the run is in progress.
  kDelivering        ///< An event or part of the body was received.
};

/// Returns the stage's name for logs.
constexpr std::string_view to_string(RunStage stage) {
  switch (stage) {
    case RunStage::kWaiting:
      return "waiting";
    case RunStage::kResponseStarted:
      return "begun";
    case RunStage::kDelivering:
      break;
  }
  return "delivering";
}

}  // namespace stoathold
