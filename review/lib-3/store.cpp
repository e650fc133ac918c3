#include "store.h"

#include <algorithm>
#include <cstdlib>

namespace mulberrysail::review3 {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 412;
constexpr milliseconds kLeaseCheck{ 100 };
constexpr std::int64_t kMinTtlMs = 1000;

std::int64_t
ToNumber(const std::string& aText)
{
  return std::strtoll(aText.c_str(), nullptr, 10);
}

HttpResponse
Answer(int aStatus, const json& aBody)
{
  return { aStatus, aBody.dump() };
}

/** @return the text after the last slash of @p aPath. */
std::string
LastPart(const std::string& aPath)
{
  return aPath.substr(aPath.rfind('/') + 1);
}

std::string
FieldOf(const HttpFields& aFields, const std::string& aName)
{
  const auto field = aFields.find(aName);
  return field == aFields.end() ? std::string() : field->second;
}

} // namespace

std::string
EncodeBase64(const std::string& aText)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned kDigitBits = 6;
  constexpr unsigned kDigitMask = 0x3F;
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      const std::size_t place = i + byte;
      group =
        (group << 8U) |
        (place < aText.size() ? static_cast<unsigned char>(aText[place]) : 0U);
    }
    for (unsigned digit = 0; digit < 4; ++digit) {
      const std::uint32_t value =
        (group >> (kDigitBits * (3 - digit))) & kDigitMask;
      encoded.push_back(i + digit > aText.size() ? '=' : kDigits[value]);
    }
  }
  return encoded;
}

Store::Store(const std::string& aAddress, std::uint16_t aPort)
  : m_server(aAddress, aPort, [this](const HttpRequest& aRequest) {
    return Handle(aRequest);
  })
{
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_revision;
  PutItem(aKey, EncodeBase64(aValue), 0);
  m_changed.notify_all();
}

std::optional<HttpResponse>
Store::Handle(const HttpRequest& aRequest)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    EndLeases();
  }
  const std::string& path = aRequest.m_path;
  if (path == "/kv-key") {
    return ReadKey(FieldOf(aRequest.m_query, "key"));
  }
  if (path == "/kv-range") {
    return ReadRange(FieldOf(aRequest.m_query, "prefix"));
  }
  if (path == "/kv-watch") {
    return Watch(aRequest.m_query);
  }
  if (path == "/kv-txn") {
    return Commit(aRequest.m_body);
  }
  if (path == "/kv-lease") {
    return Grant(aRequest.m_body);
  }
  if (path.starts_with("/kv-keep/")) {
    return Keep(ToNumber(LastPart(path)));
  }
  if (path.starts_with("/kv-lease-end/")) {
    return End(ToNumber(LastPart(path)));
  }
  return Answer(kNotFound, json::object());
}

json
Store::Describe(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", aItem.m_value },
           { "revision", aItem.m_revision },
           { "created", aItem.m_created },
           { "lease", aItem.m_lease } };
}

HttpResponse
Store::ReadKey(const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto item = m_items.find(aKey);
  json body =
    item == m_items.end() ? json::object() : Describe(aKey, item->second);
  body["at-revision"] = m_revision;
  return Answer(item == m_items.end() ? kNotFound : kOk, body);
}

HttpResponse
Store::ReadRange(const std::string& aPrefix)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  json items = json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(aPrefix)) {
      items.push_back(Describe(key, item));
    }
  }
  return Answer(kOk,
                { { "items", items },
                  { "more-pages", false },
                  { "at-revision", m_revision } });
}

std::vector<json>
Store::EventsAfter(const std::string& aPrefix, std::int64_t aRevision) const
{
  std::vector<json> events;
  for (const Event& event : m_events) {
    if (event.m_revision > aRevision && event.m_key.starts_with(aPrefix)) {
      events.push_back(event.m_event);
    }
  }
  return events;
}

