#include "network/internal/messageoutbox.h"

#include "core/messagemerging.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <utility>

namespace mulberrysail::network {

void
MergeMessages(std::vector<OutgoingMessage>& aMessages)
{
  if (aMessages.size() < 2) {
    return;
  }
  std::vector<OutgoingMessage> merged;
  // The names of the recipients are referenced, so elements must not move.
  merged.reserve(aMessages.size());
  std::unordered_map<std::string_view, std::size_t> lastByRecipient;
  for (OutgoingMessage& message : aMessages) {
    const auto last = lastByRecipient.find(message.m_to.m_name);
    if (last != lastByRecipient.end()) {
      OutgoingMessage& earlier = merged[last->second];
      if (earlier.m_to == message.m_to &&
          core::MergeInto(earlier.m_message, message.m_message)) {
        continue;
      }
    }
    merged.push_back(std::move(message));
    lastByRecipient.insert_or_assign(merged.back().m_to.m_name,
                                     merged.size() - 1);
  }
  aMessages = std::move(merged);
}

MessageOutbox::MessageOutbox()
  : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  if (m_descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

MessageOutbox::~MessageOutbox()
{
  close(m_descriptor);
}

void
MessageOutbox::Push(OutgoingMessage aMessage, core::Instant aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_oldestAt = std::min(m_contents.m_oldestAt, aNow);
  m_contents.m_messages.push_back(std::move(aMessage));
  WakeReader();
}

void
MessageOutbox::SetPeers(std::vector<PeerAddress> aPeers)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_peers = std::move(aPeers);
  WakeReader();
}

void
MessageOutbox::RequestStop()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_contents.m_stop = true;
  WakeReader();
}

bool
MessageOutbox::PrepareToWait()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_readerWaits =
    m_contents.m_messages.empty() && !m_contents.m_peers && !m_contents.m_stop;
  m_oldestTakenAt = core::kNever;
  return m_readerWaits;
}

MessageOutbox::Contents
MessageOutbox::TakeAll()
{
  Contents contents;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_readerWaits = false;
    if (std::exchange(m_wakeIsPending, false)) {
      eventfd_t count = 0;
      static_cast<void>(eventfd_read(m_descriptor, &count));
    }
    m_oldestTakenAt = m_contents.m_oldestAt;
    contents = std::exchange(m_contents, {});
  }
  MergeMessages(contents.m_messages);
  return contents;
}

core::Instant
MessageOutbox::OldestUnsentAt() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return std::min(m_oldestTakenAt, m_contents.m_oldestAt);
}

void
MessageOutbox::WakeReader()
{
  if (std::exchange(m_readerWaits, false)) {
    m_wakeIsPending = true;
    static_cast<void>(eventfd_write(m_descriptor, 1));
  }
}

} // namespace mulberrysail::network
