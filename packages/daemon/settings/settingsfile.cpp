#include "daemon/settings/settingsfile.h"

#include <sys/stat.h>

#include <utility>

namespace mulberrysail::daemon {

namespace {

constexpr std::int64_t kNsPerSecond = 1000000000;

} // namespace

SettingsFile::SettingsFile(std::string aPath)
  : m_path(std::move(aPath))
  , m_lastState(ReadState())
{
}

bool
SettingsFile::HasChanged()
{
  const FileState state = ReadState();
  if (state == FileState{} || state == m_lastState) {
    return false;
  }
  m_lastState = state;
  return true;
}

SettingsFile::FileState
SettingsFile::ReadState() const
{
  struct stat state = {};
  if (::stat(m_path.c_str(), &state) != 0) {
    return {};
  }
  return { state.st_ino,
           state.st_size,
           state.st_mtim.tv_sec * kNsPerSecond + state.st_mtim.tv_nsec };
}

} // namespace mulberrysail::daemon
