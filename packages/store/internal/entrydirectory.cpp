#include "store/ientrydirectory.h"

#include "input/boundedjson.h"
#include "input/jsonfields.h"
#include "input/textform.h"
#include "store/internal/registration.h"
#include "store/internal/storewatcher.h"
#include "store/internal/unreadablevalues.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <map>
#include <mutex>
#include <utility>

namespace mulberrysail::store {

namespace {

using core::ErrorKind;
using input::TextForm;
using nlohmann::json;

/** Longest record of an entry. */
constexpr std::size_t kMaxRecordBytes = 4096;
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

void
CheckForm(input::JsonFields& aFields,
          std::string_view aName,
          std::string_view aText,
          TextForm aForm)
{
  if (!input::HasForm(aText, aForm)) {
    aFields.AddError(aName, "expected " + input::DescribeForm(aForm));
  }
}

/** @return the record, or what is wrong with it.
 * @param aName the name in the record's key. */
core::Result<EntryRecord>
ParseRecord(std::string_view aName, std::string_view aValue)
{
  const input::JsonResult root =
    input::ParseJson(aValue, { .m_maxBytes = kMaxRecordBytes });
  if (root.has_error()) {
    return core::Fail(ErrorKind::MalformedRequest, root.error().m_detail);
  }
  input::JsonFields fields(root.value(), "");
  EntryRecord record;
  record.m_id.m_name = fields.RequiredText("name", kMaxRecordBytes);
  record.m_id.m_incarnation = { fields.RequiredWholeNumber(
    "incarnation", 1, std::numeric_limits<std::uint64_t>::max()) };
  record.m_messageUrl = fields.RequiredText("message_url", kMaxRecordBytes);
  record.m_httpUrl = fields.RequiredText("http_url", kMaxRecordBytes);
  if (record.m_id.m_name != aName ||
      !input::HasForm(aName, input::TextForm::Name)) {
    fields.AddError("name", "expected the name in the key");
  }
  CheckForm(fields, "message_url", record.m_messageUrl, TextForm::MessageUrl);
  CheckForm(fields, "http_url", record.m_httpUrl, TextForm::HttpUrl);
  if (fields.FirstError()) {
    return core::Fail(ErrorKind::MalformedRequest, *fields.FirstError());
  }
  return record;
}

class EntryDirectory
  : public IEntryDirectory
  , public std::enable_shared_from_this<EntryDirectory>
{
public:
  EntryDirectory(DirectoryOptions aOptions, EntriesHook aOnChange)
    : m_options(std::move(aOptions))
    , m_onChange(std::move(aOnChange))
    , m_unreadable(m_options.m_onUnreadable)
    , m_published(m_options.m_fallback)
  {
  }

  EntryDirectory(const EntryDirectory&) = delete;
  EntryDirectory& operator=(const EntryDirectory&) = delete;

  ~EntryDirectory() override { EntryDirectory::Stop(); }

  void Start(IStore& aStore, ITimer& aTimer)
  {
    if (m_options.m_self) {
      m_registration =
        std::make_shared<Registration>(aStore,
                                       aTimer,
                                       OwnKey(),
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
    if (aValue.m_modRevision == 0) {
      m_records.erase(aValue.m_key);
      m_unreadable.Remove(aValue.m_key);
      return;
    }
    const std::string_view name =
      std::string_view(aValue.m_key).substr(kEntriesPrefix.size());
    core::Result<EntryRecord> record = ParseRecord(name, aValue.m_value);
    if (record.has_error()) {
      m_records.erase(aValue.m_key);
      m_unreadable.Report(aValue, record.error().m_detail);
      return;
    }
    m_records.insert_or_assign(aValue.m_key, std::move(record).value());
  }

  /** Tells the registration whether its record is in the list. */
  void UpdateRegistration()
  {
    if (!m_registration) {
      return;
    }
    const auto own = m_records.find(OwnKey());
    m_registration->SetListed(own != m_records.end() &&
                              own->second == *m_options.m_self);
  }

  std::string OwnKey() const
  {
    return kEntriesPrefix + m_options.m_self->m_id.m_name;
  }

  /** Calls the hook if the list differs from the one last published. */
  void PublishIfChanged()
  {
    UpdateRegistration();
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
   * concurrently; so is m_unreadable. */
  std::map<std::string, EntryRecord> m_records;
  UnreadableValues m_unreadable;
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
