/// @file
/// Client interface of the platform's list of running and leaving machines.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/membership.h"
#include "core/runner_table.h"
#include "net/http.h"

namespace stoathold {

/// The machine list as last read. It may be out of date and is only a hint.
struct MachineList {
  std::vector<ListedNode> nodes;
  std::vector<ListedRunner> runners;
};

/// Result of reading the machine list.
enum class MachineListStatus : std::uint8_t {
  kUnreadable,
  kUnchanged,  ///< The list has not changed since the last read.
  kChanged,
};

/// Reads the machine list. Thread safe; at most one read at a time.
class MachineListClient {
 public:
  /// Called once for each read, on any thread; `list` is set only for `kChanged`.
  using Done = std::function<void(MachineListStatus status, const MachineList& list)>;

  virtual ~MachineListClient() = default;
  virtual void read(Done done) = 0;
};

/// Creates a client for the HTTP protocol: `GET /v1/machines` returns the JSON that
/// `parse_machine_list` reads, with an `etag`. The next read sends it as `if-none-match`; status
/// 304 means that the list has not changed.
std::unique_ptr<MachineListClient> make_http_machine_list_client(
    const boost::asio::any_io_executor& executor, std::string address, Duration timeout);

/// Parses
/// `{"machines":[{"role":"node|runner","name","region","zone","address","service","state"}]}`.
/// Returns false if the body is malformed.
bool parse_machine_list(const std::string& body, MachineList& list);

}  // namespace stoathold
