// Tables of text with aligned columns.
//
//   TextTable table({"NODE", "SLOTS"});
//   table.addRow({"n-1", "30"});
//   std::cout << table.toString();
#pragma once

#include <string>
#include <vector>

namespace kumquat {

class TextTable
{
public:
    explicit TextTable(std::vector<std::string> headings);

    // Adds a row with one cell per heading. An empty cell is printed as "-".
    void addRow(std::vector<std::string> cells);

    // Returns lines with columns of equal width; columns of numbers are aligned to the right.
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> rows; // headings first
};

} // namespace kumquat
