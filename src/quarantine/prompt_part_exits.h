/// @file
/// Finds the prompt parts that make runners exit, by comparing the requests under which runners
/// exited with those that runners answered.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "quarantine/prompt_parts.h"
#include "quarantine/runner_starts.h"

namespace stoathold {

/// A runner exited while it had a request, before the first event of the response.
struct PromptPartExit {
  RunnerStart start;
  ContentHash content{};
  std::uint64_t tenant = 0;  ///< Hash of the tenant's name.
  /// Suspected parts of its prompt, in their order. Those of a long prompt may be added in several
  /// steps, each of which ends with the last part of the prompt.
  std::vector<PartHash> parts;
  PartHash own_part{};  ///< Last part of the prompt; set when the exit is added.
  TimePoint at{};
  bool observed_locally = false;  ///< By this node itself.
};

/// A prompt part that explains several exits.
struct PoisonPart {
  PartHash part{};
  std::uint32_t exits = 0;                    ///< Runner starts that exited with the part.
  std::unordered_set<std::uint64_t> tenants;  ///< Whose requests had the part at these exits.
  bool observed_locally = false;              ///< This node observed one of the exits itself.
};

/// Runner exits and the prompt parts of the requests that were there. Used on one thread.
///
/// An exit is evidence against all parts of the request's prompt. An answer is evidence for all
/// parts of its prompt: exits up to `kServedValidity` after it are not held against them. Of the
/// parts that remain, the last one in the prompt is the poison, because earlier ones are shared by
/// more requests. The last part of a prompt belongs to the request itself; it is the poison only if
/// it explains all exits of the parts before it.
class PromptPartExits {
 public:
  /// Time after an answer with a part for which exits are not held against the part.
  static constexpr Duration kServedValidity = std::chrono::seconds(2);
  /// Minimum number of runner starts that exited with a poison part.
  static constexpr std::size_t kMinExits = 3;
  /// The same, if all of them may still be those of one or two parts after it.
  static constexpr std::size_t kMinAmbiguousExits = 5;
  /// Minimum number of different requests with a poison part. Copies of one request are recognized
  /// by their content instead.
  static constexpr std::size_t kMinContents = 2;
  /// Minimum age of the first exit. When many runners exit at once for another reason, the answers
  /// that they were sending become known within this time.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(200);

  /// Returns whether an exit of a runner is known not to have happened.
  using RefutationSource = std::function<bool(const RunnerStart& start, TimePoint at)>;
  explicit PromptPartExits(RefutationSource is_refuted) : is_refuted_(std::move(is_refuted)) {}

  /// Adds an exit, or more parts of the prompt of one that is known.
  /// @return whether anything was new.
  bool add(PromptPartExit exit);
  /// Records that a runner delivered events of a request with this part. Has no effect if there is
  /// no evidence against the part.
  /// @return whether other nodes need to know.
  bool record_served(PartHash part, TimePoint at);
  /// Records the same as reported by another node, which may know of evidence before this one.
  void record_reported_served(PartHash part, TimePoint at);
  /// Returns whether there is evidence against any part; answers need not be recorded otherwise.
  [[nodiscard]] bool empty() const { return exits_.empty(); }
  /// Returns the parts that explain the exits.
  [[nodiscard]] std::vector<PoisonPart> find_poison_parts(TimePoint now) const;
  /// Removes the evidence against the parts that have this key.
  void forget(ContentHash key, TimePoint at);
  /// Removes exits that are too old to count.
  void expire(TimePoint now);
  /// Number of recorded exits.
  [[nodiscard]] std::size_t size() const { return exits_.size(); }

 private:
  using Exits = std::vector<const PromptPartExit*>;
  using ExitsByPart = std::unordered_map<PartHash, Exits>;

  struct RecordedExit {
    PromptPartExit exit;
    std::unordered_set<PartHash> known_parts;  ///< Suspected now or before.
  };
  /// The exits that one part would explain, with the part that follows it in each prompt. The own
  /// part of the request does not count as following.
  struct UnexplainedExits {
    Exits without_next_part;
    Exits with_next_part;
    std::set<PartHash> next_parts;
  };
  using UnexplainedByPart = std::map<PartHash, UnexplainedExits>;

  struct Suspect {
    std::size_t exits = 0;  ///< Recorded exits that count against the part.
    TimePoint served{};     ///< Latest answer with the part.
  };

  void add_parts(RecordedExit& recorded, const PromptPartExit& reported);
  void remove_part(PromptPartExit& exit, PartHash part);
  void remove_oldest();
  [[nodiscard]] bool was_served(PartHash part, TimePoint exit_at) const;
  /// Returns whether the exits with a part are enough to suspect it.
  static bool qualifies(const Exits& exits, TimePoint now);
  /// Returns the suspected parts with their exits.
  [[nodiscard]] ExitsByPart find_qualified(TimePoint now) const;
  /// Returns whether the requests' own last part explains all these exits with a part.
  [[nodiscard]] static bool is_explained_by_own_part(PartHash part, const Exits& exits,
                                                     const ExitsByPart& qualified);
  /// Returns the exits that no suspected part after it explains, by part. Only the last suspected
  /// part of a prompt and the request's own have such exits.
  [[nodiscard]] UnexplainedByPart find_unexplained(const ExitsByPart& qualified) const;
  /// Returns whether exits that no other part explains so far are enough to blame a part. Exits
  /// with the same few parts after it may turn out to be theirs.
  [[nodiscard]] static bool are_attributable(const UnexplainedExits& exits);

  RefutationSource is_refuted_;
  std::deque<RecordedExit> exits_;
  std::size_t recorded_parts_ = 0;  ///< Sum of the sizes of `RecordedExit::known_parts`.
  std::unordered_map<PartHash, Suspect> suspects_;
};

}  // namespace stoathold
