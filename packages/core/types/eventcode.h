#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace mulberrysail::core {

/** Numbers of the events that processes write to the log and the timeline. The
 * number of a removed event is never reused. docs/EVENTS.md lists all events.
 */
enum class EventCode : std::uint16_t
{
  ProcessStarted = 100,
  ProcessDraining = 101,
  ProcessStopped = 102,
  SettingsRejected = 103,
  SettingsRead = 104,
  LogLimited = 110,
  RotationLeft = 111,
  RotationJoined = 112,

  SubmissionAdmitted = 200,
  SubmissionRefused = 201,
  SubmissionAnswered = 202,
  SubmissionCancelled = 203,
  CallerGone = 204,
  SubmissionRejected = 205,
  SubmissionFailed = 206,
  JobForwarded = 207,
  ForwardedJobAnswered = 208,
  ForwardFailed = 209,

  AttemptOffered = 300,
  AttemptRefused = 301,
  AttemptQueued = 302,
  AttemptStarted = 303,
  AttemptFinished = 304,
  AttemptRevoked = 305,
  AttemptLost = 306,
  AttemptReplyDropped = 307,
  AttemptRetried = 308,
  RunRejected = 309,
  RunUnclear = 310,
  AttemptFailed = 311,
  WorkGivenUp = 312,
  RevocationRepeated = 313,
  AgentSpeedLearned = 315,
  QueueIsolated = 316,
  QueueReleased = 317,

  AgentJoined = 400,
  AgentLeaving = 401,
  AgentForgotten = 402,
  EntryJoined = 403,
  EntryForgotten = 404,
  EntrySilent = 405,
  AgentSilent = 406,
  DrainedZonesChanged = 407,
  DrainedZoneUnknown = 408,
  EndpointAnnounced = 410,
  EndpointLeaving = 411,
  EndpointLapsed = 412,
  WorkerAnnounced = 420,
  WorkerLapsed = 421,
  WorkerQuarantined = 422,
  WorkerRestored = 423,
  RunsLapsed = 424,
  ForeignRunStopped = 425,
  ZoneDrainStarted = 426,
  ZoneDrainEnded = 427,
  WorkerCrashed = 428,
  AnnouncementRejected = 429,
  FencingTokenRaised = 430,
  WorkerClockDoubtful = 431,

  KeyFenced = 500,
  KeyHeld = 501,
  KeyUncertain = 502,

  ConfigInForce = 600,
  ConfigPatchAccepted = 601,
  ConfigPatchRejected = 602,
  ConfigPatchUncertain = 603,
  StoreUnavailable = 610,
  StoreRecovered = 611,
  ConfigUnreadable = 612,
  StoreWatchEnded = 613,
  ZoneDrainAccepted = 614,
  ZoneDrainRejected = 615,
  ZoneDrainsRead = 616,
  ZoneDrainUnreadable = 617,
  EntryUnreadable = 618,

  MessageRejected = 700,
  MessageDropped = 701,
};

/** One row of the event table. */
struct EventRow
{
  EventCode m_code;
  std::string_view m_name;
  std::string_view m_meaning;
};

/** @return all events, in ascending order of their numbers. */
std::span<const EventRow>
EventTable();

/** @return the name of @p aCode; "unknown" if the table lacks it. */
std::string_view
EventName(EventCode aCode);

} // namespace mulberrysail::core
