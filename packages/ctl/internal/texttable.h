#pragma once

#include <string>
#include <vector>

namespace mulberrysail::ctl {

/** Text in columns. */
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  /** @param aRow as many cells as the header has. */
  void AddRow(std::vector<std::string> aRow);

  std::string Text() const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

} // namespace mulberrysail::ctl
