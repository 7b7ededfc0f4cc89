/// @file
/// Client interface of the platform's rate-limited weight store.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/http.h"

namespace stoathold {

/// Response of the weight store to a reservation request.
struct WeightReservation {
  bool granted = false;
  Duration retry_after{0};  ///< Delay before the next request if it was not granted.
};

/// Asks the weight store for permission to fetch a model. Thread safe.
class WeightStoreClient {
 public:
  using Done = std::function<void(bool ok, WeightReservation reservation)>;

  virtual ~WeightStoreClient() = default;
  virtual void reserve(const std::string& model, const std::string& version, Done done) = 0;
};

/// Creates a client for the HTTP protocol: `POST /v1/weights/MODEL/VERSION` returns 200, or 429
/// with `retry-after`.
std::unique_ptr<WeightStoreClient> make_http_weight_store_client(
    const boost::asio::any_io_executor& executor, std::string address, Duration timeout);

}  // namespace stoathold
