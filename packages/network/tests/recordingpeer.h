#pragma once

#include "network/imessagetransport.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrysail::network {

/** A message transport whose hooks record their calls. */
class RecordingPeer
{
public:
  struct Record
  {
    std::vector<std::pair<core::ProcessId, core::Message>> m_messages;
    std::vector<core::ProcessId> m_links;
    std::vector<core::ProcessId> m_sendFailures;
    std::vector<std::string> m_rejected;
    std::uint64_t m_mergedStamp = 0;
  };

  /** @param aListen whether the peer listens.
   * @param aPort port to listen on; 0 for any. */
  explicit RecordingPeer(core::ProcessId aSelf,
                         bool aListen,
                         std::uint16_t aPort = 0,
                         std::uint32_t aHighWaterMark = 10000);
  ~RecordingPeer();

  const core::ProcessId& Self() const { return m_self; }
  IMessageTransport& Transport() { return *m_transport; }

  /** @return the address that other peers connect to. */
  std::string Url() const;

  void ConnectTo(const RecordingPeer& aPeer);

  /** Waits until the record meets @p aCondition.
   * @return false on timeout. */
  bool WaitFor(const std::function<bool(const Record&)>& aCondition,
               std::chrono::milliseconds aTimeout = std::chrono::seconds(10));

  /** Waits until links to @p aPeer were opened @p aCount times. */
  bool WaitForLinks(const core::ProcessId& aPeer, std::size_t aCount = 1);
  bool WaitForMessages(std::size_t aCount);

  Record Snapshot();

private:
  void UpdateRecord(const std::function<void(Record&)>& aChange);

  const core::ProcessId m_self;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  Record m_record;
  std::unique_ptr<IMessageTransport> m_transport;
};

} // namespace mulberrysail::network
