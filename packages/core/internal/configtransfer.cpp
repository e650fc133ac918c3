#include "core/internal/configtransfer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mulberrysail::core {

namespace {

/** A part of this size takes 33 ms on a link of 2 Mbit/s. */
constexpr std::size_t kPartBytes = 8192;
/** A larger document is not received. */
constexpr std::uint64_t kMaxDocumentBytes = 16ULL << 20U;
/** A part that has not arrived after this time is requested again. */
constexpr Duration kPartTimeout = std::chrono::milliseconds(500);

std::uint64_t
DigestOf(const std::string& aDocument)
{
  return XXH3_64bits(aDocument.data(), aDocument.size());
}

} // namespace

ConfigCopy
MakeConfigCopy(ConfigVersion aVersion, std::string aDocument)
{
  const std::uint64_t digest = DigestOf(aDocument);
  return { aVersion, std::move(aDocument), digest };
}

std::optional<ConfigUpdate>
MakeConfigUpdate(const ConfigCopy& aCopy, const ConfigRequest& aRequest)
{
  if (aCopy.m_version <= aRequest.m_knownVersion) {
    return std::nullopt;
  }
  const bool continues = aRequest.m_version == aCopy.m_version &&
                         aRequest.m_digest == aCopy.m_digest &&
                         aRequest.m_offset <= aCopy.m_document.size();
  ConfigUpdate update;
  update.m_version = aCopy.m_version;
  update.m_digest = aCopy.m_digest;
  update.m_size = aCopy.m_document.size();
  update.m_offset = continues ? aRequest.m_offset : 0;
  update.m_part = aCopy.m_document.substr(update.m_offset, kPartBytes);
  return update;
}

bool
ConfigTransfer::IsInProgress(Instant aNow) const
{
  return m_source.has_value() && aNow < m_requestedAt + kPartTimeout;
}

ConfigRequest
ConfigTransfer::Start(const ProcessId& aSource,
                      ConfigVersion aKnown,
                      Instant aNow)
{
  m_source = aSource;
  m_known = aKnown;
  m_requestedAt = aNow;
  if (m_partial.m_version <= aKnown) {
    m_partial = {};
    m_size = 0;
  }
  return NextRequest();
}

std::optional<ConfigRequest>
ConfigTransfer::Add(const ProcessId& aFrom,
                    const ConfigUpdate& aUpdate,
                    Instant aNow)
{
  if (aFrom != m_source || aUpdate.m_version <= m_known ||
      aUpdate.m_part.empty() || aUpdate.m_size > kMaxDocumentBytes) {
    return std::nullopt;
  }
  const bool continues = aUpdate.m_version == m_partial.m_version &&
                         aUpdate.m_digest == m_partial.m_digest;
  if (!continues) {
    if (aUpdate.m_offset != 0) {
      return std::nullopt;
    }
    m_partial = { aUpdate.m_version, {}, aUpdate.m_digest };
    m_size = aUpdate.m_size;
  }
  if (aUpdate.m_offset != m_partial.m_document.size()) {
    return std::nullopt;
  }
  m_partial.m_document += aUpdate.m_part;
  m_requestedAt = aNow;
  if (m_partial.m_document.size() < m_size) {
    return NextRequest();
  }
  m_source.reset();
  m_isComplete = DigestOf(m_partial.m_document) == m_partial.m_digest;
  if (!m_isComplete) {
    m_partial = {};
  }
  return std::nullopt;
}

std::optional<ConfigCopy>
ConfigTransfer::TakeCompleted()
{
  if (!std::exchange(m_isComplete, false)) {
    return std::nullopt;
  }
  return std::exchange(m_partial, {});
}

ConfigRequest
ConfigTransfer::NextRequest() const
{
  return { m_known,
           m_partial.m_version,
           m_partial.m_digest,
           m_partial.m_document.size() };
}

} // namespace mulberrysail::core
