#include "support/temporarydirectory.h"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace mulberrysail::testsupport {

TemporaryDirectory::TemporaryDirectory()
  : m_path(std::filesystem::temp_directory_path() / "mulberrysail-XXXXXX")
{
  if (mkdtemp(m_path.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), "mkdtemp");
  }
}

TemporaryDirectory::~TemporaryDirectory()
{
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

} // namespace mulberrysail::testsupport
