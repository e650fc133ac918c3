#pragma once

#include "store/istore.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace mulberrysail::store::tests {

/** A fault injected into a write. */
enum class WriteFault : std::uint8_t
{
  None,
  /** The write takes effect; its response is lost. */
  LostAfterEffect,
  /** The write is lost and never takes effect. */
  LostBeforeEffect,
  /** The response is lost; the write takes effect in ApplyDelayed(). */
  Delayed,
  NotSent,
};

/** An in-memory store that answers immediately, with faults injected by the
 * test. */
class FakeStore : public IStore
{
public:
  void Read(const std::string& aKey,
            bool aPrefix,
            std::function<void(core::Result<StoreRead>)> aCallback) override
  {
    ++m_calls;
    if (m_down) {
      aCallback(core::Fail(core::ErrorKind::StoreUnavailable, "down"));
      return;
    }
    const bool stale = m_staleReadsLeft > 0;
    m_staleReadsLeft -= stale ? 1 : 0;
    StoreRead read;
    read.m_revision = m_revision;
    for (const auto& [key, value] : stale ? m_previousValues : m_values) {
      if (key == aKey || (aPrefix && key.starts_with(aKey))) {
        read.m_values.push_back(value);
      }
    }
    aCallback(read);
  }

  void CompareAndSwap(const std::string& aKey,
                      std::int64_t aModRevision,
                      const std::string& aValue,
                      std::optional<std::int64_t> aLease,
                      std::function<void(WriteOutcome)> aCallback) override
  {
    Write(
      [this, aKey, aModRevision, aValue, aLease] {
        const auto found = m_values.find(aKey);
        const std::int64_t revision =
          found == m_values.end() ? 0 : found->second.m_modRevision;
        if (revision != aModRevision) {
          return WriteOutcome::Conflict;
        }
        SetValue(aKey, aValue, aLease);
        return WriteOutcome::Written;
      },
      aCallback);
  }

  void Put(const std::string& aKey,
           const std::string& aValue,
           std::optional<std::int64_t> aLease,
           std::function<void(WriteOutcome)> aCallback) override
  {
    Write(
      [this, aKey, aValue, aLease] {
        if (aLease && !m_leases.contains(*aLease)) {
          return WriteOutcome::NotWritten;
        }
        SetValue(aKey, aValue, aLease);
        return WriteOutcome::Written;
      },
      aCallback);
  }

  void Delete(const std::string& aKey,
              std::function<void(WriteOutcome)> aCallback) override
  {
    Write(
      [this, aKey] {
        RemoveValue(aKey);
        return WriteOutcome::Written;
      },
      aCallback);
  }

  void GrantLease(
    std::chrono::seconds /*aTtl*/,
    std::function<void(core::Result<std::int64_t>)> aCallback) override
  {
    ++m_calls;
    if (m_down) {
      aCallback(core::Fail(core::ErrorKind::StoreUnavailable, "down"));
      return;
    }
    m_leases.insert(++m_lastLease);
    aCallback(m_lastLease);
  }

  void KeepLeaseAlive(
    std::int64_t aLease,
    std::function<void(core::Result<bool>)> aCallback) override
  {
    ++m_calls;
    if (m_down) {
      aCallback(core::Fail(core::ErrorKind::StoreUnavailable, "down"));
      return;
    }
    aCallback(m_leases.contains(aLease));
  }

  void RevokeLease(std::int64_t aLease) override
  {
    ++m_calls;
    ExpireLease(aLease);
  }

  void Watch(const std::string& aPrefix,
             std::int64_t /*aFromRevision*/,
             std::function<void(StoredValue)> aOnChange,
             std::function<void(core::Error)> aOnEnd) override
  {
    ++m_calls;
    m_watches.push_back({ aPrefix, std::move(aOnChange), std::move(aOnEnd) });
  }

  std::uint64_t Calls() const override { return m_calls; }

