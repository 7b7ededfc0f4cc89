/// @file
/// What a node reports to others about how fast runners work.
#pragma once

#include <cstdint>

namespace stoathold {

/// The sender's view of one runner.
struct SpeedReport {
  std::uint64_t runner = 0;            ///< `Runner::hash`.
  std::uint16_t slowness_percent = 0;  ///< As the runner reported it; 100: as usual; 0: never.
  std::uint16_t slowness_age_ms = 0;   ///< Since that report; saturates.
  std::uint16_t relative_time = 0;     ///< Learned time of its work against the mean, in 256ths.
  std::uint8_t samples = 0;            ///< Answers that the learned time rests on; saturates.
  /// Answers lately, in tenths, that were slow beyond explanation, and all others; they saturate.
  std::uint8_t slow_answers = 0;
  std::uint8_t usual_answers = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(runner, slowness_percent, slowness_age_ms, relative_time, samples, slow_answers,
            usual_answers);
  }
};

}  // namespace stoathold
