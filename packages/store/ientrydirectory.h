#pragma once

#include "core/types/ids.h"
#include "store/istore.h"
#include "store/itimer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrysail::store {

/** An entry as registered in the store. */
struct EntryRecord
{
  /** Empty in the fallback list, which holds addresses only. */
  core::ProcessId m_id;
  /** tcp://IP:port */
  std::string m_messageUrl;
  /** http://IP:port */
  std::string m_httpUrl;

  bool operator==(const EntryRecord&) const = default;
};

/** Lists the entries registered in the store. Thread-safe. */
class IEntryDirectory
{
public:
  virtual ~IEntryDirectory() = default;

  /** @return the entries sorted by name, including DirectoryOptions::m_self
   * once it is registered; the fallback list until the first response of the
   * store. */
  virtual std::vector<EntryRecord> Entries() const = 0;

  /** Removes this entry from the store, so that the other processes are
   * notified at once instead of after the lease has expired. Returns without
   * waiting for the store. */
  virtual void Leave() = 0;

  /** Stops calling the hook; a call that is already running may still finish
   * after this has returned. The registration is left to expire. */
  virtual void Stop() = 0;
};

struct DirectoryOptions
{
  /** The entry to register; absent in an agent. */
  std::optional<EntryRecord> m_self;
  /** The entries named in the settings. */
  std::vector<EntryRecord> m_fallback;
  /** The registration expires if it is not renewed for this time. */
  std::chrono::seconds m_leaseTtl{ 10 };
  /** Receives the key and the fault of a record that can't be read, once for
   * each write; may be empty. */
  std::function<void(const std::string& aDetail)> m_onUnreadable;
  /** Seed of the random retry delays; should differ between processes, so that
   * they do not retry at the same time. */
  std::uint32_t m_seed = 0;
};

/** Receives the whole list each time it changes; it is not called for the
 * fallback list. */
using EntriesHook = std::function<void(std::vector<EntryRecord>)>;

/**
 * Starts to watch the entries, and registers @p aOptions.m_self if present.
 * @param aStore, aTimer must outlive the directory and all its calls.
 */
std::shared_ptr<IEntryDirectory>
StartEntryDirectory(IStore& aStore,
                    ITimer& aTimer,
                    DirectoryOptions aOptions,
                    EntriesHook aOnChange);

} // namespace mulberrysail::store
