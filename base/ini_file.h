// Reads an INI file into typed lines that remember where they stood.

#ifndef BASE_INI_FILE_H_
#define BASE_INI_FILE_H_

#include <istream>
#include <stdexcept>
#include <string>
#include <vector>

namespace quartzhoist::base {

// One `key = value` of a section, and its line in the file (from 1).
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

// Invalid text of a file that people write: says file, line and key.
class TextError : public std::runtime_error {
 public:
  // `line` 0 means the file as a whole; `key` may be empty.
  TextError(const std::string& file,
            int line,
            const std::string& key,
            const std::string& problem);
};

// Throws TextError on a line that is neither section, entry nor comment.
std::vector<IniEntry> ReadIni(std::istream& in, const std::string& file);

}  // namespace quartzhoist::base

#endif  // BASE_INI_FILE_H_
