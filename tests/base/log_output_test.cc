/// Lines in a pipe that is read slowly, or whose writer ends.
///
/// What happened: lines of a node stood joined in the output that a bench had read, each with the
/// rest of another one, parts lost. The console's stream wrote a batch of lines in one call of up
/// to 1 MB, so that a process that ended while its pipe was full left the first 64 kB, which end in
/// the midst of a line, and the next process of the node wrote on behind them.
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
constexpr std::size_t kSlowRead = 1000;

/// A child that writes lines to a pipe, whose reading end is ours.
class Child {
 public:
  /// `interrupted`: a signal reaches it often, and its handler lets calls end early.
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

  /// Another process of the same node, on the same pipe.
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
  /// Reads a little, as it comes. @return empty at the end.
  [[nodiscard]] std::string read_some() const {
    std::string piece(kSlowRead, '\0');
    const ssize_t count = read(reader_, piece.data(), piece.size());
    piece.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return piece;
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
      // Errors, of which none is left out by its rate.
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

/// Returns the lines that are not one whole event.
std::vector<std::string> broken_lines(const std::string& text, int& whole) {
  std::vector<std::string> broken;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = text.find('\n', begin);
    const std::string line = text.substr(begin, end - begin);
    const bool starts = line.rfind("{\"time\":", 0) == 0 && line.find("\"time\"", 1) == 1;
    const bool once = line.find("{\"time\":", 1) == std::string::npos;
    if (starts && once && line.back() == '}' && end != std::string::npos) {
      ++whole;
    } else {
      broken.push_back(line);
    }
    if (end == std::string::npos) break;
    begin = end + 1;
  }
  return broken;
}

std::string read_all(Child& child, bool interrupted) {
  child.close_writer();
  std::string text;
  for (std::string piece = child.read_some(); !piece.empty(); piece = child.read_some()) {
    text += piece;
    if (interrupted) child.signal_once();
    if (text.size() % (64 * kSlowRead) == 0) std::this_thread::sleep_for(Duration(200));
  }
  return text;
}

void expect_all_whole(int flags, bool interrupted) {
  Child child(flags, interrupted);
  int whole = 0;
  EXPECT_EQ(broken_lines(read_all(child, interrupted), whole), std::vector<std::string>{});
  EXPECT_EQ(whole, kLines);
}

TEST(LogOutputTest, LinesInAPipeThatIsReadSlowlyAreWhole) {
  expect_all_whole(0, false);
}

TEST(LogOutputTest, LinesAreWholeWhenSignalsEndWritesEarly) {
  expect_all_whole(0, true);
}

TEST(LogOutputTest, LinesAreWholeInAPipeThatDoesNotWait) {
  expect_all_whole(O_NONBLOCK, false);
}

TEST(LogOutputTest, AProcessThatEndsWhileItsPipeIsFullLeavesNoHalfLine) {
  Child child(0, false);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  child.kill();
  child.start(false);
  int whole = 0;
  EXPECT_EQ(broken_lines(read_all(child, false), whole), std::vector<std::string>{});
  EXPECT_GT(whole, kLines);
}

}  // namespace
}  // namespace stoathold
