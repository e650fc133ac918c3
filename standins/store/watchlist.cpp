#include "standins/store/watchlist.h"

#include "standins/store/storejson.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace mulberrysail::standins {

namespace {

using nlohmann::json;

/** The gateway writes one object a line. */
std::string
Line(json aResult, std::int64_t aRevision)
{
  aResult["header"] = HeaderJson(aRevision);
  const json object = { { "result", std::move(aResult) } };
  return object.dump() + '\n';
}

} // namespace

WatchList::WatchList(const KeyValueStore& aStore)
  : m_store(aStore)
{
}

void
WatchList::Open(std::uint64_t aId,
                const KeyRange& aRange,
                std::int64_t aStart,
                std::shared_ptr<network::IHttpStream> aStream)
{
  aStream->Write(Line({ { "created", true } }, m_store.Revision()));
  if (aStart != 0 && aStart < m_store.OldestChange()) {
    aStream->Write(
      Line({ { "canceled", true },
             { "compact_revision", std::to_string(m_store.OldestChange()) } },
           m_store.Revision()));
    aStream->Close();
    return;
  }
  const std::int64_t start = aStart != 0 ? aStart : m_store.Revision() + 1;
  Watch watch{ aRange, start, std::move(aStream) };
  if (DeliverTo(watch)) {
    m_watches.emplace(aId, std::move(watch));
  }
}

void
WatchList::Deliver()
{
  for (auto it = m_watches.begin(); it != m_watches.end();) {
    it = DeliverTo(it->second) ? std::next(it) : m_watches.erase(it);
  }
}

void
WatchList::CloseAll()
{
  for (auto& [id, watch] : m_watches) {
    watch.m_stream->Close();
  }
  m_watches.clear();
}

bool
WatchList::DeliverTo(Watch& aWatch)
{
  json events = json::array();
  for (const StoreChange& change : m_store.ChangesSince(aWatch.m_next)) {
    if (aWatch.m_range.Contains(change.m_entry.m_key)) {
      events.push_back(ChangeJson(change));
    }
  }
  aWatch.m_next = std::max(aWatch.m_next, m_store.Revision() + 1);
  if (events.empty()) {
    return true;
  }
  return aWatch.m_stream->Write(
    Line({ { "events", std::move(events) } }, m_store.Revision()));
}

} // namespace mulberrysail::standins
