/// @file
/// Buffer of response bytes that the client has not read yet. Include in implementation files only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer.h"
#include "net/reclaimable_buffer.h"
#include "net/server_resource_limits.h"

namespace stoathold {

/// Response bytes that wait for the client's socket to become writable; they are written in order.
/// Shared with the pending socket wait, which may outlive the response. Used on the connection's
/// strand.
class ResponseWriteBuffer final : public ReclaimableBuffer,
                                  public std::enable_shared_from_this<ResponseWriteBuffer> {
 public:
  /// @param socket must be non-blocking; must stay valid until `detach`.
  /// @param resource_limits, buffer_registry outlive the buffer.
  /// @param on_reclaimed called after the connection was reset to free memory.
  ResponseWriteBuffer(boost::asio::ip::tcp::socket& socket,
                      const ServerResourceLimits& resource_limits,
                      ReclaimableBufferRegistry& buffer_registry,
                      std::function<void()> on_reclaimed);
  ~ResponseWriteBuffer() override;
  ResponseWriteBuffer(const ResponseWriteBuffer&) = delete;
  ResponseWriteBuffer& operator=(const ResponseWriteBuffer&) = delete;

  /// Appends bytes to the buffer.
  void append(std::string_view bytes);
  /// Starts to write the buffered bytes.
  void start();
  /// Waits until at most `max_pending` bytes are left, writing fails, or `timeout` has passed.
  boost::asio::awaitable<void> wait(std::size_t max_pending, Duration timeout);
  [[nodiscard]] std::size_t pending() const { return bytes_.size() - position_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Stops writing, and releases the buffered bytes.
  void fail();
  /// Must be called before the socket is destroyed or used by others; fails the buffer.
  void detach();

  [[nodiscard]] std::uint64_t reserved_bytes() const override { return reservation_.bytes(); }
  [[nodiscard]] TimePoint last_progress() const override { return last_progress_; }
  void reclaim() override;

 private:
  void wait_until_writable();
  void write_some();
  void on_written(std::size_t count);

  boost::asio::ip::tcp::socket* socket_;
  const ServerResourceLimits& resource_limits_;
  ReclaimableBufferRegistry& buffer_registry_;
  std::function<void()> on_reclaimed_;
  MemoryReservation reservation_;
  std::string bytes_;
  std::size_t position_ = 0;  ///< Index of the first unwritten byte.
  TimePoint pending_since_;   ///< When the buffer last became non-empty.
  TimePoint last_progress_;
  std::optional<Timer> drained_;  ///< Cancelled when `drain_target_` is reached or writing fails.
  std::size_t drain_target_ = 0;  ///< Number of pending bytes at which the current wait ends.
  bool waiting_ = false;
  bool failed_ = false;
};

}  // namespace stoathold
