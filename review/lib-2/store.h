#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrysail::review {

/** The platform's metadata store, in memory. */
class Store
{
public:
  Store(const std::string& aIp, std::uint16_t aPort);

  /** Writes a key as the operator does. @p aValue is stored as it is. */
  void Put(const std::string& aKey, const std::string& aValue);
  /** @return the keys that begin with @p aPrefix. */
  std::vector<std::string> Keys(const std::string& aPrefix);

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
    Clock::time_point m_ends;
    Milliseconds m_time{};
  };

  std::optional<Response> Handle(const Request& aRequest);
  Response ReadKey(const Request& aRequest);
  Response ReadRange(const Request& aRequest);
  Response Watch(const Request& aRequest);
  Response Commit(const nlohmann::json& aBody);
  void ExpireLeases();
  void RemoveLease(std::int64_t aLease);
  void WriteItem(const std::string& aKey,
                 const std::string& aEncoded,
                 std::int64_t aLease);
  void Remove(const std::string& aKey);
  nlohmann::json ItemJson(const std::string& aKey, const Item& aItem) const;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::int64_t m_nextLease = 1;
  std::int64_t m_revision = 1;
  /** All changes, in the order of their revisions. */
  std::vector<nlohmann::json> m_history;
  /** Last, so that no handler runs without the members above. */
  HttpServer m_server;
};

} // namespace mulberrysail::review
