/// Tests that lines in a pipe stay complete when it is read slowly or its writer ends.
///
/// Guards against joined log lines of two processes of a node. The console stream wrote batches of
/// lines in one call of up to 1 MB, so a process that ended while its pipe was full left the first
/// 64 kB, which end within a line, and the node's next process appended to that line.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "base/event_log.h"

namespace stoathold {
namespace {

constexpr int kLines = 1500;
constexpr Duration kLong = std::chrono::seconds(30);
constexpr std::size_t kReadBytes = 1000;

/// A child process that writes lines to a pipe; this process reads them.
class Child {
 public:
  /// @param interrupted a signal arrives often, and its handler interrupts system calls.
  Child(int extra_flags, bool interrupted) {
    int ends[2] = {};
    EXPECT_EQ(pipe(ends), 0);
    reader_ = ends[0];
    writer_ = ends[1];
    if (extra_flags != 0) fcntl(writer_, F_SETFL, fcntl(writer_, F_GETFL) | extra_flags);
    start(interrupted);
  }
  ~Child() {
    kill();
    close(reader_);
    if (writer_ >= 0) close(writer_);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Starts another process of the same node on the same pipe.
  void start(bool interrupted) {
    process_ = fork();
    if (process_ != 0) return;
    dup2(writer_, STDOUT_FILENO);
    write_lines(interrupted);
  }
  void kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
  }
  void signal_once() const { ::kill(process_, SIGUSR1); }
  void close_writer() {
    close(writer_);
    writer_ = -1;
  }
  /// Reads what is available, up to a small size. @return an empty text at the end.
  [[nodiscard]] std::string read_some() const {
    std::string chunk(kReadBytes, '\0');
    const ssize_t count = read(reader_, chunk.data(), chunk.size());
    chunk.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return chunk;
  }

 private:
  [[noreturn]] static void write_lines(bool interrupted) {
    if (interrupted) {
      struct sigaction action {};
      action.sa_handler = [](int) {};
      sigaction(SIGUSR1, &action, nullptr);
    }
    start_bounded_event_log(EventLevel::kInfo, "n1");
    for (int i = 0; i < kLines; ++i) {
      // The rate limiter never drops this event.
      log_event(Event::kLogLinesLeftOut,
                {{"of", std::string(static_cast<std::size_t>(i % 300), 'x')}, {"count", "1"}});
    }
    const bool flushed = flush_event_log(kLong);
    std::_Exit(flushed ? 0 : 1);
  }

  int reader_ = -1;
  int writer_ = -1;
  pid_t process_ = -1;
};

/// Returns the lines that are not exactly one event, and counts the others.
std::vector<std::string> malformed_lines(const std::string& text, int& complete) {
  std::vector<std::string> malformed;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = text.find('\n', begin);
    const std::string line = text.substr(begin, end - begin);
    const bool starts = line.rfind("{\"time\":", 0) == 0 && line.find("\"time\"", 1) == 1;
    const bool once = line.find("{\"time\":", 1) == std::string::npos;
    if (starts && once && line.back() == '}' && end != std::string::npos) {
      ++complete;
    } else {
      malformed.push_back(line);
    }
    if (end == std::string::npos) break;
    begin = end + 1;
  }
  return malformed;
}

std::string read_all(Child& child, bool interrupted) {
  child.close_writer();
  std::string text;
  for (std::string chunk = child.read_some(); !chunk.empty(); chunk = child.read_some()) {
    text += chunk;
    if (interrupted) child.signal_once();
    if (text.size() % (64 * kReadBytes) == 0) std::this_thread::sleep_for(Duration(200));
  }
  return text;
}

void expect_all_complete(int flags, bool interrupted) {
  Child child(flags, interrupted);
  int complete = 0;
  EXPECT_EQ(malformed_lines(read_all(child, interrupted), complete), std::vector<std::string>{});
  EXPECT_EQ(complete, kLines);
}

TEST(LogOutputTest, LinesAreCompleteInSlowlyReadPipe) {
  expect_all_complete(0, false);
}

TEST(LogOutputTest, LinesAreCompleteWhenSignalsInterruptWrites) {
  expect_all_complete(0, true);
}

TEST(LogOutputTest, LinesAreCompleteInNonBlockingPipe) {
  expect_all_complete(O_NONBLOCK, false);
}

TEST(LogOutputTest, KilledProcessLeavesNoTruncatedLine) {
  Child child(0, false);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  child.kill();
  child.start(false);
  int complete = 0;
  EXPECT_EQ(malformed_lines(read_all(child, false), complete), std::vector<std::string>{});
  EXPECT_GT(complete, kLines);
}

}  // namespace
}  // namespace stoathold
