#include "ctl/table.h"

#include <algorithm>

namespace stoathold {
namespace {

constexpr std::size_t kColumnGap = 2;

void append_row(std::string& text, const std::vector<std::string>& row,
                const std::vector<std::size_t>& widths) {
  for (std::size_t i = 0; i < row.size(); ++i) {
    text += row[i];
    if (i + 1 < row.size()) text.append(widths[i] - row[i].size() + kColumnGap, ' ');
  }
  text += '\n';
}

}  // namespace

std::string format_table(const std::vector<std::string>& header,
                         const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& name : header) widths.push_back(name.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  append_row(text, header, widths);
  for (const auto& row : rows) append_row(text, row, widths);
  return text;
}

}  // namespace stoathold
