/// @file
/// Test double of an HTTP exchange without a connection, which records the response.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/http.h"

namespace stoathold {

/// Records the response of one handler; streamed bodies are concatenated.
class RecordedExchange final : public HttpExchange {
 public:
  RecordedExchange(boost::asio::any_io_executor executor, std::string target,
                   std::vector<HttpHeader> request_headers)
      : executor_(std::move(executor)),
        target_(std::move(target)),
        request_headers_(std::move(request_headers)) {}

  int status = 0;  ///< 0: no response yet.
  std::string response_body;
  std::vector<HttpHeader> response_headers;

  std::string_view method() const override { return "POST"; }
  std::string_view target() const override { return target_; }
  std::string_view header(std::string_view name) const override {
    return find_header(request_headers_, name);
  }
  std::vector<HttpHeader> headers() const override { return request_headers_; }
  const std::string& body() const override { return body_; }
  bool accepts_chunks() const override { return true; }
  boost::asio::any_io_executor executor() const override { return executor_; }

  boost::asio::awaitable<void> respond(int status_in, std::string_view /*content_type*/,
                                       std::string body, std::vector<HttpHeader> headers) override {
    status = status_in;
    response_body = std::move(body);
    response_headers = std::move(headers);
    co_return;
  }
  boost::asio::awaitable<bool> start_stream(std::string_view /*content_type*/) override {
    status = 200;
    co_return true;
  }
  boost::asio::awaitable<bool> start_response(const ResponseHead& head) override {
    status = head.status;
    co_return true;
  }
  boost::asio::awaitable<bool> write(std::string_view bytes) override {
    response_body += bytes;
    co_return true;
  }
  boost::asio::awaitable<bool> write_ahead(std::string_view bytes) override {
    response_body += bytes;
    co_return true;
  }
  boost::asio::awaitable<bool> flush() override { co_return true; }
  boost::asio::awaitable<bool> finish_stream() override { co_return true; }
  void abort() override {}
  void watch_disconnect(std::function<void()> /*on_disconnect*/) override {}

 private:
  boost::asio::any_io_executor executor_;
  std::string target_;
  std::vector<HttpHeader> request_headers_;
  std::string body_;
};

}  // namespace stoathold
