#include "core/settings/ini_document.h"

#include <algorithm>
#include <cstring>
#include <ini.h>
#include <set>
#include <utility>

#include "core/common/split.h"

namespace jacinth::settings {
namespace {

// inih silently truncates longer section names.
constexpr std::size_t kMaxSectionLength = 49;

class IniParser {
 public:
  explicit IniParser(std::string_view text) : remaining_(text) {}

  IniDocument Parse() {
    const int error_line = ini_parse_stream(&ReadLine, this, &OnKeyValue, this);
    if (error_line != 0)
      AddFault(error_line,
               "expected a section, a `key = value` line or a comment");
    return std::move(document_);
  }

 private:
  static char* ReadLine(char* buffer, int size, void* stream) {
    return static_cast<IniParser*>(stream)->CopyNextLine(buffer, size);
  }

  static int OnKeyValue(void* user,
                        const char* section,
                        const char* key,
                        const char* value) {
    static_cast<IniParser*>(user)->AddEntry(section, key, value);
    return 1;
  }

  // Copies the next line to `buffer`, as ini_parse_stream expects of a reader.
  // Returns nullptr at the end of the text.
  char* CopyNextLine(char* buffer, int size) {
    if (remaining_.empty())
      return nullptr;
    ++line_;
    const std::size_t end = remaining_.find('\n');
    std::string_view line = remaining_.substr(0, end);
    remaining_ = end == std::string_view::npos ? std::string_view()
                                               : remaining_.substr(end + 1);
    AddSection(line);
    const std::size_t limit = static_cast<std::size_t>(size) - 2;
    if (line.size() > limit) {
      AddFault(line_, "line is too long");
      line = line.substr(0, limit);
    }
    std::copy(line.begin(), line.end(), buffer);
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
  }

  // Adds a section if `line` is a section header.
  void AddSection(std::string_view line) {
    line = Trim(line);
    if (line.empty() || line.front() != '[')
      return;
    const std::size_t end = line.find(']');
    if (end == std::string_view::npos)
      return;
    const std::string_view name = line.substr(1, end - 1);
    if (name.size() > kMaxSectionLength)
      AddFault(line_, "section name is longer than 49 characters");
    const std::string section(name);
    if (!seen_sections_.insert(section).second) {
      AddFault(line_, "duplicate section");
      return;
    }
    document_.sections.push_back(section);
  }

  void AddEntry(const char* section, const char* key, const char* value) {
    IniEntry entry{section, key, value, line_};
    if (!seen_keys_.insert({entry.section, entry.key}).second) {
      document_.faults.push_back(
          {entry.section, entry.key, line_, "duplicate key"});
      return;
    }
    document_.entries.push_back(std::move(entry));
  }

  void AddFault(int line, std::string reason) {
    document_.faults.push_back({"", "", line, std::move(reason)});
  }

  std::string_view remaining_;
  int line_ = 0;
  std::set<std::pair<std::string, std::string>> seen_keys_;
  std::set<std::string> seen_sections_;
  IniDocument document_;
};

}  // namespace

IniDocument ParseIni(std::string_view text) {
  return IniParser(text).Parse();
}

}  // namespace jacinth::settings
