#pragma once

#include <string>

namespace mulberrysail::testsupport {

/** A new directory, removed with all that is in it. */
class TemporaryDirectory
{
public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

} // namespace mulberrysail::testsupport
