/// @file
/// The messages of the peer protocol and their binary encoding (cereal).
#pragma once

#include <string>
#include <variant>

#include "core/batch_messages.h"
#include "core/membership_messages.h"
#include "core/shard_messages.h"

namespace stoathold {

using PeerMessage = std::variant<Heartbeat, ZoneSummary, ZoneDigest, DigestRequest,
                                 ConfigurationPull, ConfigurationEntries, ConfigurationSnapshot,
                                 ShardCall, ShardReply, BatchPull, BatchAssign, BatchReturn,
                                 BatchReturnAck, BatchRenew, BatchStop, OnlineNotice, ForeignView>;

/// A message and its sender, as sent in one frame.
struct PeerEnvelope {
  NodeId sender{};
  PeerMessage message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, message);
  }
};

/// Encodes an envelope for the peer protocol.
std::string encode(const PeerEnvelope& envelope);
/// Decodes an envelope; returns false on malformed bytes.
bool decode(const std::string& bytes, PeerEnvelope& envelope);

}  // namespace stoathold
