#include "store.h"

#include <utility>

namespace mulberrysail::review {

namespace {

using nlohmann::json;

constexpr Milliseconds kWatchStep{ 20 };

std::string
EncodeBase64(const std::string& aText)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const unsigned char byte =
        i + k < aText.size() ? static_cast<unsigned char>(aText[i + k]) : 0;
      bits = (bits << 8U) | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool isPadding = i + k > aText.size();
      encoded += isPadding ? '=' : kDigits[(bits >> (18U - 6U * k)) & 63U];
    }
  }
  return encoded;
}

std::string
QueryText(const Request& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? std::string() : found->second;
}

std::int64_t
QueryNumber(const Request& aRequest, const std::string& aName)
{
  const std::string text = QueryText(aRequest, aName);
  return text.empty() ? 0 : std::stoll(text);
}

std::int64_t
TrailingNumber(const std::string& aPath)
{
  return std::stoll(aPath.substr(aPath.rfind('/') + 1));
}

} // namespace

Store::Store(const std::string& aIp, std::uint16_t aPort)
  : m_server(aIp, aPort, [this](const Request& aRequest) {
    return Handle(aRequest);
  })
{
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_revision;
  WriteItem(aKey, EncodeBase64(aValue), 0);
  m_changed.notify_all();
}

std::vector<std::string>
Store::Keys(const std::string& aPrefix)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ExpireLeases();
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(aPrefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::optional<Response>
Store::Handle(const Request& aRequest)
{
  const std::string& path = aRequest.m_path;
  if (path == "/kv-watch") {
    return Watch(aRequest);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  ExpireLeases();
  if (path == "/kv-key") {
    return ReadKey(aRequest);
  }
  if (path == "/kv-range") {
    return ReadRange(aRequest);
  }
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (path == "/kv-txn") {
    return Commit(body);
  }
  if (path == "/kv-lease") {
    const Milliseconds time(body.value("ttl-ms", 5000));
    m_leases[m_nextLease] = { Clock::now() + time, time };
    return Response{
      200, json{ { "lease", m_nextLease++ }, { "ttl-ms", time.count() } }.dump()
    };
  }
  if (path.starts_with("/kv-keep/")) {
    const auto lease = m_leases.find(TrailingNumber(path));
    if (lease == m_leases.end()) {
      return Response{ 404, "{}" };
    }
    lease->second.m_ends = Clock::now() + lease->second.m_time;
    return Response{};
  }
  if (path.starts_with("/kv-lease-end/")) {
    RemoveLease(TrailingNumber(path));
    return Response{};
  }
  return Response{ 404, "{}" };
}

Response
Store::ReadKey(const Request& aRequest)
{
  const std::string key = QueryText(aRequest, "key");
  const auto found = m_items.find(key);
  json body =
    found == m_items.end() ? json::object() : ItemJson(key, found->second);
  body["at-revision"] = m_revision;
  return { found == m_items.end() ? 404 : 200, body.dump() };
}

Response
Store::ReadRange(const Request& aRequest)
{
  const std::string prefix = QueryText(aRequest, "prefix");
  const std::string after = QueryText(aRequest, "after");
  json items = json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix) && key > after) {
      items.push_back(ItemJson(key, item));
    }
  }
  const json body = { { "items", items },
                      { "more-pages", false },
                      { "at-revision", m_revision } };
  return { 200, body.dump() };
}

Response
Store::Watch(const Request& aRequest)
{
  const std::string prefix = QueryText(aRequest, "prefix");
  const std::int64_t after = QueryNumber(aRequest, "after");
  const Clock::time_point until =
    Clock::now() + Milliseconds(QueryNumber(aRequest, "wait-ms"));
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    ExpireLeases();
    json events = json::array();
    for (const json& change : m_history) {
      if (change.at("revision").get<std::int64_t>() > after &&
          change.at("key").get<std::string>().starts_with(prefix)) {
        events.push_back(change);
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      const json body = { { "events", events }, { "at-revision", m_revision } };
      return { 200, body.dump() };
    }
    m_changed.wait_for(lock, kWatchStep);
  }
}

Response
Store::Commit(const json& aBody)
{
  json current = json::array();
  bool holds = true;
  for (const json& row : aBody.value("expect", json::array())) {
    const std::string key = row.at("key").get<std::string>();
    const auto found = m_items.find(key);
    const std::int64_t revision =
      found == m_items.end() ? 0 : found->second.m_revision;
    holds = holds && revision == row.at("revision").get<std::int64_t>();
    if (found != m_items.end()) {
      current.push_back(ItemJson(key, found->second));
    }
  }
  if (!holds) {
    return { 412, json{ { "items", current } }.dump() };
  }
  for (const json& row : aBody.value("put", json::array())) {
    const std::int64_t lease = row.value("lease", std::int64_t{ 0 });
    if (lease != 0 && !m_leases.contains(lease)) {
      return { 404, "{}" };
    }
  }
  ++m_revision;
  for (const json& row : aBody.value("put", json::array())) {
    WriteItem(row.at("key").get<std::string>(),
              row.value("value", ""),
              row.value("lease", std::int64_t{ 0 }));
  }
  for (const json& key : aBody.value("remove", json::array())) {
    Remove(key.get<std::string>());
  }
  m_changed.notify_all();
  return { 200, json{ { "revision", m_revision } }.dump() };
}

void
Store::ExpireLeases()
{
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_ends <= Clock::now()) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t id : ended) {
    RemoveLease(id);
  }
}

void
Store::RemoveLease(std::int64_t aLease)
{
  m_leases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    ++m_revision;
    Remove(key);
  }
  m_changed.notify_all();
}

void
Store::WriteItem(const std::string& aKey,
                 const std::string& aEncoded,
                 std::int64_t aLease)
{
  Item& item = m_items[aKey];
  item.m_created = item.m_created == 0 ? m_revision : item.m_created;
  item.m_value = aEncoded;
  item.m_revision = m_revision;
  item.m_lease = aLease;
  m_history.push_back(ItemJson(aKey, item));
}

void
Store::Remove(const std::string& aKey)
{
  if (m_items.erase(aKey) > 0) {
    m_history.push_back(
      { { "key", aKey }, { "revision", m_revision }, { "deleted", true } });
  }
}

json
Store::ItemJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.m_value },
           { "revision", aItem.m_revision },
           { "created", aItem.m_created },
           { "lease", aItem.m_lease } };
}

} // namespace mulberrysail::review
