// The catalogue of events, in ascending order of their numbers; docs/EVENTS.md lists the same.
#include <array>

#include "base/event_log.h"

namespace stoathold {
namespace {

constexpr std::array kCatalogue{
    EventEntry{Event::kNodeStarted, "node_started", EventLevel::kInfo,
               "The process is running and listening but is not ready yet."},
    EventEntry{Event::kNodeReady, "node_ready", EventLevel::kInfo,
               "The node has the newest configuration known to its peers and accepts work."},
    EventEntry{Event::kNodeDraining, "node_draining", EventLevel::kInfo,
               "A planned shutdown has begun: the node accepts no new work and completes work in "
               "progress."},
    EventEntry{Event::kNodeStopped, "node_stopped", EventLevel::kInfo,
               "The planned shutdown is complete; the process exits."},
    EventEntry{Event::kSettingsRefused, "settings_refused", EventLevel::kError,
               "The settings are invalid; the process does not start."},
    EventEntry{Event::kSettingsReloaded, "settings_reloaded", EventLevel::kInfo,
               "The settings file was reloaded; an invalid file changes nothing."},
    EventEntry{Event::kLogLinesLeftOut, "log_lines_left_out", EventLevel::kWarning,
               "Lines of an event were dropped to limit the log volume; `count` is their number."},
    EventEntry{Event::kStartProgress, "start_progress", EventLevel::kInfo,
               "The process reached a startup step, with the seconds since its start."},
    EventEntry{Event::kNodeDrained, "node_drained", EventLevel::kInfo,
               "A planned shutdown ends; `open_requests` counts those that are cut off because the "
               "grace period is over."},
    EventEntry{Event::kMemberSuspected, "member_suspected", EventLevel::kWarning,
               "No messages arrive from a member; it gets no new work."},
    EventEntry{Event::kMemberDead, "member_dead", EventLevel::kWarning,
               "A member is considered dead; other nodes take over its shards and items."},
    EventEntry{Event::kMemberAlive, "member_alive", EventLevel::kInfo,
               "A member sent a message for the first time, or again."},
    EventEntry{Event::kMachineListUnreadable, "machine_list_unreadable", EventLevel::kWarning,
               "The platform's machine list could not be read; the last one remains in use."},
    EventEntry{Event::kMemberUnreachable, "member_unreachable", EventLevel::kWarning,
               "A member is unreachable with its whole zone, which is partitioned or down."},
    EventEntry{Event::kConfigurationApplied, "configuration_applied", EventLevel::kInfo,
               "The node applied the configuration of a newer offset."},
    EventEntry{Event::kResourceChanged, "resource_changed", EventLevel::kInfo,
               "A change made through this node was accepted."},
    EventEntry{Event::kResourceRefused, "resource_refused", EventLevel::kInfo,
               "A change made through this node was rejected, or its outcome is unknown."},
    EventEntry{Event::kConfigurationFromPeer, "configuration_from_peer", EventLevel::kInfo,
               "Another node was asked for its configuration, because it has a newer one than the "
               "store returned to this node, or to confirm that this node's is the newest. Status "
               "0: no response."},
    EventEntry{Event::kLeaseGained, "lease_gained", EventLevel::kInfo,
               "The node acquired the lease of a job shard."},
    EventEntry{Event::kLeaseLost, "lease_lost", EventLevel::kInfo,
               "The node lost the lease of a job shard."},
    EventEntry{Event::kLogUnanswered, "log_unanswered", EventLevel::kWarning,
               "A call to the platform's log got no response; it is retried."},
    EventEntry{Event::kJobAccepted, "job_accepted", EventLevel::kInfo,
               "A batch job submitted through this node is durable."},
    EventEntry{Event::kJobCancelled, "job_cancelled", EventLevel::kInfo,
               "A batch job was cancelled through this node."},
    EventEntry{Event::kJobSubmitted, "job_submitted", EventLevel::kInfo,
               "A batch job was submitted at this node; the outcome says whether it was accepted."},
    EventEntry{Event::kJobStarted, "job_started", EventLevel::kInfo,
               "This node holds a job's slot and runs the items without a durable result."},
    EventEntry{Event::kJobFinished, "job_finished", EventLevel::kInfo,
               "All items of a job have durable results."},
    EventEntry{Event::kJobEndAsked, "job_end_asked", EventLevel::kInfo,
               "A submitter requested the end of a job at this node."},
    EventEntry{Event::kItemAttemptFailed, "item_attempt_failed", EventLevel::kInfo,
               "One attempt to run a batch item at a runner failed."},
    EventEntry{Event::kItemDone, "item_done", EventLevel::kInfo,
               "A batch item has a result, which is being written."},
    EventEntry{Event::kItemUnreadable, "item_unreadable", EventLevel::kWarning,
               "The request of a batch item is missing from the log; `action` says whether it is "
               "read again or the item is dead-lettered, since its retention has ended."},
    EventEntry{Event::kSlotsChanged, "slots_changed", EventLevel::kInfo,
               "The set of job slots that this node holds changed."},
    EventEntry{Event::kItemListed, "item_listed", EventLevel::kInfo,
               "The result of a batch item is durable; its position is final."},
    EventEntry{Event::kJobLoadRetried, "job_load_retried", EventLevel::kInfo,
               "Results, progress or requests of a job that this node runs could not be read; the "
               "read is retried."},
    EventEntry{Event::kJobLoaded, "job_loaded", EventLevel::kInfo,
               "The results and the progress of a job that this node runs were loaded."},
    EventEntry{Event::kJobReadFailed, "job_read_failed", EventLevel::kInfo,
               "A caller's read of a job got 404 (there is no such job) or 503 (it could not be "
               "read); `read_to` and `end` say how far the node has read the jobs."},
    EventEntry{Event::kItemsOpen, "items_open", EventLevel::kInfo,
               "Open items of this node by stage, with the age in seconds of the oldest in each, "
               "and the item of the job that the node has had for longest."},
    EventEntry{Event::kItemRestarted, "item_restarted", EventLevel::kInfo,
               "A batch item starts again from its first event, since no runner can continue the "
               "text that `version` began."},
    EventEntry{
        Event::kResultRejected, "result_rejected", EventLevel::kWarning,
        "The log rejected the result of a batch item; it is written again after `wait_ms`, or "
        "dropped because this node does not run the job any more."},
    EventEntry{
        Event::kItemTextTooLong, "item_text_too_long", EventLevel::kWarning,
        "The text of a batch item is longer than a node can keep; the item is not run again and "
        "is dead-lettered with its retention."},
    EventEntry{
        Event::kJobDiscoveryRetried, "job_discovery_retried", EventLevel::kInfo,
        "A partition of the jobs topic that no route leads to could not be read; the read is "
        "retried."},
    EventEntry{Event::kRequestRefused, "request_refused", EventLevel::kInfo,
               "A request was refused before any dispatch."},
    EventEntry{Event::kRequestFailed, "request_failed", EventLevel::kWarning,
               "A request failed after it had been dispatched."},
    EventEntry{Event::kRunnerEjected, "runner_ejected", EventLevel::kWarning,
               "A runner failed repeatedly and gets no work temporarily."},
    EventEntry{Event::kRunnerRecovered, "runner_recovered", EventLevel::kInfo,
               "An ejected runner served a request again."},
    EventEntry{Event::kAttemptFailed, "attempt_failed", EventLevel::kInfo,
               "One attempt to serve a request at a runner failed."},
    EventEntry{Event::kRequestUnanswered, "request_unanswered", EventLevel::kInfo,
               "No runner's response could be forwarded; the client got the gateway's own status."},
    EventEntry{Event::kNoRoute, "no_route", EventLevel::kInfo,
               "The current configuration has no route for a request; it got 404."},
    EventEntry{Event::kRequestServed, "request_served", EventLevel::kInfo,
               "A runner's complete response was forwarded."},
    EventEntry{Event::kRequestEnded, "request_ended", EventLevel::kInfo,
               "A request ended without a complete response from a runner."},
    EventEntry{Event::kRequestSent, "request_sent", EventLevel::kInfo,
               "A runner was chosen for a request or a batch item; the line lists the candidates."},
    EventEntry{Event::kRequestSentAgain, "request_sent_again", EventLevel::kInfo,
               "After a failed attempt another runner was chosen for a request or an item."},
    EventEntry{Event::kRunnerEjectedByPeers, "runner_ejected_by_peers", EventLevel::kInfo,
               "Other nodes report failed attempts at a runner; it gets no work temporarily."},
    EventEntry{Event::kCallRelayed, "call_relayed", EventLevel::kInfo,
               "A call that needs the log was forwarded to another node; status 0: no response."},
    EventEntry{Event::kCallerRefused, "caller_refused", EventLevel::kInfo,
               "A request had no API key or an unknown one; it got 401."},
    EventEntry{Event::kTenantOverLimit, "tenant_over_limit", EventLevel::kInfo,
               "A tenant exceeded its rate and burst limits over all nodes; it got 429."},
    EventEntry{Event::kRequestQuarantined, "request_quarantined", EventLevel::kWarning,
               "A request, or all requests with one prompt part (`scope`), during which several "
               "runners ended are no longer sent to any runner."},
    EventEntry{Event::kQuarantineEnded, "quarantine_ended", EventLevel::kInfo,
               "A request may be sent to runners again: its quarantine expired, or an operator "
               "lifted it."},
    EventEntry{Event::kRunnerEndedWithRequest, "runner_ended_with_request", EventLevel::kInfo,
               "A runner closed its connection before the first event of a response; the stage "
               "says whether the request had begun to run."},
    EventEntry{Event::kRunnerEndUnproven, "runner_end_unproven", EventLevel::kInfo,
               "A connection was closed before any response by a runner that may have ended before "
               "the request reached it; this is not held against the request."},
    EventEntry{
        Event::kQuarantineTrial, "quarantine_trial", EventLevel::kInfo,
        "This node claimed one run of a quarantined request, to test the quarantine; `claim` "
        "says whether it got it."},
    EventEntry{Event::kDenialUnconfirmed, "denial_unconfirmed", EventLevel::kInfo,
               "The current configuration denies a request, but neither the store nor another node "
               "confirmed that it is the newest; the request got 503."},
    EventEntry{Event::kStreamResumed, "stream_resumed", EventLevel::kInfo,
               "A caller took up a stream again, which goes on at runners of `version`; `origin` "
               "says how that is known, and `from` which node said so."},
    EventEntry{Event::kResumptionRefused, "resumption_refused", EventLevel::kInfo,
               "A stream that a caller took up again cannot go on, since it is not known which "
               "version began it or no runner can continue it; the caller got 503."},
    EventEntry{
        Event::kResponseCutOff, "response_cut_off", EventLevel::kInfo,
        "A response without a length ended with its connection, and its runner did not answer "
        "the probe after it; the response counts as incomplete. Status 0: no answer."},
    EventEntry{Event::kRunnerListed, "runner_listed", EventLevel::kInfo,
               "The directory lists a new runner, or new values for a known one."},
    EventEntry{Event::kRunnerGone, "runner_gone", EventLevel::kInfo,
               "The directory no longer lists a runner; it gets no new work."},
    EventEntry{Event::kRecordMalformed, "record_malformed", EventLevel::kWarning,
               "A record of the store could not be decoded and was skipped."},
    EventEntry{
        Event::kStoreLost, "store_lost", EventLevel::kWarning,
        "The store does not respond to this node, which continues with the last known state."},
    EventEntry{Event::kStoreRegained, "store_regained", EventLevel::kInfo,
               "The store responds to this node again."},
    EventEntry{
        Event::kPeersChanged, "peers_changed", EventLevel::kInfo,
        "The set of nodes that hold slots, or that share load reports within the zone, changed."},
    EventEntry{
        Event::kReplicaReset, "replica_reset", EventLevel::kInfo,
        "A partition's history was no longer available; its newest records were read instead."},
    EventEntry{Event::kPeerDatagramFailed, "peer_datagram_failed", EventLevel::kWarning,
               "A datagram between nodes could not be sent or received; the next one repeats the "
               "full state."},
    EventEntry{Event::kStoreTraffic, "store_traffic", EventLevel::kInfo,
               "Calls to the store since the last such line, by call and topic, with the bytes "
               "sent and received and the calls that were rejected or timed out."},
    EventEntry{Event::kRunnerRestarted, "runner_restarted", EventLevel::kInfo,
               "A runner restarted under the same id; earlier information about it is discarded."},
    EventEntry{Event::kPeerTraffic, "peer_traffic", EventLevel::kInfo,
               "Messages exchanged with other nodes in the last 5 s, by purpose: messages and "
               "bytes sent, messages and bytes received."},
    EventEntry{Event::kReadThrew, "read_threw", EventLevel::kError,
               "A read of the log ended with an exception; its callers are told that it failed."},
    EventEntry{Event::kStoreReplyRefused, "store_reply_refused", EventLevel::kWarning,
               "A reply of the store, or the pages of a read together, exceeded their limit; the "
               "call counts as unanswered."},
    EventEntry{Event::kTopicSourceFailed, "topic_source_failed", EventLevel::kInfo,
               "The node through which this one reads a topic did not answer, or its own reads "
               "fail; the topic was read from the store, and is read through another node next."},
    EventEntry{Event::kWaitRejected, "wait_rejected", EventLevel::kInfo,
               "An online request without a slot was rejected before its wait timed out; the line "
               "has the figures, with the age of the oldest report from another node."},
    EventEntry{Event::kTenantAboveShare, "tenant_above_share", EventLevel::kInfo,
               "Requests of a tenant queue behind those of others: it recently used more slot time "
               "than its weighted share."},
    EventEntry{Event::kUrgentKindServedLess, "urgent_kind_served_less", EventLevel::kWarning,
               "In the last seconds a smaller share of a route's requests got a slot than of a "
               "lower-priority route of the same service."},
    EventEntry{Event::kLimitShareGivenBack, "limit_share_given_back", EventLevel::kInfo,
               "Another node is shutting down as planned; the remaining nodes take over its share "
               "of the tenant limits."},
    EventEntry{Event::kSlownessReported, "slowness_reported", EventLevel::kInfo,
               "A runner reported the slowness of its machine; runners are now chosen by expected "
               "completion time."},
    EventEntry{Event::kSlownessRefused, "slowness_refused", EventLevel::kWarning,
               "A runner reported an invalid slowness; its load report is still used. Logged at "
               "most once in 10 s."},
    EventEntry{Event::kSlotsBorrowed, "slots_borrowed", EventLevel::kInfo,
               "Work would be late in this zone; the node, which held no slots, borrowed slots of "
               "another zone."},
    EventEntry{Event::kSlotLoansExpired, "slot_loans_expired", EventLevel::kWarning,
               "Slots lent to other zones were returned because the loans were not renewed: the "
               "borrower has ended or is partitioned."},
    EventEntry{Event::kMemoryBudget, "memory_budget", EventLevel::kInfo,
               "The memory limit of the process, its memory budget, and the maximum number of "
               "connections."},
    EventEntry{
        Event::kBodyRefusedForRoom, "body_refused_for_room", EventLevel::kWarning,
        "A request was rejected before it was read or parsed because memory is short; 413: it "
        "could not fit on a machine of this size."},
    EventEntry{Event::kSlowCallerCutOff, "slow_caller_cut_off", EventLevel::kWarning,
               "A stalled client was disconnected to free memory; the line has the bytes held for "
               "it, for how long, and how long it had made no progress."},
    EventEntry{Event::kConnectionClosedForRoom, "connection_closed_for_room", EventLevel::kWarning,
               "At the limit of connections or memory, the longest idle connection was closed for "
               "a new one, or the new one was refused or closed."},
    EventEntry{Event::kRunnerMemoryFull, "runner_memory_full", EventLevel::kInfo,
               "A runner with free slots rejected a request as full: for half a second it gets no "
               "request that would bring this node's prompt tokens there to the same number."},
    EventEntry{Event::kEmulatorStarted, "emulator_started", EventLevel::kInfo,
               "An emulated service is listening."},
    EventEntry{Event::kEmulatorFault, "emulator_fault", EventLevel::kInfo,
               "A fault of an emulated service was switched on or off."},
};

}  // namespace

std::span<const EventEntry> event_catalogue() {
  return kCatalogue;
}

}  // namespace stoathold
