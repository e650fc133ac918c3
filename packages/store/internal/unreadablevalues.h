#pragma once

#include "store/istore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace mulberrysail::store {

/** Reports values of the store that can't be read, once for each write of a
 * key, however often the key is read. Not thread-safe. */
class UnreadableValues
{
public:
  using Hook = std::function<void(const std::string& aDetail)>;

  /** @param aHook receives the key, the reason and the first bytes of the
   * value; may be empty. */
  explicit UnreadableValues(Hook aHook);

  void Report(const StoredValue& aValue, std::string_view aReason);

  /** Forgets a deleted key. */
  void Remove(const std::string& aKey);

private:
  const Hook m_hook;
  /** The revision that was reported last, by key. */
  std::map<std::string, std::int64_t> m_reportedRevisions;
};

} // namespace mulberrysail::store
