/// @file
/// Room that many compete for and that nobody can be made to give back.
///
/// A dynamic threshold, as switches use for buffers that ports share: each may hold at most a
/// multiple of what is still free. One alone gets nearly everything; the more hold a lot, the
/// smaller the part of each, and something always stays free for who comes next. So work of one
/// that cannot go on, however much there is of it, never keeps the others' work out.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace stoathold {

/// Whose work it is that takes room, by hashes of the names.
struct RoomHolder {
  std::uint64_t service = 0;
  std::uint64_t tenant = 0;
  std::uint64_t job = 0;
};

/// Bounds what one service, one tenant and one job hold of something that is counted. Used on one
/// thread.
class SharedRoom {
 public:
  /// @param size the most that all may hold together, in any unit.
  explicit SharedRoom(double size) : size_(size) {}

  /// Returns whether a holder may take more now. A service that holds nothing yet may always begin:
  /// there are as many as the configuration names.
  [[nodiscard]] bool may_take(const RoomHolder& holder) const;
  void take(const RoomHolder& holder, double amount);
  void give_back(const RoomHolder& holder, double amount);

  void set_size(double size) { size_ = size; }
  [[nodiscard]] double held() const { return held_; }
  /// Returns the size of the room in which one job alone gets so much.
  static double size_for_one_job(double amount);

 private:
  using Amounts = std::unordered_map<std::uint64_t, double>;

  static double amount_of(const Amounts& amounts, std::uint64_t name);
  static void change(Amounts& amounts, std::uint64_t name, double difference);

  double size_;
  double held_ = 0;
  Amounts services_;
  Amounts tenants_;
  Amounts jobs_;
};

}  // namespace stoathold
