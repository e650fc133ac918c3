#include "store/internal/unreadablevalues.h"

#include <utility>

namespace mulberrysail::store {

UnreadableValues::UnreadableValues(Hook aHook)
  : m_hook(std::move(aHook))
{
}

void
UnreadableValues::Report(const StoredValue& aValue, std::string_view aReason)
{
  constexpr std::size_t kMaxValueBytes = 100;
  std::int64_t& reported = m_reportedRevisions[aValue.m_key];
  if (reported == aValue.m_modRevision) {
    return;
  }
  reported = aValue.m_modRevision;
  if (m_hook) {
    m_hook(aValue.m_key + ": " + std::string(aReason) + "; found \"" +
           aValue.m_value.substr(0, kMaxValueBytes) + "\"");
  }
}

void
UnreadableValues::Remove(const std::string& aKey)
{
  m_reportedRevisions.erase(aKey);
}

} // namespace mulberrysail::store
