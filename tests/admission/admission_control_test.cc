#include "admission/admission_control.h"

#include <gtest/gtest.h>

namespace stoathold {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

class AdmissionControlTest : public testing::Test {
 protected:
  AdmissionInput new_request(Duration wait, std::uint32_t ahead = 5) const {
    return {.admission_class = AdmissionClass::kNewRequest,
            .arrival = now,
            .due = now + 250 * kMs,
            .latest_start = now + 1900 * kMs,
            .forecast = WaitForecast{ahead, wait, std::nullopt},
            .retry_after = 800 * kMs};
  }
  const TimePoint now{std::chrono::hours(1)};
};

TEST_F(AdmissionControlTest, KeepsRequestsThatCanBeOnTime) {
  EXPECT_FALSE(check_admission(new_request(150 * kMs), now));
}

TEST_F(AdmissionControlTest, RejectsOnArrivalIfRequestsAheadMakeItLate) {
  EXPECT_EQ(check_admission(new_request(400 * kMs), now), RejectionReason::kOverloaded);
}

TEST_F(AdmissionControlTest, KeepsLateRequestsWithNoOnTimeRequestAhead) {
  AdmissionInput input = new_request(400 * kMs, 0);
  EXPECT_FALSE(check_admission(input, now));
  EXPECT_FALSE(check_admission(input, now + 1000 * kMs));
}

TEST_F(AdmissionControlTest, KeepsRequestsWithoutForecast) {
  AdmissionInput input = new_request(400 * kMs);
  input.forecast.reset();
  EXPECT_FALSE(check_admission(input, now));
  EXPECT_FALSE(check_admission(input, now + 1800 * kMs));
}

TEST_F(AdmissionControlTest, RejectsAfterCallerTimeoutWithOrWithoutForecast) {
  AdmissionInput input = new_request(50 * kMs);
  EXPECT_EQ(check_admission(input, now + 1901 * kMs), RejectionReason::kTooLate);
  input.forecast.reset();
  EXPECT_EQ(check_admission(input, now + 1901 * kMs), RejectionReason::kTooLate);
}

TEST_F(AdmissionControlTest, RejectsBookedRetriesOnlyAfterCallerTimeout) {
  AdmissionInput input = new_request(400 * kMs);
  input.admission_class = AdmissionClass::kBookedRetry;
  EXPECT_FALSE(check_admission(input, now));
  input.forecast->wait = 1950 * kMs;
  EXPECT_EQ(check_admission(input, now), RejectionReason::kTooLate);
}

TEST_F(AdmissionControlTest, KeepsStartedRequests) {
  AdmissionInput input = new_request(4000 * kMs);
  input.admission_class = AdmissionClass::kStarted;
  EXPECT_FALSE(check_admission(input, now + 3000 * kMs));
}

// A caller rejected after a long wait would be served later by its retry than by waiting on.
TEST_F(AdmissionControlTest, KeepsWaitingRequestsIfALateSlotPrecedesTheRetry) {
  AdmissionInput input = new_request(400 * kMs);
  input.forecast->time_to_drain = 200 * kMs;
  EXPECT_EQ(check_admission(input, now), RejectionReason::kOverloaded);
  EXPECT_FALSE(check_admission(input, now + 200 * kMs));
  input.retry_after = 150 * kMs;
  EXPECT_EQ(check_admission(input, now + 200 * kMs), RejectionReason::kOverloaded);
}

// A late slot further ahead than the objective cannot be forecast reliably.
TEST_F(AdmissionControlTest, RejectsWaitingRequestsIfTheLateSlotIsBeyondTheObjective) {
  AdmissionInput input = new_request(400 * kMs);
  input.forecast->time_to_drain = 500 * kMs;
  EXPECT_EQ(check_admission(input, now + 200 * kMs), RejectionReason::kOverloaded);
}

TEST_F(AdmissionControlTest, PredictsWaitFromSlotTimeAheadAndSlots) {
  ServiceStatistics statistics;
  statistics.slot_time = 700 * kMs;
  statistics.peers = {60, 60 * 700 * kMs};
  const QueuePosition last{.ahead = {9, 9 * 700 * kMs}, .all = {10, 10 * 700 * kMs}};
  const auto forecast = predict_wait(last, statistics, {.zone = 120}, 100);
  ASSERT_TRUE(forecast);
  EXPECT_EQ(forecast->ahead, 69U);
  EXPECT_NEAR(to_seconds(forecast->wait), 69 * 0.7 / 120, 0.001);
  ASSERT_TRUE(forecast->time_to_drain);
  EXPECT_NEAR(to_seconds(*forecast->time_to_drain), 70 / (120 / 0.7 - 100), 0.001);
  // The first of ten requests here is preceded by a tenth of the zone's waiting requests.
  const QueuePosition first{.ahead = {}, .all = {10, 10 * 700 * kMs}};
  EXPECT_EQ(predict_wait(first, statistics, {.zone = 120}, 100)->ahead, 6U);
}

// A full zone next to one with free slots: if requests were rejected at once, none would remain for
// which slots are borrowed.
TEST_F(AdmissionControlTest, SubtractsSlotsLentByOtherZonesFromRequestsAhead) {
  ServiceStatistics statistics;
  statistics.slot_time = 700 * kMs;
  statistics.peers = {60, 60 * 700 * kMs};
  const QueuePosition alone{.ahead = {}, .all = {1, 700 * kMs}};
  const auto some = predict_wait(alone, statistics, {.zone = 120, .lent_by_other_zones = 30}, 100);
  EXPECT_EQ(some->ahead, 30U);
  EXPECT_NEAR(to_seconds(some->wait), 30 * 0.7 / 120, 0.001);
  EXPECT_EQ(predict_wait(alone, statistics, {.zone = 120, .lent_by_other_zones = 90}, 100)->ahead,
            0U);
}

TEST_F(AdmissionControlTest, GivesNoForecastWithoutSlotTimeOrSlots) {
  EXPECT_FALSE(predict_wait({}, ServiceStatistics{}, {.zone = 120}, 100));
  ServiceStatistics statistics;
  statistics.slot_time = 700 * kMs;
  EXPECT_FALSE(predict_wait({}, statistics, {}, 100));
}

}  // namespace
}  // namespace stoathold
