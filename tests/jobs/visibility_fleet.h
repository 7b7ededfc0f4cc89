/// @file
/// Nodes on a shared log that read the jobs through one another, without sockets.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job_store.h"
#include "store/peer_topic_reader.h"
#include "store/topic_service.h"
#include "tests/jobs/visibility_log.h"

namespace stoathold {

/// A request from one node to another whose answer is kept.
class KeptExchange final : public HttpExchange {
 public:
  KeptExchange(std::string target, boost::asio::any_io_executor executor)
      : target_(std::move(target)), executor_(std::move(executor)) {}

  HttpReply reply;

  [[nodiscard]] std::string_view method() const override { return "GET"; }
  [[nodiscard]] std::string_view target() const override { return target_; }
  [[nodiscard]] std::string_view header(std::string_view /*name*/) const override { return {}; }
  [[nodiscard]] std::vector<HttpHeader> headers() const override { return {}; }
  [[nodiscard]] const std::string& body() const override { return body_; }
  [[nodiscard]] bool accepts_chunks() const override { return true; }
  [[nodiscard]] boost::asio::any_io_executor executor() const override { return executor_; }
  boost::asio::awaitable<void> respond(int status, std::string_view /*content_type*/,
                                       std::string body,
                                       std::vector<HttpHeader> /*headers*/) override {
    reply.progress = HttpProgress::kAnswered;
    reply.status = status;
    reply.body = std::move(body);
    co_return;
  }
  boost::asio::awaitable<bool> start_stream(std::string_view /*type*/) override { co_return false; }
  boost::asio::awaitable<bool> start_response(const ResponseHead& /*head*/) override {
    co_return false;
  }
  boost::asio::awaitable<bool> write(std::string_view /*bytes*/) override { co_return false; }
  boost::asio::awaitable<bool> write_ahead(std::string_view /*bytes*/) override { co_return false; }
  boost::asio::awaitable<bool> flush() override { co_return false; }
  boost::asio::awaitable<bool> finish_stream() override { co_return false; }
  void abort() override {}
  void watch_disconnect(std::function<void()> /*on_disconnect*/) override {}

 private:
  std::string target_;
  std::string body_;
  boost::asio::any_io_executor executor_;
};

/// One life of a node, from a start to the next.
struct NodeLife {
  NodeLife(const std::shared_ptr<SharedStore>& store, const std::string& name,
           PeerTopicReader::Source source, PeerTopicReader::Call call)
      : log(store),
        reader(
            store->executor, log, std::move(source), [](const std::string&) {}, std::move(call)),
        jobs(store->executor, log, name) {
    jobs.set_replica_sharer([this, store](const std::shared_ptr<PartitionReplica>& replica,
                                          TopicCache& cache) {
      replica->set_follow_reader(reader);
      service.add(replica, cache);
      ++followers;
      boost::asio::co_spawn(store->executor, replica->follow([this] { return alive; }, kReadPause),
                            [this](const std::exception_ptr&) { --followers; });
    });
  }
  /// Ends this life: its coroutines end without an effect on the log.
  void end() {
    alive = false;
    log.cut();
  }

  static constexpr Duration kReadPause = std::chrono::milliseconds(250);

  bool alive = true;
  int followers = 0;
  VisibilityLog log;
  PeerTopicReader reader;
  TopicService service;
  JobStore jobs;
};

/// The nodes. Each reads from the log or through a node with a lower number, which changes.
class VisibilityFleet {
 public:
  VisibilityFleet(const std::shared_ptr<SharedStore>& store, std::size_t size)
      : store_(store), lives_(size, nullptr) {
    for (std::size_t node = 0; node < size; ++node) start(node);
  }

  /// Starts a node anew.
  void start(std::size_t node) {
    if (lives_[node] != nullptr) lives_[node]->end();
    const std::string name = "n" + std::to_string(node) + "-" + std::to_string(all_.size());
    const auto source = [this, node]() -> std::optional<std::string> {
      constexpr std::uint64_t kFromPeer = 800;
      if (node == 0 || !store_->happens(kFromPeer)) return std::nullopt;
      return std::to_string(store_->random.below(node));
    };
    const auto call = [this](HttpCall to_peer) { return call_peer(std::move(to_peer)); };
    all_.push_back(std::make_unique<NodeLife>(store_, name, source, call));
    lives_[node] = all_.back().get();
  }
  [[nodiscard]] NodeLife& node(std::size_t number) { return *lives_[number]; }
  [[nodiscard]] std::size_t size() const { return lives_.size(); }
  /// Returns the number of coroutines that follow a partition.
  [[nodiscard]] int followers() const {
    int sum = 0;
    for (const auto& life : all_) sum += life->followers;
    return sum;
  }

 private:
  boost::asio::awaitable<HttpReply> call_peer(HttpCall call) {
    NodeLife& asked = *lives_[std::stoul(call.address)];
    const TimePoint sent = monotonic_now();
    HttpReply reply;
    const Duration latency = store_->latency();
    co_await store_->delay(latency);
    if (!asked.alive) co_return reply;
    KeptExchange exchange(call.target, store_->executor);
    co_await asked.service.serve(exchange);
    const Duration back = store_->latency();
    co_await store_->delay(back);
    reply.progress = HttpProgress::kSent;
    const bool lost = store_->happens(store_->faults.read_lost) || !asked.alive;
    if (lost || monotonic_now() - sent > call.timeout) co_return reply;
    co_return exchange.reply;
  }

  std::shared_ptr<SharedStore> store_;
  std::vector<std::unique_ptr<NodeLife>> all_;  ///< Also ended lives, whose calls may be in flight.
  std::vector<NodeLife*> lives_;
};

}  // namespace stoathold
