#include "core/internal/agent/zonedraincopy.h"

namespace mulberrysail::core::agent {

namespace {

/** Shortest interval between two announcements that correct an entry's copy.
 * Entries of earlier versions keep no copy, and each of their messages would
 * cause an announcement. */
constexpr Duration kCorrectionInterval = std::chrono::seconds(1);

} // namespace

void
ZoneDrainCopy::Update(EntryIndex aEntry, const ZoneDrains& aDrains)
{
  const ZoneDrains& own = m_board.m_drains;
  if (aDrains.m_revision > own.m_revision) {
    Adopt(aDrains);
    return;
  }
  EntryRecord& entry = m_board.m_entries.m_records.at(aEntry);
  const bool isOutOfDate =
    aDrains.m_revision < own.m_revision && aDrains.m_zones != own.m_zones;
  if (isOutOfDate &&
      m_board.m_now - entry.m_drainsAnnouncedAt >= kCorrectionInterval) {
    entry.m_drainsAnnouncedAt = m_board.m_now;
    entry.m_announceDue = true;
  }
}

void
ZoneDrainCopy::Adopt(const ZoneDrains& aDrains)
{
  const bool wasDrained = IsZoneDrained(m_board);
  const bool changed = aDrains.m_zones != m_board.m_drains.m_zones;
  m_board.m_drains = aDrains;
  if (!changed) {
    return;
  }
  ScheduleAnnounceToAll(m_board);
  if (IsZoneDrained(m_board) != wasDrained) {
    m_board.m_endpoint.m_recheckQueuedRequests = true;
    m_board.m_workers.m_recheckQueuedTasks = true;
    RecordChange();
  }
}

void
ZoneDrainCopy::RecordChange()
{
  const AttemptSection& attempts = m_board.m_attempts;
  const std::size_t running = attempts.m_byRun.size();
  Record(m_board,
         IsZoneDrained(m_board) ? EventCode::ZoneDrainStarted
                                : EventCode::ZoneDrainEnded,
         0,
         EventDetail()
           .Add("zone", m_board.m_policy.m_zone)
           .Add("revision", m_board.m_drains.m_revision)
           .Add("running", running)
           .Add("queued", attempts.m_open.size() - running));
}

} // namespace mulberrysail::core::agent
