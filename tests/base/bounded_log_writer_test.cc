#include "base/bounded_log_writer.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace stoathold {
namespace {

constexpr Duration kLong = std::chrono::seconds(60);

/// Collects the written lines; each write first waits for the gate.
struct Output {
  void write(const std::string& lines) {
    gate.wait();
    const std::scoped_lock lock(mutex);
    text += lines;
  }

  std::promise<void> gate_opener;
  std::shared_future<void> gate = gate_opener.get_future().share();
  std::mutex mutex;
  std::string text;
};

TEST(BoundedLogWriterTest, WritesCompleteLinesInOrder) {
  const auto output = std::make_shared<Output>();
  output->gate_opener.set_value();
  BoundedLogWriter writer([output](const std::string& lines) { output->write(lines); });
  EXPECT_TRUE(writer.add("one", false));
  EXPECT_TRUE(writer.add("two", true));
  EXPECT_TRUE(writer.add("three", false));
  ASSERT_TRUE(writer.flush(kLong));
  EXPECT_EQ(output->text, "one\ntwo\nthree\n");
}

TEST(BoundedLogWriterTest, BlockedWriteDoesNotBlockAdd) {
  const auto output = std::make_shared<Output>();
  constexpr std::size_t kBytes = 100;
  const std::string line(19, 'x');
  BoundedLogWriter writer([output](const std::string& lines) { output->write(lines); },
                          {kBytes, std::chrono::milliseconds(1)});
  int refused = 0;
  for (int i = 0; i < 100; ++i) refused += writer.add(line, true) ? 0 : 1;
  // The lines being written and the queued ones are each limited to the buffer size.
  EXPECT_GE(refused, 90);
  EXPECT_FALSE(writer.flush(std::chrono::milliseconds(1)));
  output->gate_opener.set_value();
  ASSERT_TRUE(writer.flush(kLong));
  EXPECT_EQ(output->text.size(), (100 - refused) * (line.size() + 1));
}

TEST(BoundedLogWriterTest, DestructorDoesNotWaitForBlockedWrite) {
  const auto output = std::make_shared<Output>();
  {
    BoundedLogWriter writer([output](const std::string& lines) { output->write(lines); });
    EXPECT_TRUE(writer.add("stuck", true));
    EXPECT_FALSE(writer.flush(std::chrono::milliseconds(1)));
  }
  output->gate_opener.set_value();
}

}  // namespace
}  // namespace stoathold
