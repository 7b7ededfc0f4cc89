#include "net/answer_backlog.h"

#include <boost/asio.hpp>

#include "net/beast_helpers.h"

namespace stoathold {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

AnswerBacklog::AnswerBacklog(Tcp::socket& socket, const ServerBounds& bounds, ByteHolders& holders,
                             std::function<void()> on_cut_off)
    : socket_(&socket),
      bounds_(bounds),
      holders_(holders),
      on_cut_off_(std::move(on_cut_off)),
      since_(monotonic_now()),
      last_progress_(since_) {
  if (!bounds.limited()) return;
  reservation_ = bounds.budget->charge(MemoryAccount::kAnswers, 0);
  holders_.add(*this);
}

AnswerBacklog::~AnswerBacklog() {
  fail();
}

void AnswerBacklog::append(std::string_view bytes) {
  if (failed_) return;
  if (pending() == 0) {
    since_ = monotonic_now();
    last_progress_ = since_;
  }
  // Moved to the front only when most of it is written: each byte is moved once at most.
  if (position_ > bytes_.size() / 2) {
    bytes_.erase(0, position_);
    position_ = 0;
  }
  bytes_.append(bytes);
  reservation_.resize(bytes_.capacity());
}

void AnswerBacklog::start() {
  if (!waiting_ && !failed_ && pending() > 0) wait_until_writable();
}

void AnswerBacklog::wait_until_writable() {
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

void AnswerBacklog::write_some() {
  boost::system::error_code error;
  const asio::const_buffer rest(bytes_.data() + position_, pending());
  const std::size_t written = write_at_once(*socket_, rest, error);
  if (error) {
    fail();
    return;
  }
  took(written);
  start();
}

void AnswerBacklog::took(std::size_t count) {
  if (count > 0) last_progress_ = monotonic_now();
  position_ += count;
  if (pending() == 0) {
    std::string().swap(bytes_);
    position_ = 0;
    reservation_.resize(0);
  }
  if (drained_ && pending() <= most_left_) drained_->cancel();
}

asio::awaitable<void> AnswerBacklog::wait(std::size_t most, Duration longest) {
  const auto self = shared_from_this();
  if (failed_ || pending() <= most) co_return;
  most_left_ = most;
  const auto executor = co_await asio::this_coro::executor;
  drained_.emplace(executor, longest);
  co_await drained_->async_wait(asio::as_tuple(asio::use_awaitable));
  drained_.reset();
}

void AnswerBacklog::fail() {
  if (failed_) return;
  failed_ = true;
  holders_.remove(*this);
  std::string().swap(bytes_);
  position_ = 0;
  reservation_.release();
  if (drained_) drained_->cancel();
}

void AnswerBacklog::detach() {
  fail();
  on_cut_off_ = nullptr;
  socket_ = nullptr;
}

void AnswerBacklog::cut_off() {
  if (failed_) return;
  const TimePoint now = monotonic_now();
  bounds_.tell({.act = ShortageAct::kAnswerCutOff,
                .bytes = held_bytes(),
                .age = now - since_,
                .stalled = now - last_progress_});
  // A reset: the kernel gives its own bytes back too, and the answer cannot look whole.
  boost::system::error_code ignored;
  socket_->set_option(asio::socket_base::linger(true, 0), ignored);
  socket_->close(ignored);
  fail();
  if (on_cut_off_) on_cut_off_();
}

}  // namespace stoathold
