#include "standins/store/storejson.h"

#include "standins/common/base64.h"
#include "standins/common/jsonhttp.h"

#include <array>
#include <string>

namespace mulberrysail::standins {

namespace {

using nlohmann::json;

std::string
BytesField(const json& aObject, const char* aName)
{
  return DecodeBase64(aObject.value(aName, std::string()));
}

/** Leaves out a field of value zero, as the gateway does. */
void
PutInteger(json& aObject, const char* aName, std::int64_t aValue)
{
  if (aValue != 0) {
    aObject[aName] = std::to_string(aValue);
  }
}

json
KeyValueJson(const KeyValue& aEntry)
{
  json object = { { "key", EncodeBase64(aEntry.m_key) } };
  PutInteger(object, "create_revision", aEntry.m_createRevision);
  PutInteger(object, "mod_revision", aEntry.m_modRevision);
  PutInteger(object, "version", aEntry.m_version);
  PutInteger(object, "lease", aEntry.m_lease);
  if (!aEntry.m_value.empty()) {
    object["value"] = EncodeBase64(aEntry.m_value);
  }
  return object;
}

/** Enumerations may be written by name or by number. */
template<std::size_t N>
std::size_t
ReadEnum(const json& aObject,
         const char* aName,
         const std::array<const char*, N>& aNames)
{
  const auto field = aObject.find(aName);
  if (field == aObject.end()) {
    return 0;
  }
  for (std::size_t i = 0; i < N; ++i) {
    if (*field == aNames[i] || *field == i) {
      return i;
    }
  }
  throw std::invalid_argument(std::string("unknown value of ") + aName);
}

/** The order of the alternatives of CompareTarget isn't that of the wire. */
CompareTarget
ReadTarget(const json& aCompare)
{
  constexpr std::array kTargets = {
    "VERSION", "CREATE", "MOD", "VALUE", "LEASE"
  };
  switch (ReadEnum(aCompare, "target", kTargets)) {
    case 0:
      return VersionIs{ IntegerField(aCompare, "version") };
    case 1:
      return CreateRevisionIs{ IntegerField(aCompare, "create_revision") };
    case 2:
      return ModRevisionIs{ IntegerField(aCompare, "mod_revision") };
    case 3:
      return ValueIs{ BytesField(aCompare, "value") };
    default:
      throw std::invalid_argument("leases can't be compared here");
  }
}

Compare
ReadCompare(const json& aCompare)
{
  constexpr std::array kResults = { "EQUAL", "GREATER", "LESS", "NOT_EQUAL" };
  Compare compare;
  compare.m_key = BytesField(aCompare, "key");
  compare.m_result =
    static_cast<CompareResult>(ReadEnum(aCompare, "result", kResults));
  compare.m_target = ReadTarget(aCompare);
  return compare;
}

StoreOp
ReadOp(const json& aOp)
{
  if (aOp.contains("request_put")) {
    return ReadPut(aOp["request_put"]);
  }
  if (aOp.contains("request_range")) {
    return RangeOp{ ReadRange(aOp["request_range"]) };
  }
  if (aOp.contains("request_delete_range")) {
    return DeleteOp{ ReadRange(aOp["request_delete_range"]) };
  }
  throw std::invalid_argument("unknown request in the transaction");
}

std::vector<StoreOp>
ReadOps(const json& aTxn, const char* aName)
{
  std::vector<StoreOp> ops;
  for (const json& op : aTxn.value(aName, json::array())) {
    ops.push_back(ReadOp(op));
  }
  return ops;
}

struct ResultVisitor
{
  std::int64_t m_revision;

  json operator()(const PutResult&) const
  {
    return { { "response_put", { { "header", HeaderJson(m_revision) } } } };
  }
  json operator()(const RangeResult& aResult) const
  {
    return { { "response_range", RangeJson(aResult.m_values, m_revision) } };
  }
  json operator()(const DeleteResult& aResult) const
  {
    json body = { { "header", HeaderJson(m_revision) } };
    PutInteger(body, "deleted", aResult.m_deleted);
    return { { "response_delete_range", body } };
  }
};

} // namespace

KeyRange
ReadRange(const json& aRequest)
{
  return { BytesField(aRequest, "key"), BytesField(aRequest, "range_end") };
}

PutOp
ReadPut(const json& aRequest)
{
  PutOp put{ BytesField(aRequest, "key"),
             BytesField(aRequest, "value"),
             IntegerField(aRequest, "lease") };
  if (put.m_key.empty()) {
    throw std::invalid_argument("etcdserver: key is not provided");
  }
  return put;
}

Txn
ReadTxn(const json& aRequest)
{
  Txn txn;
  for (const json& compare : aRequest.value("compare", json::array())) {
    txn.m_compares.push_back(ReadCompare(compare));
  }
  txn.m_success = ReadOps(aRequest, "success");
  txn.m_failure = ReadOps(aRequest, "failure");
  return txn;
}

json
HeaderJson(std::int64_t aRevision)
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(aRevision) },
           { "raft_term", "1" } };
}

json
RangeJson(const std::vector<KeyValue>& aValues, std::int64_t aRevision)
{
  json body = { { "header", HeaderJson(aRevision) } };
  for (const KeyValue& value : aValues) {
    body["kvs"].push_back(KeyValueJson(value));
  }
  PutInteger(body, "count", static_cast<std::int64_t>(aValues.size()));
  return body;
}

json
TxnJson(const TxnResult& aResult, std::int64_t aRevision)
{
  json body = { { "header", HeaderJson(aRevision) } };
  if (aResult.m_succeeded) {
    body["succeeded"] = true;
  }
  for (const OpResult& result : aResult.m_results) {
    body["responses"].push_back(std::visit(ResultVisitor{ aRevision }, result));
  }
  return body;
}

json
ChangeJson(const StoreChange& aChange)
{
  json event = { { "kv", KeyValueJson(aChange.m_entry) } };
  if (aChange.m_deleted) {
    event["type"] = "DELETE";
  }
  return event;
}

} // namespace mulberrysail::standins
