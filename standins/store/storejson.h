#pragma once

#include "standins/store/storetypes.h"

#include <nlohmann/json.hpp>

#include <cstdint>

/** The JSON shape of etcd's gateway: bytes in base64, 64-bit integers as
 * decimal strings, fields of value zero left out. The readers throw
 * std::exception on malformed requests. */
namespace mulberrysail::standins {

KeyRange
ReadRange(const nlohmann::json& aRequest);

PutOp
ReadPut(const nlohmann::json& aRequest);

Txn
ReadTxn(const nlohmann::json& aRequest);

nlohmann::json
HeaderJson(std::int64_t aRevision);

nlohmann::json
RangeJson(const std::vector<KeyValue>& aValues, std::int64_t aRevision);

nlohmann::json
TxnJson(const TxnResult& aResult, std::int64_t aRevision);

nlohmann::json
ChangeJson(const StoreChange& aChange);

} // namespace mulberrysail::standins
