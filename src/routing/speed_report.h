/// @file
/// Node-to-node report of the speed of runners.
#pragma once

#include <cstdint>

namespace stoathold {

/// The sender's knowledge of one runner.
struct SpeedReport {
  std::uint64_t runner = 0;  ///< `Runner::hash`.
  /// As reported by the runner; 100: usual; 0: never reported.
  std::uint16_t slowness_percent = 0;
  std::uint16_t slowness_age_ms = 0;  ///< Age of that report; saturates.
  std::uint16_t relative_time = 0;    ///< Learned time relative to the mean runner, in 256ths.
  std::uint8_t samples = 0;           ///< Responses behind `relative_time`; saturates.
  /// Recent latency outliers and other responses, in tenths; they saturate.
  std::uint8_t outlier_responses = 0;
  std::uint8_t normal_responses = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, slowness_percent, slowness_age_ms, relative_time, samples, outlier_responses,
            normal_responses);
  }
};

}  // namespace stoathold
