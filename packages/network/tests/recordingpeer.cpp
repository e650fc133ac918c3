#include "network/tests/recordingpeer.h"

#include <cppunit/TestAssert.h>

#include <algorithm>

namespace mulberrysail::network {

RecordingPeer::RecordingPeer(core::ProcessId aSelf,
                             bool aListen,
                             std::uint16_t aPort,
                             std::uint32_t aHighWaterMark)
  : m_self(std::move(aSelf))
{
  TransportHooks hooks;
  hooks.m_onMessage = [this](core::MessageReceived aReceived) {
    UpdateRecord([&](Record& aRecord) {
      aRecord.m_messages.emplace_back(std::move(aReceived.m_from),
                                      std::move(aReceived.m_message));
    });
  };
  hooks.m_onLinkOpened = [this](core::ProcessId aPeer) {
    UpdateRecord([&](Record& aRecord) { aRecord.m_links.push_back(aPeer); });
  };
  hooks.m_onSendFailed = [this](core::ProcessId aTo, const core::Message&) {
    UpdateRecord(
      [&](Record& aRecord) { aRecord.m_sendFailures.push_back(aTo); });
  };
  hooks.m_onRejected = [this](std::string aDetail) {
    UpdateRecord(
      [&](Record& aRecord) { aRecord.m_rejected.push_back(aDetail); });
  };
  hooks.m_stamp = [] { return std::uint64_t(77); };
  hooks.m_mergeStamp = [this](std::uint64_t aStamp) {
    UpdateRecord([&](Record& aRecord) { aRecord.m_mergedStamp = aStamp; });
  };
  core::Result<std::unique_ptr<IMessageTransport>> transport =
    StartMessageTransport(
      { m_self, aListen ? "127.0.0.1" : "", aPort, aHighWaterMark }, hooks);
  CPPUNIT_ASSERT(transport);
  m_transport = std::move(transport).value();
}

RecordingPeer::~RecordingPeer()
{
  m_transport->Stop();
}

std::string
RecordingPeer::Url() const
{
  return "tcp://127.0.0.1:" + std::to_string(m_transport->Port());
}

void
RecordingPeer::ConnectTo(const RecordingPeer& aPeer)
{
  m_transport->SetPeers({ { aPeer.Url() } });
}

bool
RecordingPeer::WaitFor(const std::function<bool(const Record&)>& aCondition,
                       std::chrono::milliseconds aTimeout)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_changed.wait_for(
    lock, aTimeout, [&] { return aCondition(m_record); });
}

bool
RecordingPeer::WaitForLinks(const core::ProcessId& aPeer, std::size_t aCount)
{
  return WaitFor([&](const Record& aRecord) {
    const std::vector<core::ProcessId>& links = aRecord.m_links;
    return static_cast<std::size_t>(
             std::count(links.begin(), links.end(), aPeer)) >= aCount;
  });
}

bool
RecordingPeer::WaitForMessages(std::size_t aCount)
{
  return WaitFor(
    [&](const Record& aRecord) { return aRecord.m_messages.size() >= aCount; });
}

RecordingPeer::Record
RecordingPeer::Snapshot()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_record;
}

void
RecordingPeer::UpdateRecord(const std::function<void(Record&)>& aChange)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  aChange(m_record);
  m_changed.notify_all();
}

} // namespace mulberrysail::network
