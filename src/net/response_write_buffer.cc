#include "net/response_write_buffer.h"

#include <boost/asio.hpp>

#include "net/beast_helpers.h"

namespace stoathold {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

ResponseWriteBuffer::ResponseWriteBuffer(Tcp::socket& socket,
                                         const ServerResourceLimits& resource_limits,
                                         ReclaimableBufferRegistry& buffer_registry,
                                         std::function<void()> on_reclaimed)
    : socket_(&socket),
      resource_limits_(resource_limits),
      buffer_registry_(buffer_registry),
      on_reclaimed_(std::move(on_reclaimed)),
      pending_since_(monotonic_now()),
      last_progress_(pending_since_) {
  if (!resource_limits.limited()) return;
  reservation_ = resource_limits.budget->charge(MemoryAccount::kResponses, 0);
  buffer_registry_.add(*this);
}

ResponseWriteBuffer::~ResponseWriteBuffer() {
  fail();
}

void ResponseWriteBuffer::append(std::string_view bytes) {
  if (failed_) return;
  if (pending() == 0) {
    pending_since_ = monotonic_now();
    last_progress_ = pending_since_;
  }
  // Written bytes are erased only once they are more than half of the buffer, so that each byte is
  // moved at most once.
  if (position_ > bytes_.size() / 2) {
    bytes_.erase(0, position_);
    position_ = 0;
  }
  bytes_.append(bytes);
  reservation_.resize(bytes_.capacity());
}

void ResponseWriteBuffer::start() {
  if (!waiting_ && !failed_ && pending() > 0) wait_until_writable();
}

void ResponseWriteBuffer::wait_until_writable() {
  waiting_ = true;
  socket_->async_wait(Tcp::socket::wait_write,
                      [self = shared_from_this()](boost::system::error_code error) {
                        self->waiting_ = false;
                        if (self->failed_) return;
                        if (error) {
                          self->fail();
                        } else {
                          self->write_some();
                        }
                      });
}

void ResponseWriteBuffer::write_some() {
  boost::system::error_code error;
  const asio::const_buffer rest(bytes_.data() + position_, pending());
  const std::size_t written = write_at_once(*socket_, rest, error);
  if (error) {
    fail();
    return;
  }
  on_written(written);
  start();
}

void ResponseWriteBuffer::on_written(std::size_t count) {
  if (count > 0) last_progress_ = monotonic_now();
  position_ += count;
  if (pending() == 0) {
    std::string().swap(bytes_);
    position_ = 0;
    reservation_.resize(0);
  }
  if (drained_ && pending() <= drain_target_) drained_->cancel();
}

asio::awaitable<void> ResponseWriteBuffer::wait(std::size_t max_pending, Duration timeout) {
  const auto self = shared_from_this();
  if (failed_ || pending() <= max_pending) co_return;
  drain_target_ = max_pending;
  const auto executor = co_await asio::this_coro::executor;
  drained_.emplace(executor, timeout);
  co_await drained_->async_wait(asio::as_tuple(asio::use_awaitable));
  drained_.reset();
}

void ResponseWriteBuffer::fail() {
  if (failed_) return;
  failed_ = true;
  buffer_registry_.remove(*this);
  std::string().swap(bytes_);
  position_ = 0;
  reservation_.release();
  if (drained_) drained_->cancel();
}

void ResponseWriteBuffer::detach() {
  fail();
  on_reclaimed_ = nullptr;
  socket_ = nullptr;
}

void ResponseWriteBuffer::reclaim() {
  if (failed_) return;
  const TimePoint now = monotonic_now();
  resource_limits_.report({.action = OverloadAction::kResponseAborted,
                           .bytes = reserved_bytes(),
                           .held_for = now - pending_since_,
                           .stalled = now - last_progress_});
  // Resets the connection: the kernel frees its send buffer as well, and the client cannot take the
  // truncated response for a complete one.
  boost::system::error_code ignored;
  socket_->set_option(asio::socket_base::linger(true, 0), ignored);
  socket_->close(ignored);
  fail();
  if (on_reclaimed_) on_reclaimed_();
}

}  // namespace stoathold
