#include "store/ientrydirectory.h"

#include "store/internal/registration.h"
#include "store/internal/storewatcher.h"

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace mulberrysail::store {

namespace {

using nlohmann::json;

const std::string kEntriesPrefix = "/mulberrysail/entries/";

std::string
SerializeRecord(const EntryRecord& aRecord)
{
  return json{
    { "name", aRecord.m_id.m_name },
    { "incarnation", aRecord.m_id.m_incarnation.m_value },
    { "message_url", aRecord.m_messageUrl },
    { "http_url", aRecord.m_httpUrl }
  }.dump();
}

/** @return the record; nothing if the value cannot be parsed. */
std::optional<EntryRecord>
ParseRecord(const std::string& aValue)
{
  try {
    const json root = json::parse(aValue);
    return EntryRecord{ { root.at("name").get<std::string>(),
                          { root.at("incarnation").get<std::uint64_t>() } },
                        root.at("message_url").get<std::string>(),
                        root.at("http_url").get<std::string>() };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

class EntryDirectory
  : public IEntryDirectory
  , public std::enable_shared_from_this<EntryDirectory>
{
public:
  EntryDirectory(DirectoryOptions aOptions, EntriesHook aOnChange)
    : m_options(std::move(aOptions))
    , m_onChange(std::move(aOnChange))
    , m_published(m_options.m_fallback)
  {
  }

  EntryDirectory(const EntryDirectory&) = delete;
  EntryDirectory& operator=(const EntryDirectory&) = delete;

  ~EntryDirectory() override { EntryDirectory::Stop(); }

  void Start(IStore& aStore, ITimer& aTimer)
  {
    if (m_options.m_self) {
      m_registration = std::make_shared<Registration>(
        aStore,
        aTimer,
        kEntriesPrefix + m_options.m_self->m_id.m_name,
        SerializeRecord(*m_options.m_self),
        m_options.m_leaseTtl,
        m_options.m_seed);
    }
    const std::weak_ptr<EntryDirectory> weak = weak_from_this();
    WatcherHooks hooks;
    hooks.m_onSnapshot = [weak](const StoreRead& aRead) {
      if (const std::shared_ptr<EntryDirectory> self = weak.lock()) {
        self->OnSnapshot(aRead);
      }
    };
    hooks.m_onChange = [weak](const StoredValue& aValue) {
      if (const std::shared_ptr<EntryDirectory> self = weak.lock()) {
        self->OnValue(aValue);
      }
    };
    m_watcher = std::make_shared<StoreWatcher>(
      aStore, aTimer, kEntriesPrefix, m_options.m_seed, std::move(hooks));
    if (m_registration) {
      m_registration->Start();
    }
    m_watcher->Start();
  }

  std::vector<EntryRecord> Entries() const override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_published;
  }

  void Leave() override
  {
    if (m_registration) {
      m_registration->Leave();
    }
  }

  void Stop() override
  {
    if (m_registration) {
      m_registration->Stop();
    }
    if (m_watcher) {
      m_watcher->Stop();
    }
  }

private:
  void OnSnapshot(const StoreRead& aRead)
  {
    m_records.clear();
    for (const StoredValue& value : aRead.m_values) {
      UpdateRecord(value);
    }
    PublishIfChanged();
  }

  void OnValue(const StoredValue& aValue)
  {
    UpdateRecord(aValue);
    PublishIfChanged();
  }

  /** Stores the record of a value, or removes it if the key was deleted or the
   * value cannot be parsed. */
  void UpdateRecord(const StoredValue& aValue)
  {
    std::optional<EntryRecord> record;
    if (aValue.m_modRevision != 0) {
      record = ParseRecord(aValue.m_value);
    }
    if (record) {
      m_records.insert_or_assign(aValue.m_key, std::move(*record));
    } else {
      m_records.erase(aValue.m_key);
    }
  }

  /** Calls the hook if the list differs from the one last published. */
  void PublishIfChanged()
  {
    std::vector<EntryRecord> entries;
    entries.reserve(m_records.size());
    for (const auto& [key, record] : m_records) {
      entries.push_back(record);
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (entries == m_published) {
        return;
      }
      m_published = entries;
    }
    m_onChange(std::move(entries));
  }

  const DirectoryOptions m_options;
  const EntriesHook m_onChange;
  std::shared_ptr<Registration> m_registration;
  std::shared_ptr<StoreWatcher> m_watcher;
  /** By key. Accessed only from the watcher's hooks, which never run
   * concurrently. */
  std::map<std::string, EntryRecord> m_records;
  mutable std::mutex m_mutex;
  /** The list returned by Entries(). */
  std::vector<EntryRecord> m_published;
};

} // namespace

std::shared_ptr<IEntryDirectory>
StartEntryDirectory(IStore& aStore,
                    ITimer& aTimer,
                    DirectoryOptions aOptions,
                    EntriesHook aOnChange)
{
  const std::shared_ptr<EntryDirectory> directory =
    std::make_shared<EntryDirectory>(std::move(aOptions), std::move(aOnChange));
  directory->Start(aStore, aTimer);
  return directory;
}

} // namespace mulberrysail::store
