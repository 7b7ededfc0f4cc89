/// @file
/// Numbered events, the only means by which the programs write logs. docs/EVENTS.md is the
/// catalogue.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace stoathold {

/// All events that a program may log. Numbers are never reused.
enum class Event : int {
  kNodeStarted = 1001,
  kNodeReady = 1002,
  kNodeDraining = 1003,
  kNodeStopped = 1004,
  kSettingsRefused = 1005,
  kSettingsReloaded = 1006,
  kLogLinesLeftOut = 1007,
  kStartProgress = 1008,
  kNodeDrained = 1009,
  kMemberSuspected = 1101,
  kMemberDead = 1102,
  kMemberAlive = 1103,
  kMachineListUnreadable = 1104,
  kMemberUnreachable = 1105,
  kConfigurationApplied = 1201,
  kResourceChanged = 1202,
  kResourceRefused = 1203,
  kConfigurationFromPeer = 1204,
  kLeaseGained = 1301,
  kLeaseLost = 1302,
  kLogUnanswered = 1303,
  kJobAccepted = 1401,
  kJobCancelled = 1402,
  kJobSubmitted = 1403,
  kJobStarted = 1404,
  kJobFinished = 1405,
  kJobEndAsked = 1406,
  kItemAttemptFailed = 1407,
  kItemDone = 1408,
  kItemUnreadable = 1409,
  kSlotsChanged = 1410,
  kItemListed = 1411,
  kJobLoadRetried = 1412,
  kJobLoaded = 1414,
  kItemsOpen = 1415,
  kJobReadFailed = 1416,
  kItemRestarted = 1417,
  kResultRejected = 1418,
  kItemTextTooLong = 1419,
  kJobDiscoveryRetried = 1420,
  kRequestRefused = 1501,
  kRequestFailed = 1502,
  kRunnerEjected = 1503,
  kRunnerRecovered = 1504,
  kAttemptFailed = 1505,
  kRequestUnanswered = 1506,
  kNoRoute = 1507,
  kRequestServed = 1508,
  kRequestEnded = 1509,
  kRequestSent = 1510,
  kRequestSentAgain = 1511,
  kRunnerEjectedByPeers = 1512,
  kCallRelayed = 1513,
  kCallerRefused = 1514,
  kTenantOverLimit = 1515,
  kRequestQuarantined = 1516,
  kQuarantineEnded = 1517,
  kRunnerEndedWithRequest = 1518,
  kDenialUnconfirmed = 1519,
  kRunnerEndUnproven = 1520,
  kQuarantineTrial = 1521,
  kStreamResumed = 1522,
  kResumptionRefused = 1523,
  kResponseCutOff = 1524,
  kRunnerListed = 1601,
  kRunnerGone = 1602,
  kRecordMalformed = 1603,
  kStoreLost = 1604,
  kStoreRegained = 1605,
  kPeersChanged = 1606,
  kReplicaReset = 1607,
  kPeerDatagramFailed = 1608,
  kStoreTraffic = 1609,
  kRunnerRestarted = 1610,
  kPeerTraffic = 1611,
  kTopicSourceFailed = 1612,
  kReadThrew = 1613,
  kStoreReplyRefused = 1614,
  kWaitRejected = 1700,
  kTenantAboveShare = 1710,
  kUrgentKindServedLess = 1711,
  kLimitShareGivenBack = 1712,
  kSlownessReported = 1720,
  kSlownessRefused = 1721,
  kSlotsBorrowed = 1730,
  kSlotLoansExpired = 1731,
  kMemoryBudget = 1740,
  kBodyRefusedForRoom = 1741,
  kSlowCallerCutOff = 1742,
  kConnectionClosedForRoom = 1743,
  kRunnerMemoryFull = 1744,
  kEmulatorStarted = 1901,
  kEmulatorFault = 1902,
};

/// Severity of an event.
enum class EventLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One entry of the catalogue.
struct EventEntry {
  Event event;
  std::string_view name;
  EventLevel level;
  std::string_view meaning;
};

/// Returns the whole catalogue in ascending order of event numbers.
std::span<const EventEntry> event_catalogue();

/// Name and value of an event's field.
using EventField = std::pair<std::string_view, std::string>;

/// Format of a log line.
enum class LogFormat : std::uint8_t { kText, kJson };

/// Returns the level with this name; `kInfo` if there is none.
EventLevel parse_event_level(std::string_view name);

/// Starts logging to standard error. Called once, at process start.
void start_event_log(LogFormat format, EventLevel min_level);
/// Starts logging to standard output for a process that must never block on its log: lines pass
/// through a bounded buffer to a writer thread, and lines that do not fit are dropped and counted.
/// Each line carries the node's name. Called once, at process start.
void start_bounded_event_log(EventLevel min_level, const std::string& node);
/// Waits until the lines logged so far are written; for use at process exit.
/// @return false if `timeout` has passed before because nobody reads the output. The writer thread
/// is blocked then, so the process must exit with `std::_Exit`.
bool flush_event_log(Duration timeout);
/// Returns the number of lines dropped since the start, by the rate limit of an event or because
/// the buffer was full.
std::uint64_t dropped_log_lines();
/// Logs one event. Thread safe.
void log_event(Event event, std::initializer_list<EventField> fields);

}  // namespace stoathold
