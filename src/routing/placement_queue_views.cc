// Views of the placement queue for load reports, rejection reviews and operators.
#include <algorithm>

#include "base/ids.h"
#include "base/saturating_cast.h"
#include "routing/placement_queue.h"

namespace stoathold {
namespace {

ZoneBacklog::Group backlog_group(const PlacementRequest& request) {
  return {stable_hash(request.selection.service), saturating_cast<std::uint8_t>(request.priority)};
}

}  // namespace

std::size_t PlacementQueue::waiting(WorkClass work) const {
  return static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [work](const auto& ticket) { return ticket->request_.work == work; }));
}

std::vector<ServiceDemand> PlacementQueue::online_demand() const {
  const TimePoint now = monotonic_now();
  std::map<std::string, ServiceDemand> waiting;
  for (const auto& ticket : waiting_) {
    const PlacementRequest& request = ticket->request_;
    if (!is_online(request)) continue;
    ServiceDemand& demand = waiting[request.selection.service];
    if (can_be_in_time(request, now)) ++(yields_slots(request) ? demand.yielding : demand.waiting);
  }
  for (const auto& [service, time] : preempted_at_) {
    if (now - time < kDemandReportDuration) waiting.try_emplace(service);
  }
  std::vector<ServiceDemand> demand;
  for (auto& [service, of_service] : waiting) {
    of_service.service = stable_hash(service);
    demand.push_back(of_service);
  }
  return demand;
}

std::vector<WaitingRequest> PlacementQueue::online_work(TimePoint now) const {
  std::vector<WaitingRequest> work;
  for (const auto& ticket : waiting_) {
    const PlacementRequest& request = ticket->request_;
    if (!is_online(request) || ticket->cancelled_) continue;
    work.push_back({stable_hash(request.selection.service), request.due - now, request.slot_time});
  }
  return work;
}

/// Returns the waiting online requests, with their positions, in queue order.
std::vector<PlacementQueue::WaitingTicket> PlacementQueue::online_positions(TimePoint now) const {
  std::map<ZoneBacklog::Group, QueuedWork> totals = waiting_in_time(now);
  std::map<std::uint64_t, QueuedWork> ahead;
  std::vector<WaitingTicket> positions;
  for (const auto& ticket : waiting_) {
    const PlacementRequest& request = ticket->request_;
    if (!is_online(request)) break;
    const ZoneBacklog::Group group = backlog_group(request);
    QueuePosition position;
    for (auto total = totals.lower_bound({group.service, 0});
         total != totals.end() && !(group < total->first); ++total) {
      position.all += total->second;
    }
    const bool in_time = can_be_in_time(request, now);
    position.ahead = in_time ? ahead[group.service] : position.all;
    if (in_time && !ticket->cancelled_) ahead[group.service] += {1, request.slot_time};
    positions.push_back({ticket, position});
  }
  return positions;
}

/// Returns the position of a ticket that need not be in the queue yet.
QueuePosition PlacementQueue::queue_position(const PlacementTicket& ticket, TimePoint now) const {
  const PlacementRequest& own = ticket.request_;
  QueuePosition position;
  const auto count = [](QueuedWork& work, const PlacementRequest& request) {
    work += {1, request.slot_time};
  };
  for (const auto& other : waiting_) {
    const PlacementRequest& request = other->request_;
    if (!is_online(request) || request.priority > own.priority) break;
    if (other->cancelled_ || request.selection.service != own.selection.service) continue;
    if (other.get() == &ticket || !can_be_in_time(request, now)) continue;
    count(position.all, request);
    if (precedes(*other, ticket)) count(position.ahead, request);
  }
  if (can_be_in_time(own, now)) {
    count(position.all, own);
  } else {
    position.ahead = position.all;
  }
  return position;
}

std::map<ZoneBacklog::Group, QueuedWork> PlacementQueue::waiting_in_time(TimePoint now) const {
  std::map<ZoneBacklog::Group, QueuedWork> work;
  for (const auto& ticket : waiting_) {
    const PlacementRequest& request = ticket->request_;
    if (!is_online(request) || ticket->cancelled_ || !can_be_in_time(request, now)) continue;
    work[backlog_group(request)] += {1, request.slot_time};
  }
  return work;
}

std::map<std::string, PlacementQueue::ServiceWait> PlacementQueue::online_waits(
    TimePoint now) const {
  std::map<std::string, ServiceWait> waits;
  for (const auto& ticket : waiting_) {
    const PlacementRequest& request = ticket->request_;
    if (!is_online(request)) continue;
    ServiceWait& wait = waits[request.selection.service];
    ++wait.waiting;
    wait.in_time += can_be_in_time(request, now) ? 1 : 0;
    wait.returned += request.admission_class == AdmissionClass::kBookedRetry ? 1 : 0;
    wait.oldest = std::max(wait.oldest, now - request.arrival);
  }
  return waits;
}

void PlacementQueue::visit_online(const std::string& service, const Visitor& visitor,
                                  TimePoint now) const {
  for (const auto& [ticket, position] : online_positions(now)) {
    if (ticket->request_.selection.service == service) visitor(ticket->request_, position);
  }
}

}  // namespace stoathold
