#include "jobs/job_table.h"

#include <gtest/gtest.h>

#include <cereal/macros.hpp>

namespace stoathold {
namespace {

constexpr const char* kHost = "drafts.example";

/// A table, and the listener calls that it made: the key of the job and whether it was open.
class JobTableTest : public testing::Test {
 protected:
  JobTableTest()
      : table([this](const JobKey& key, const JobEntry& job) {
          notified.emplace_back(key, job.open());
        }) {}

  static JobKey key_of(const std::string& id) { return make_job_key(kHost, id); }
  StoredRecord submission(const std::string& id) {
    JobSubmission submission;
    submission.id = id;
    submission.host = kHost;
    return record(JobRecordKind::kSubmitted, id, encode(submission));
  }
  StoredRecord record(JobRecordKind kind, const std::string& id, const std::string& value = "1") {
    return {next_offset++, jobs_record_key(kind, key_of(id)), value};
  }
  using Notifications = std::vector<std::pair<JobKey, bool>>;

  RecordOffset next_offset = 0;
  Notifications notified;
  JobTable table;
};

TEST_F(JobTableTest, ListenerIsCalledWhenAJobIsAddedAndFinished) {
  table.apply(submission("j1"));
  table.apply(record(JobRecordKind::kFinished, "j1"));
  EXPECT_EQ(notified, (Notifications{{key_of("j1"), true}, {key_of("j1"), false}}));
}

/// Guards against starting finished jobs when the log is replayed: a submission is applied before
/// the finished mark of its job, and a listener that is called in between starts the job and reads
/// its results. After a restart of all nodes, 155 of 169 jobs started had finished long before.
TEST_F(JobTableTest, JobReadTogetherWithItsFinishedMarkIsNeverReportedAsOpen) {
  table.reset({submission("j1"), submission("j2"), record(JobRecordKind::kFinished, "j1")}, 3);
  EXPECT_EQ(notified, (Notifications{{key_of("j1"), false}, {key_of("j2"), true}}));
}

TEST_F(JobTableTest, ErasedJobIsReportedAsFinished) {
  table.apply(submission("j1"));
  table.apply(submission("j2"));
  notified.clear();
  table.apply(record(JobRecordKind::kSubmitted, "j1", ""));
  EXPECT_EQ(notified, (Notifications{{key_of("j1"), false}}));
  EXPECT_EQ(table.find(key_of("j1")), nullptr);
  notified.clear();
  table.reset({}, 3);
  EXPECT_EQ(notified, (Notifications{{key_of("j2"), false}}));
}

TEST_F(JobTableTest, SubmissionsOfTheOldFormatAreDecoded) {
  // The old format lacks the last two fields: a number, and a string preceded by its length.
  JobSubmission spread;
  spread.id = "j1";
  spread.host = kHost;
  spread.data_topics = 16;
  spread.request_writer = "writer";
  std::string bytes = encode(spread);
  bytes.resize(bytes.size() - sizeof(spread.data_topics) - sizeof(CEREAL_SIZE_TYPE) -
               spread.request_writer.size());
  table.apply(record(JobRecordKind::kSubmitted, "j1", bytes));
  const JobEntry* entry = table.find(key_of("j1"));
  ASSERT_NE(entry, nullptr);
  EXPECT_EQ(entry->submission.host, kHost);
  EXPECT_EQ(entry->submission.data_topics, 0U);
}

}  // namespace
}  // namespace stoathold
