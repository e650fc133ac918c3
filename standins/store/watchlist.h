#pragma once

#include "network/ihttpserver.h"
#include "standins/store/keyvaluestore.h"

#include <cstdint>
#include <map>
#include <memory>

namespace mulberrysail::standins {

/** The open watches. Each change is written to those that cover its key. */
class WatchList
{
public:
  explicit WatchList(const KeyValueStore& aStore);

  /** Opens a watch.
   * @param aStart the first revision wanted; 0 for what comes from now on. */
  void Open(std::uint64_t aId,
            const KeyRange& aRange,
            std::int64_t aStart,
            std::shared_ptr<network::IHttpStream> aStream);

  void Forget(std::uint64_t aId) { m_watches.erase(aId); }

  /** Writes what has changed since the last call. */
  void Deliver();

  /** Ends all watches. */
  void CloseAll();

  std::size_t Size() const { return m_watches.size(); }

private:
  struct Watch
  {
    KeyRange m_range;
    std::int64_t m_next = 0;
    std::shared_ptr<network::IHttpStream> m_stream;
  };

  bool DeliverTo(Watch& aWatch);

  const KeyValueStore& m_store;
  std::map<std::uint64_t, Watch> m_watches;
};

} // namespace mulberrysail::standins
