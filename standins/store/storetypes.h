#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/** What is asked of the store and what it answers, in the terms of etcd v3. */
namespace mulberrysail::standins {

struct KeyValue
{
  std::string m_key;
  std::string m_value;
  std::int64_t m_createRevision = 0;
  std::int64_t m_modRevision = 0;
  std::int64_t m_version = 0;
  std::int64_t m_lease = 0;
};

/** One key, or all from a first to before an end. */
struct KeyRange
{
  std::string m_key;
  /** Empty: just the key. One zero byte: no end. */
  std::string m_end;

  bool Contains(std::string_view aKey) const;
};

struct PutOp
{
  std::string m_key;
  std::string m_value;
  std::int64_t m_lease = 0;
};

struct RangeOp
{
  KeyRange m_range;
};

struct DeleteOp
{
  KeyRange m_range;
};

using StoreOp = std::variant<PutOp, RangeOp, DeleteOp>;

enum class CompareResult : std::uint8_t
{
  Equal,
  Greater,
  Less,
  NotEqual,
};

struct ModRevisionIs
{
  std::int64_t m_value = 0;
};

struct CreateRevisionIs
{
  std::int64_t m_value = 0;
};

struct VersionIs
{
  std::int64_t m_value = 0;
};

struct ValueIs
{
  std::string m_value;
};

using CompareTarget =
  std::variant<ModRevisionIs, CreateRevisionIs, VersionIs, ValueIs>;

struct Compare
{
  std::string m_key;
  CompareResult m_result = CompareResult::Equal;
  CompareTarget m_target;
};

struct Txn
{
  std::vector<Compare> m_compares;
  std::vector<StoreOp> m_success;
  std::vector<StoreOp> m_failure;

  /** @return whether it could change anything. */
  bool Writes() const;
};

struct PutResult
{};

struct RangeResult
{
  std::vector<KeyValue> m_values;
};

struct DeleteResult
{
  std::int64_t m_deleted = 0;
};

using OpResult = std::variant<PutResult, RangeResult, DeleteResult>;

struct TxnResult
{
  bool m_succeeded = false;
  std::vector<OpResult> m_results;
};

struct Lease
{
  std::int64_t m_id = 0;
  std::chrono::seconds m_ttl{ 0 };
  std::chrono::microseconds m_end{ 0 };
};

/** One change, as watches see it. A deleted key has only its name and the
 * revision of the deletion. */
struct StoreChange
{
  bool m_deleted = false;
  KeyValue m_entry;
};

class LeaseNotFound : public std::runtime_error
{
public:
  LeaseNotFound()
    : std::runtime_error("etcdserver: requested lease not found")
  {
  }
};

} // namespace mulberrysail::standins
