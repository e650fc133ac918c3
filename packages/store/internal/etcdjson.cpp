#include "store/internal/etcdjson.h"

#include "input/boundedjson.h"
#include "store/base64.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace mulberrysail::store::etcd {

namespace {

using nlohmann::json;

/** @return the exclusive end of the range of keys that begin with @p aPrefix.
 * A single zero byte means that the range has no end. */
std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty() && aPrefix.back() == '\xff') {
    aPrefix.pop_back();
  }
  if (aPrefix.empty()) {
    return std::string(1, '\0');
  }
  aPrefix.back() = static_cast<char>(aPrefix.back() + 1);
  return aPrefix;
}

json
KeyRange(const std::string& aKey, bool aIsPrefix)
{
  json range = { { "key", EncodeBase64(aKey) } };
  if (aIsPrefix) {
    range["range_end"] = EncodeBase64(PrefixEnd(aKey));
  }
  return range;
}

json
PutObject(const std::string& aKey,
          const std::string& aValue,
          std::optional<std::int64_t> aLease)
{
  json put = { { "key", EncodeBase64(aKey) },
               { "value", EncodeBase64(aValue) } };
  if (aLease) {
    put["lease"] = std::to_string(*aLease);
  }
  return put;
}

/** @return the number, which may be given as a string; 0 if the field is
 * absent, as the gateway omits zeros. Throws if the field is not a number. */
std::int64_t
ParseNumber(const json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end()) {
    return 0;
  }
  if (field->is_number_integer()) {
    return field->get<std::int64_t>();
  }
  const std::string& text = field->get_ref<const std::string&>();
  std::int64_t number = 0;
  const std::from_chars_result result =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    throw std::invalid_argument(std::string(aName) + " is no number");
  }
  return number;
}

std::string
ParseBytes(const json& aObject, const char* aName)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end()) {
    return {};
  }
  std::optional<std::string> data =
    DecodeBase64(field->get_ref<const std::string&>());
  if (!data) {
    throw std::invalid_argument(std::string(aName) + " is not base64");
  }
  return std::move(*data);
}

StoredValue
ParseValue(const json& aObject)
{
  return { ParseBytes(aObject, "key"),
           ParseBytes(aObject, "value"),
           ParseNumber(aObject, "mod_revision") };
}

/** Parses the text as JSON and passes it to @p aRead. Exceptions are turned
 * into a StoreUnavailable error. */
template<typename T, typename Reader>
core::Result<T>
ParseWith(std::string_view aText, Reader aRead)
{
  const input::JsonResult root = input::ParseJson(aText);
  if (root.has_error()) {
    return core::Fail(core::ErrorKind::StoreUnavailable,
                      "the store's answer can't be read: " +
                        root.error().m_detail);
  }
  try {
    return aRead(root.value());
  } catch (const std::exception& error) {
    return core::Fail(core::ErrorKind::StoreUnavailable,
                      std::string("the store's answer can't be read: ") +
                        error.what());
  }
}

StoredValue
ParseEvent(const json& aEvent)
{
  StoredValue value = ParseValue(aEvent.at("kv"));
  value.m_changeRevision = value.m_modRevision;
  if (aEvent.value("type", "PUT") == "DELETE") {
    value.m_value.clear();
    value.m_modRevision = 0;
  }
  return value;
}

void
ParseEvents(const json& aResult,
            const std::function<void(StoredValue)>& aOnChange)
{
  std::vector<StoredValue> changes;
  for (const json& event : aResult.value("events", json::array())) {
    changes.push_back(ParseEvent(event));
  }
  MarkTransactions(changes);
  for (StoredValue& change : changes) {
    aOnChange(std::move(change));
  }
}

} // namespace

std::string
RangeRequest(const std::string& aKey, bool aIsPrefix)
{
  return KeyRange(aKey, aIsPrefix).dump();
}

std::string
PutRequest(const std::string& aKey,
           const std::string& aValue,
           std::optional<std::int64_t> aLease)
{
  return PutObject(aKey, aValue, aLease).dump();
}

std::string
CompareAndSwapRequest(const std::string& aKey,
                      std::int64_t aModRevision,
                      const std::string& aValue,
                      std::optional<std::int64_t> aLease)
{
  const json compare = { { "key", EncodeBase64(aKey) },
                         { "target", "MOD" },
                         { "result", "EQUAL" },
                         { "mod_revision", std::to_string(aModRevision) } };
  const json put = { { "request_put", PutObject(aKey, aValue, aLease) } };
  return json{
    { "compare", json::array({ compare }) }, { "success", json::array({ put }) }
  }.dump();
}

std::string
DeleteRequest(const std::string& aKey)
{
  return KeyRange(aKey, false).dump();
}

std::string
GrantRequest(std::chrono::seconds aTtl)
{
  return json{ { "TTL", std::to_string(aTtl.count()) } }.dump();
}

std::string
LeaseIdRequest(std::int64_t aLease)
{
  return json{ { "ID", std::to_string(aLease) } }.dump();
}

std::string
WatchRequest(const std::string& aPrefix, std::int64_t aFromRevision)
{
  json create = KeyRange(aPrefix, true);
  create["start_revision"] = std::to_string(aFromRevision);
  create["progress_notify"] = true;
  return json{ { "create_request", create } }.dump();
}

core::Result<StoreRead>
ParseRange(std::string_view aText)
{
  return ParseWith<StoreRead>(aText, [](const json& aRoot) {
    StoreRead read;
    read.m_revision = ParseNumber(aRoot.at("header"), "revision");
    if (read.m_revision == 0) {
      throw std::invalid_argument("no revision");
    }
    for (const json& value : aRoot.value("kvs", json::array())) {
      read.m_values.push_back(ParseValue(value));
    }
    return read;
  });
}

core::Result<bool>
ParseTransaction(std::string_view aText)
{
  return ParseWith<bool>(aText, [](const json& aRoot) {
    // Every etcd response has a header, so a response without one came from
    // another server. Throws if the header is missing.
    aRoot.at("header");
    return aRoot.value("succeeded", false);
  });
}

core::Result<std::int64_t>
ParseGrant(std::string_view aText)
{
  return ParseWith<std::int64_t>(aText, [](const json& aRoot) {
    const std::int64_t lease = ParseNumber(aRoot, "ID");
    if (lease == 0) {
      throw std::invalid_argument("no lease was granted");
    }
    return lease;
  });
}

core::Result<bool>
ParseKeepAlive(std::string_view aText)
{
  return ParseWith<bool>(aText, [](const json& aRoot) {
    return ParseNumber(aRoot.at("result"), "TTL") > 0;
  });
}

core::Result<void>
ParseWatch(std::string_view aText,
           const std::function<void(StoredValue)>& aOnChange)
{
  return ParseWith<void>(aText, [&](const json& aRoot) -> core::Result<void> {
    const auto result = aRoot.find("result");
    if (result == aRoot.end() || result->value("canceled", false)) {
      return core::Fail(core::ErrorKind::StoreUnavailable,
                        "the store cancelled the watch: " +
                          std::string(aText.substr(0, 200)));
    }
    ParseEvents(*result, aOnChange);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  });
}

} // namespace mulberrysail::store::etcd