  /** Ends a lease, deletes its keys and notifies the watches. */
  void ExpireLease(std::int64_t aLease)
  {
    m_leases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, value] : m_values) {
      if (m_leaseByKey[key] == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveValue(key);
    }
  }

  /** Applies the writes that were delayed by WriteFault::Delayed. */
  void ApplyDelayed()
  {
    const std::deque<std::function<WriteOutcome()>> delayed =
      std::exchange(m_delayed, {});
    for (const std::function<WriteOutcome()>& write : delayed) {
      write();
    }
  }

  /** Reports a value to all watches of its key, even if it is outdated. */
  void NotifyWatches(const StoredValue& aValue)
  {
    const std::vector<OpenWatch> watches = m_watches;
    for (const OpenWatch& watcher : watches) {
      if (m_deliverChanges && aValue.m_key.starts_with(watcher.m_prefix)) {
        watcher.m_onChange(aValue);
      }
    }
  }

  void EndWatches()
  {
    const std::vector<OpenWatch> watches = std::exchange(m_watches, {});
    for (const OpenWatch& watcher : watches) {
      watcher.m_onEnd({ core::ErrorKind::StoreUnavailable, "ended" });
    }
  }

  bool m_down = false;
  /** Whether watches receive changes. */
  bool m_deliverChanges = true;
  /** The number of next reads that return the values before the last write. */
  int m_staleReadsLeft = 0;
  /** Faults of the next writes, in order. */
  std::deque<WriteFault> m_writeFaults;
  /** Called once at the start of the next write, even if that write has a
   * fault. */
  std::function<void()> m_beforeWrite;
  std::map<std::string, StoredValue> m_values;
  std::set<std::int64_t> m_leases;
  std::vector<std::string> m_writtenValues;

private:
  struct OpenWatch
  {
    std::string m_prefix;
    std::function<void(StoredValue)> m_onChange;
    std::function<void(core::Error)> m_onEnd;
  };

  void Write(const std::function<WriteOutcome()>& aWrite,
             const std::function<void(WriteOutcome)>& aCallback)
  {
    ++m_calls;
    if (m_beforeWrite) {
      std::exchange(m_beforeWrite, nullptr)();
    }
    WriteFault fault = m_down ? WriteFault::NotSent : WriteFault::None;
    if (!m_writeFaults.empty()) {
      fault = m_writeFaults.front();
      m_writeFaults.pop_front();
    }
    switch (fault) {
      case WriteFault::None:
        aCallback(aWrite());
        return;
      case WriteFault::LostAfterEffect:
        aWrite();
        break;
      case WriteFault::LostBeforeEffect:
        break;
      case WriteFault::Delayed:
        m_delayed.push_back(aWrite);
        break;
      case WriteFault::NotSent:
        aCallback(WriteOutcome::NotWritten);
        return;
    }
    aCallback(WriteOutcome::Uncertain);
  }

  void SetValue(const std::string& aKey,
                const std::string& aValue,
                std::optional<std::int64_t> aLease)
  {
    m_previousValues = m_values;
    m_values[aKey] = { aKey, aValue, ++m_revision };
    m_leaseByKey[aKey] = aLease.value_or(0);
    m_writtenValues.push_back(aValue);
    NotifyWatches({ aKey, aValue, m_revision, m_revision });
  }

  /** A deletion of a key that does not exist changes nothing. */
  void RemoveValue(const std::string& aKey)
  {
    if (!m_values.contains(aKey)) {
      return;
    }
    m_previousValues = m_values;
    m_values.erase(aKey);
    ++m_revision;
    NotifyWatches({ aKey, "", 0, m_revision });
  }

  std::uint64_t m_calls = 0;
  std::int64_t m_revision = 1;
  std::int64_t m_lastLease = 0;
  std::map<std::string, StoredValue> m_previousValues;
  std::map<std::string, std::int64_t> m_leaseByKey;
  std::deque<std::function<WriteOutcome()>> m_delayed;
  std::vector<OpenWatch> m_watches;
};

} // namespace mulberrysail::store::tests
