#pragma once

#include "protocol/codec.h"

#include <mulberrysail.pb.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace mulberrysail::protocol {

/** Converts the body of one envelope and checks the range of its fields. Keeps
 * the first fault; a message with a fault must not be used. */
class BodyReader
{
public:
  /** @return the message; absent if the envelope has no body of a known type.
   */
  std::optional<core::Message> Read(wire::Envelope& aFrom);

  /** @return what was wrong first; empty if nothing was. */
  std::string_view Fault() const { return m_fault; }

private:
  /** Most bytes of payloads that a batch of offers or a job may repeat; a short
   * malformed message must not fill the memory. */
  static constexpr std::size_t kMaxRepeatedBytes = 64ULL << 20U;

  /** @param aLast the last enumerator.
   * @return the enumerator @p aNumber; the first one, and a fault, if there is
   * none. */
  template<typename Enum>
  Enum CheckedEnum(std::uint32_t aNumber, Enum aLast)
  {
    if (aNumber > static_cast<std::uint32_t>(aLast)) {
      AddFault("an enumeration field has an unknown value");
      return Enum{};
    }
    return static_cast<Enum>(aNumber);
  }

  core::Duration ReadDuration(std::int64_t aMicroseconds);
  core::Instant ReadInstant(std::int64_t aMicroseconds);
  /** @return the expected run time of a task; a longer one than a day counts as
   * a day. */
  core::Duration ReadRunTime(std::int64_t aMicroseconds);
  core::Resources ReadResources(const wire::Resources& aFrom);
  core::AttemptFate ReadFate(wire::AttemptFate aFrom);
  core::ErrorKind ReadKind(std::uint32_t aFrom);
  std::vector<core::PriorityWork> ReadWork(
    const google::protobuf::RepeatedPtrField<wire::PriorityWork>& aFrom);
  core::Demand ReadDemand(const wire::Demand& aFrom);
  core::LoadReport ReadLoad(const wire::LoadReport& aFrom);
  core::RevokeBatch ReadBody(const wire::RevokeBatch& aFrom);
  core::Reconcile ReadBody(const wire::Reconcile& aFrom);
  core::FenceQuery ReadBody(const wire::FenceQuery& aFrom);
  core::EntryHello ReadBody(const wire::EntryHello& aFrom);
  core::ConfigUpdate ReadBody(const wire::ConfigUpdate& aFrom);
  core::ConfigRequest ReadBody(const wire::ConfigRequest& aFrom);
  core::WorkerCrash ReadCrash(const wire::WorkerCrash& aFrom);
  core::Announce ReadBody(const wire::Announce& aFrom);
  core::PeerHello ReadBody(const wire::PeerHello& aFrom);
  core::PeerLoad ReadBody(const wire::PeerLoad& aFrom);
  core::ForwardCancel ReadBody(const wire::ForwardCancel& aFrom);
  core::WorkerInfo ReadWorker(const wire::WorkerInfo& aFrom);
  core::TaskSpec ReadTask(wire::ForwardedTask& aFrom);
  core::Offer ReadOffer(wire::Offer& aFrom);
  core::AttemptReport ReadReport(wire::AttemptReport& aFrom);
  core::OfferBatch ReadBody(wire::OfferBatch& aFrom);
  core::ReportBatch ReadBody(wire::ReportBatch& aFrom);
  core::FenceReply ReadBody(wire::FenceReply& aFrom);
  core::ForwardJob ReadBody(wire::ForwardJob& aFrom);
  core::ForwardResult ReadBody(wire::ForwardResult& aFrom);

  /** @param aText must outlive this object. */
  void AddFault(std::string_view aText);

  std::string_view m_fault;
};

} // namespace mulberrysail::protocol
