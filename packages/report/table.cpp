#include "report/table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t columnGap = 2; // spaces between columns

// Returns the number of characters of UTF-8 text: the number of bytes without continuation bytes.
std::size_t widthOf(const std::string &cell)
{
    return static_cast<std::size_t>(std::count_if(
            cell.begin(), cell.end(), [](unsigned char c) { return (c & 0xc0) != 0x80; }));
}

bool isNumber(const std::string &cell)
{
    return cell == "-" || cell.find_first_not_of("0123456789.") == std::string::npos;
}

} // namespace

TextTable::TextTable(std::vector<std::string> headings)
{
    this->rows.push_back(std::move(headings));
}

void TextTable::addRow(std::vector<std::string> cells)
{
    assert(cells.size() == this->rows.front().size() && "a row must have one cell per heading");
    for (std::string &cell : cells) {
        cell = cell.empty() ? "-" : cell;
    }
    this->rows.push_back(std::move(cells));
}

std::string TextTable::toString() const
{
    const std::size_t columns = this->rows.front().size();
    std::vector<std::size_t> widths(columns, 0);
    std::vector<bool> areNumbers(columns, true);
    for (std::size_t row = 0; row < this->rows.size(); ++row) {
        for (std::size_t column = 0; column < columns; ++column) {
            const std::string &cell = this->rows[row][column];
            widths[column] = std::max(widths[column], widthOf(cell));
            areNumbers[column] = areNumbers[column] && (row == 0 || isNumber(cell));
        }
    }
    std::string text;
    for (const auto &cells : this->rows) {
        std::string line;
        for (std::size_t column = 0; column < columns; ++column) {
            const std::string padding(widths[column] - widthOf(cells[column]), ' ');
            line += areNumbers[column] ? padding + cells[column] : cells[column] + padding;
            line += std::string(columnGap, ' ');
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

} // namespace kumquat
