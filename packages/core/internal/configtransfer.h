#pragma once

#include "core/types/messages.h"
#include "core/types/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mulberrysail::core {

/** The document of one configuration version, as peers receive it. */
struct ConfigCopy
{
  ConfigVersion m_version;
  std::string m_document;
  /** Hash of m_document. Parts of a document can be combined only if they carry
   * the same version and digest. */
  std::uint64_t m_digest = 0;
};

ConfigCopy
MakeConfigCopy(ConfigVersion aVersion, std::string aDocument);

/**
 * Makes the next part that a peer needs of a configuration. A part is small, so
 * that it doesn't delay the messages behind it on a slow link.
 * @return absent if the peer knows @p aCopy's version already.
 */
std::optional<ConfigUpdate>
MakeConfigUpdate(const ConfigCopy& aCopy, const ConfigRequest& aRequest);

/** Receives a configuration in parts. At most one part is requested at a time.
 * After a stall the transfer continues with the next part, also from another
 * peer. */
class ConfigTransfer
{
public:
  /** @return whether a part is pending that may still arrive. */
  bool IsInProgress(Instant aNow) const;

  /** Selects the peer from which the next part is requested.
   * @param aKnown the version of this process.
   * @return the request to send to @p aSource. */
  ConfigRequest Start(const ProcessId& aSource,
                      ConfigVersion aKnown,
                      Instant aNow);

  /** Adds a part. Parts that were not requested are ignored.
   * @return the request for the next part from the same peer; absent if the
   * part was ignored or was the last one. */
  std::optional<ConfigRequest> Add(const ProcessId& aFrom,
                                   const ConfigUpdate& aUpdate,
                                   Instant aNow);

  /** @return the received configuration, once it is complete; the transfer is
   * then reset. */
  std::optional<ConfigCopy> TakeCompleted();

private:
  ConfigRequest NextRequest() const;

  std::optional<ProcessId> m_source;
  ConfigVersion m_known;
  Instant m_requestedAt;
  /** The parts received so far, and the size of the whole document. */
  ConfigCopy m_partial;
  std::uint64_t m_size = 0;
  bool m_isComplete = false;
};

} // namespace mulberrysail::core
