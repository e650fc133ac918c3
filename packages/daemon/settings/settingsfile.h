#pragma once

#include <cstdint>
#include <string>

namespace mulberrysail::daemon {

/** Notices that a file was written or replaced, without reading it. */
class SettingsFile
{
public:
  explicit SettingsFile(std::string aPath);

  /** @return whether it has changed since it was last asked. A file that is
   * gone has not; it may be on its way to being replaced. */
  bool HasChanged();

private:
  /** Tells two states of a file apart. */
  struct FileState
  {
    std::uint64_t m_inode = 0;
    std::int64_t m_sizeBytes = 0;
    std::int64_t m_modifiedNs = 0;

    bool operator==(const FileState&) const = default;
  };

  FileState ReadState() const;

  const std::string m_path;
  FileState m_lastState;
};

} // namespace mulberrysail::daemon
