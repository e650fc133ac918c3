#include "ctl/internal/texttable.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::ctl {

namespace {

constexpr std::size_t kGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> aHeader)
{
  m_rows.push_back(std::move(aHeader));
}

void
TextTable::AddRow(std::vector<std::string> aRow)
{
  m_rows.push_back(std::move(aRow));
}

std::string
TextTable::Text() const
{
  std::vector<std::size_t> widths(m_rows.front().size(), 0);
  for (const std::vector<std::string>& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : m_rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace mulberrysail::ctl
