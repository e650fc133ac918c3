#include "store/istore.h"

namespace mulberrysail::store {

void
MarkTransactions(std::vector<StoredValue>& aChanges)
{
  for (std::size_t i = 0; i + 1 < aChanges.size(); ++i) {
    aChanges[i].m_moreAtRevision =
      aChanges[i].m_changeRevision == aChanges[i + 1].m_changeRevision;
  }
}

} // namespace mulberrysail::store
