#include "core/types/messages.h"

#include "core/internal/overloaded.h"

namespace mulberrysail::core {

std::string_view
FateName(AttemptFate aFate)
{
  switch (aFate) {
    case AttemptFate::Refused:
      return "refused";
    case AttemptFate::Revoked:
      return "revoked";
    case AttemptFate::Running:
      return "running";
    case AttemptFate::Queued:
      return "queued";
    case AttemptFate::Completed:
      return "completed";
    case AttemptFate::Failed:
      return "failed";
    case AttemptFate::Lost:
      return "lost";
    case AttemptFate::Interrupted:
      return "interrupted";
  }
  return "unknown";
}

std::string_view
MessageTypeName(const Message& aMessage)
{
  return std::visit(
    Overloaded{
      [](const OfferBatch&) -> std::string_view { return "offer_batch"; },
      [](const RevokeBatch&) -> std::string_view { return "revoke_batch"; },
      [](const Reconcile&) -> std::string_view { return "reconcile"; },
      [](const FenceQuery&) -> std::string_view { return "fence_query"; },
      [](const EntryHello&) -> std::string_view { return "entry_hello"; },
      [](const ConfigUpdate&) -> std::string_view { return "config_update"; },
      [](const ConfigRequest&) -> std::string_view { return "config_request"; },
      [](const Announce&) -> std::string_view { return "announce"; },
      [](const ReportBatch&) -> std::string_view { return "report_batch"; },
      [](const FenceReply&) -> std::string_view { return "fence_reply"; },
      [](const PeerHello&) -> std::string_view { return "peer_hello"; },
      [](const PeerLoad&) -> std::string_view { return "peer_load"; },
      [](const ForwardJob&) -> std::string_view { return "forward_job"; },
      [](const ForwardResult&) -> std::string_view { return "forward_result"; },
      [](const ForwardCancel&) -> std::string_view {
        return "forward_cancel";
      } },
    aMessage);
}

} // namespace mulberrysail::core
