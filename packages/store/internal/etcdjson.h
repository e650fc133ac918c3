#pragma once

#include "store/istore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/** The JSON of etcd's gateway: keys and values in base64, 64-bit numbers as
 * strings, and fields left out where they have their defaults. */
namespace mulberrysail::store::etcd {

std::string
RangeRequest(const std::string& aKey, bool aPrefix);

std::string
PutRequest(const std::string& aKey,
           const std::string& aValue,
           std::optional<std::int64_t> aLease);

/** A put under the condition that the key has the revision. */
std::string
CompareAndSwapRequest(const std::string& aKey,
                      std::int64_t aModRevision,
                      const std::string& aValue,
                      std::optional<std::int64_t> aLease);

std::string
GrantRequest(std::chrono::seconds aTtl);

/** For keeping and revoking a lease. */
std::string
LeaseRequest(std::int64_t aLease);

std::string
WatchRequest(const std::string& aPrefix, std::int64_t aFromRevision);

/** The readers fail with StoreUnavailable if the text isn't as expected. */
core::Result<StoreRead>
ReadRange(std::string_view aText);

/** @return whether the compare succeeded. */
core::Result<bool>
ReadTransaction(std::string_view aText);

core::Result<std::int64_t>
ReadGrant(std::string_view aText);

/** @return whether the lease still exists. */
core::Result<bool>
ReadKeepAlive(std::string_view aText);

/** Reads one message of a watch.
 * @param aOnChange gets each changed value.
 * @return a failure if the watch is over. */
core::Result<void>
ReadWatch(std::string_view aText,
          const std::function<void(StoredValue)>& aOnChange);

} // namespace mulberrysail::store::etcd
