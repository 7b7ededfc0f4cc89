/// @file
/// How far a run at a runner had come, as seen from the node that sent it.
#pragma once

#include <cstdint>
#include <string_view>

namespace stoathold {

/// Stages of one run, in order.
enum class RunStage : std::uint8_t {
  kWaiting,    ///< No answer has begun: it may be running, or waiting in the runner's queue.
  kBegun,      ///< The head of the answer came: it is running.
  kDelivering  ///< An event or a piece of the body came.
};

/// Returns the stage's name for logs.
constexpr std::string_view to_string(RunStage stage) {
  switch (stage) {
    case RunStage::kWaiting:
      return "waiting";
    case RunStage::kBegun:
      return "begun";
    case RunStage::kDelivering:
      break;
  }
  return "delivering";
}

}  // namespace stoathold
