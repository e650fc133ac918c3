#pragma once

#include <cstdint>
#include <string>

namespace mulberrysail::daemon {

/** Detects that a file was written or replaced, without reading it. */
class SettingsFile
{
public:
  explicit SettingsFile(std::string aPath);

  /** @return whether the file has changed since the previous call, or since
   * construction. A missing file counts as unchanged, since it may be in the
   * course of being replaced. */
  bool HasChanged();

private:
  /** Metadata that differs when the file was written or replaced; all zero if
   * the file is missing. */
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
