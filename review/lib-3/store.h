#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::review3 {

/** @return @p aText as standard base64 with padding. */
std::string
EncodeBase64(const std::string& aText);

/** A sound metadata store of the platform, in memory: items, pages in one
 * piece, watches, transactions and leases. */
class Store
{
public:
  Store(const std::string& aAddress, std::uint16_t aPort);

  /** Writes as the operator does. */
  void Put(const std::string& aKey, const std::string& aValue);

private:
  struct Item
  {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_created = 0;
    std::int64_t m_lease = 0;
  };

  struct Lease
  {
    milliseconds m_ttl{};
    Instant m_ends;
  };

  struct Event
  {
    std::int64_t m_revision = 0;
    std::string m_key;
    nlohmann::json m_event;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& aRequest);
  HttpResponse ReadKey(const std::string& aKey);
  HttpResponse ReadRange(const std::string& aPrefix);
  HttpResponse Watch(const HttpFields& aQuery);
  HttpResponse Commit(const std::string& aBody);
  HttpResponse Grant(const std::string& aBody);
  HttpResponse Keep(std::int64_t aLease);
  HttpResponse End(std::int64_t aLease);

  /** The rest is called with the lock held. */
  nlohmann::json Describe(const std::string& aKey, const Item& aItem) const;
  void PutItem(const std::string& aKey,
               const std::string& aValue,
               std::int64_t aLease);
  void Remove(const std::string& aKey);
  void EndLeases();
  void RemoveKeysOf(std::int64_t aLease);
  std::vector<nlohmann::json> EventsAfter(const std::string& aPrefix,
                                          std::int64_t aRevision) const;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::deque<Event> m_events;
  std::int64_t m_revision = 1;
  std::int64_t m_lastLease = 1000;
  /** Declared last, so that it ends first. */
  HttpServer m_server;
};

} // namespace mulberrysail::review3
