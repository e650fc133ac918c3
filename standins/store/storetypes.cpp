#include "standins/store/storetypes.h"

#include <algorithm>

namespace mulberrysail::standins {

namespace {

constexpr std::string_view kNoEnd{ "\0", 1 };

bool
AnyWrites(const std::vector<StoreOp>& aOps)
{
  return std::any_of(aOps.begin(), aOps.end(), [](const StoreOp& aOp) {
    return !std::holds_alternative<RangeOp>(aOp);
  });
}

} // namespace

bool
KeyRange::Contains(std::string_view aKey) const
{
  if (m_end.empty()) {
    return aKey == m_key;
  }
  return aKey >= m_key && (m_end == kNoEnd || aKey < m_end);
}

bool
Txn::Writes() const
{
  return AnyWrites(m_success) || AnyWrites(m_failure);
}

} // namespace mulberrysail::standins
