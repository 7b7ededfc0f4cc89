/// @file
/// What a caller has not taken yet of its answer. Include in implementation files only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer.h"
#include "net/byte_holders.h"
#include "net/server_bounds.h"

namespace stoathold {

/// Bytes on their way to a caller, written as its socket takes them, in order. Shared with the wait
/// for the socket, which may outlive the answer. Used on the connection's strand.
class AnswerBacklog final : public ByteHolder, public std::enable_shared_from_this<AnswerBacklog> {
 public:
  /// @param socket not blocking; outlives the time until `detach`.
  /// @param bounds, holders outlive the backlog.
  /// @param on_cut_off called when the caller was cut off to make room.
  AnswerBacklog(boost::asio::ip::tcp::socket& socket, const ServerBounds& bounds,
                ByteHolders& holders, std::function<void()> on_cut_off);
  ~AnswerBacklog() override;
  AnswerBacklog(const AnswerBacklog&) = delete;
  AnswerBacklog& operator=(const AnswerBacklog&) = delete;

  /// Adds bytes behind those that wait.
  void append(std::string_view bytes);
  /// Begins to write what waits.
  void start();
  /// Waits until at most `most` bytes are left, the caller is gone, or this time is over.
  boost::asio::awaitable<void> wait(std::size_t most, Duration longest);
  [[nodiscard]] std::size_t pending() const { return bytes_.size() - position_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Nothing is written any more; the bytes are given back.
  void fail();
  /// The socket is about to go, or to be used by others.
  void detach();

  [[nodiscard]] std::uint64_t held_bytes() const override { return reservation_.bytes(); }
  [[nodiscard]] TimePoint last_progress() const override { return last_progress_; }
  void cut_off() override;

 private:
  void wait_until_writable();
  void write_some();
  void took(std::size_t count);

  boost::asio::ip::tcp::socket* socket_;
  const ServerBounds& bounds_;
  ByteHolders& holders_;
  std::function<void()> on_cut_off_;
  MemoryReservation reservation_;
  std::string bytes_;
  std::size_t position_ = 0;  ///< Of the first byte that is not written.
  TimePoint since_;           ///< When the bytes began to wait.
  TimePoint last_progress_;
  std::optional<Timer> drained_;  ///< Cancelled when `most_left_` is reached, or on a failure.
  std::size_t most_left_ = 0;     ///< Of the current wait.
  bool waiting_ = false;
  bool failed_ = false;
};

}  // namespace stoathold
