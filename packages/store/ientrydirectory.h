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

/** An entry as it announces itself in the store. */
struct EntryRecord
{
  /** Empty in the fallback list, where only addresses are known. */
  core::ProcessId m_id;
  /** tcp://IP:port */
  std::string m_messageUrl;
  /** http://IP:port */
  std::string m_httpUrl;

  bool operator==(const EntryRecord&) const = default;
};

/** The entries that exist, by the store. Thread-safe. */
class IEntryDirectory
{
public:
  virtual ~IEntryDirectory() = default;

  /** @return the entries by name, this one included; the fallback as long as
   * the store has never answered. */
  virtual std::vector<EntryRecord> Entries() const = 0;

  /** Takes this entry out of the store, so that others learn of it at once.
   * The call is on its way when this returns. */
  virtual void Leave() = 0;

  /** No hook is called any more once this has returned, but from a call that
   * is under way. The registration lapses. */
  virtual void Stop() = 0;
};

struct DirectoryOptions
{
  /** The entry to register; none in an agent. */
  std::optional<EntryRecord> m_self;
  /** From the settings. */
  std::vector<EntryRecord> m_fallback;
  /** Others forget a registered entry after this much silence. */
  std::chrono::seconds m_leaseTtl{ 10 };
  /** Spreads the retries of many processes. */
  std::uint32_t m_seed = 0;
};

/** Gets the whole list each time it changes; the fallback isn't told. */
using EntriesHook = std::function<void(std::vector<EntryRecord>)>;

/**
 * Starts to register and to watch.
 * @param aStore, aTimer must live longer than the directory and all its calls.
 */
std::shared_ptr<IEntryDirectory>
StartEntryDirectory(IStore& aStore,
                    ITimer& aTimer,
                    DirectoryOptions aOptions,
                    EntriesHook aOnChange);

} // namespace mulberrysail::store