HttpResponse
Store::Watch(const HttpFields& aQuery)
{
  const std::string prefix = FieldOf(aQuery, "prefix");
  const std::int64_t after = ToNumber(FieldOf(aQuery, "after"));
  const Instant until =
    Now() + milliseconds(ToNumber(FieldOf(aQuery, "wait-ms")));
  std::unique_lock<std::mutex> lock(m_mutex);
  std::vector<json> events = EventsAfter(prefix, after);
  while (events.empty() && Now() < until) {
    m_changed.wait_for(lock, kLeaseCheck);
    EndLeases();
    events = EventsAfter(prefix, after);
  }
  return Answer(kOk, { { "events", events }, { "at-revision", m_revision } });
}

void
Store::PutItem(const std::string& aKey,
               const std::string& aValue,
               std::int64_t aLease)
{
  Item& item = m_items[aKey];
  item.m_value = aValue;
  item.m_lease = aLease;
  item.m_revision = m_revision;
  item.m_created = item.m_created == 0 ? m_revision : item.m_created;
  m_events.push_back({ m_revision, aKey, Describe(aKey, item) });
}

void
Store::Remove(const std::string& aKey)
{
  if (m_items.erase(aKey) > 0) {
    m_events.push_back(
      { m_revision,
        aKey,
        { { "key", aKey }, { "revision", m_revision }, { "deleted", true } } });
  }
}

HttpResponse
Store::Commit(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Answer(400, json::object());
  }
  const json puts = body.value("put", json::array());
  const json removes = body.value("remove", json::array());
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const json& expect : body.value("expect", json::array())) {
    const auto item = m_items.find(expect.value("key", ""));
    const std::int64_t revision =
      item == m_items.end() ? 0 : item->second.m_revision;
    if (revision != expect.value("revision", std::int64_t{ 0 })) {
      return Answer(kConflict, { { "items", json::array() } });
    }
  }
  for (const json& put : puts) {
    const std::int64_t lease = put.value("lease", std::int64_t{ 0 });
    if (put.value("key", "").starts_with("op/")) {
      return Answer(kForbidden, json::object());
    }
    if (lease != 0 && !m_leases.contains(lease)) {
      return Answer(kNotFound, json::object());
    }
  }
  ++m_revision;
  for (const json& put : puts) {
    PutItem(put.value("key", ""),
            put.value("value", ""),
            put.value("lease", std::int64_t{ 0 }));
  }
  for (const json& key : removes) {
    Remove(key.get<std::string>());
  }
  m_changed.notify_all();
  return Answer(kOk, { { "revision", m_revision } });
}

HttpResponse
Store::Grant(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  const std::int64_t ttl = std::max(
    body.is_object() ? body.value("ttl-ms", kMinTtlMs) : kMinTtlMs, kMinTtlMs);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_leases[++m_lastLease] = { milliseconds(ttl), Now() + milliseconds(ttl) };
  return Answer(kOk, { { "lease", m_lastLease }, { "ttl-ms", ttl } });
}

HttpResponse
Store::Keep(std::int64_t aLease)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto lease = m_leases.find(aLease);
  if (lease == m_leases.end()) {
    return Answer(kNotFound, json::object());
  }
  lease->second.m_ends = Now() + lease->second.m_ttl;
  return Answer(kOk, { { "ttl-ms", lease->second.m_ttl.count() } });
}

HttpResponse
Store::End(std::int64_t aLease)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_leases.erase(aLease) > 0) {
    RemoveKeysOf(aLease);
  }
  return Answer(kOk, json::object());
}

void
Store::RemoveKeysOf(std::int64_t aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == aLease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++m_revision;
  for (const std::string& key : keys) {
    Remove(key);
  }
  m_changed.notify_all();
}

void
Store::EndLeases()
{
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_ends <= Now()) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t id : ended) {
    m_leases.erase(id);
    RemoveKeysOf(id);
  }
}

} // namespace mulberrysail::review3
