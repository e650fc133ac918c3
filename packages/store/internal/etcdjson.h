#pragma once

#include "store/istore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/** The JSON format of the etcd gateway: keys and values are base64, 64-bit
 * numbers are strings, and fields with default values are omitted. */
namespace mulberrysail::store::etcd {

std::string
RangeRequest(const std::string& aKey, bool aIsPrefix);

std::string
PutRequest(const std::string& aKey,
           const std::string& aValue,
           std::optional<std::int64_t> aLease);

/** A transaction that writes the value if the key still has the revision
 * @p aModRevision. */
std::string
CompareAndSwapRequest(const std::string& aKey,
                      std::int64_t aModRevision,
                      const std::string& aValue,
                      std::optional<std::int64_t> aLease);

std::string
DeleteRequest(const std::string& aKey);

std::string
GrantRequest(std::chrono::seconds aTtl);

/** The request body for both renewing and revoking a lease. */
std::string
LeaseIdRequest(std::int64_t aLease);

std::string
WatchRequest(const std::string& aPrefix, std::int64_t aFromRevision);

/** Parses the response to a range request. Like the other Parse functions, it
 * fails with StoreUnavailable if the text does not have the expected form. */
core::Result<StoreRead>
ParseRange(std::string_view aText);

/** @return whether the compare succeeded. */
core::Result<bool>
ParseTransaction(std::string_view aText);

core::Result<std::int64_t>
ParseGrant(std::string_view aText);

/** @return whether the lease still exists. */
core::Result<bool>
ParseKeepAlive(std::string_view aText);

/** Parses one message of a watch.
 * @param aOnChange receives each changed value.
 * @return an error if the watch has ended. */
core::Result<void>
ParseWatch(std::string_view aText,
           const std::function<void(StoredValue)>& aOnChange);

} // namespace mulberrysail::store::etcd
