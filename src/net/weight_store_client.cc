#include "net/weight_store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>

namespace stoathold {
namespace {

namespace asio = boost::asio;

constexpr int kTooManyRequests = 429;

class HttpWeightStoreClient final : public WeightStoreClient {
 public:
  HttpWeightStoreClient(const asio::any_io_executor& executor, std::string address,
                        Duration timeout)
      : executor_(executor),
        client_(std::make_shared<HttpClient>(executor)),
        address_(std::move(address)),
        timeout_(timeout) {}

  void reserve(const std::string& model, const std::string& version, Done done) override {
    HttpCall call;
    call.address = address_;
    call.method = "POST";
    call.target = "/v1/weights/" + model + "/" + version;
    call.timeout = timeout_;
    asio::co_spawn(asio::make_strand(executor_), run(client_, std::move(call), std::move(done)),
                   asio::detached);
  }

 private:
  static asio::awaitable<void> run(std::shared_ptr<HttpClient> client, HttpCall call, Done done) {
    const HttpReply reply = co_await client->call(std::move(call));
    WeightReservation reservation;
    reservation.granted = reply.ok();
    if (reply.status == kTooManyRequests) {
      const std::string_view text = reply.header("retry-after");
      int seconds = 1;
      std::from_chars(text.data(), text.data() + text.size(), seconds);
      reservation.retry_after = std::chrono::seconds(seconds);
    }
    const bool answered = reply.ok() || reply.status == kTooManyRequests;
    done(answered, reservation);
  }

  asio::any_io_executor executor_;
  std::shared_ptr<HttpClient> client_;
  const std::string address_;
  const Duration timeout_;
};

}  // namespace

std::unique_ptr<WeightStoreClient> make_http_weight_store_client(
    const asio::any_io_executor& executor, std::string address, Duration timeout) {
  return std::make_unique<HttpWeightStoreClient>(executor, std::move(address), timeout);
}

}  // namespace stoathold
