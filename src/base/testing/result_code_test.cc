// Tests that docs/RESULT-CODES.md holds the same table as result_code.cc, that source files
// named in the documentation exist, and the prefix hashes.

#define BOOST_TEST_MODULE result_code
#include "base/result_code.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "base/prefix_hash.h"

namespace gullward {
namespace {

BOOST_AUTO_TEST_CASE(DocumentationHoldsTheSameTable) {
  std::ifstream stream(std::string(GULLWARD_SOURCE_DIR) + "/docs/RESULT-CODES.md");
  std::ostringstream page;
  page << stream.rdbuf();
  size_t rows = 0;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    std::string status = info.http_status == 0 ? "-" : std::to_string(info.http_status);
    std::string row = "| " + std::to_string(static_cast<uint32_t>(info.code)) + " | " + info.name +
                      " | " + status + " | " + info.description + " |\n";
    BOOST_TEST(page.str().find(row) != std::string::npos, "missing row: " << row);
    ++rows;
  }
  size_t page_rows = 0;
  std::istringstream lines(page.str());
  for (std::string line; std::getline(lines, line);) {
    bool is_row = line.size() > 3 && line[0] == '|' && line[2] >= '0' && line[2] <= '9';
    if (is_row) ++page_rows;
  }
  BOOST_TEST(page_rows == rows);
}

// The documentation refers to mechanisms by their source files, so these files must exist.
BOOST_AUTO_TEST_CASE(FilesThatPagesNameExist) {
  const std::string root = std::string(GULLWARD_SOURCE_DIR) + "/";
  const std::regex named("`((?:src|docs|scripts)/[A-Za-z0-9_./-]+)`");
  int found = 0;
  for (const char* page : {"README.md", "docs/CAPACITY.md", "docs/DESIGN.md", "docs/FAULTS.md",
                           "docs/OPERATORS.md", "docs/ENGINES.md", "docs/PLATFORM.md"}) {
    std::ifstream stream(root + page);
    std::ostringstream text;
    text << stream.rdbuf();
    const std::string whole = text.str();
    BOOST_TEST(!whole.empty(), page);
    for (std::sregex_iterator it(whole.begin(), whole.end(), named), end; it != end; ++it) {
      ++found;
      BOOST_TEST(std::filesystem::exists(root + (*it)[1].str()), page << " names " << (*it)[1]);
    }
  }
  BOOST_TEST(found > 30);
}

BOOST_AUTO_TEST_CASE(CodesAndNamesAreUnique) {
  std::set<uint32_t> codes;
  std::set<std::string> names;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    BOOST_TEST(codes.insert(static_cast<uint32_t>(info.code)).second);
    BOOST_TEST(names.insert(info.name).second);
  }
  BOOST_TEST((Info(static_cast<ResultCode>(77)).code == ResultCode::kInternal));
}

BOOST_AUTO_TEST_CASE(PrefixHashesAreEqualForEqualPrefixes) {
  std::string one(3 * kPrefixBlockBytes, 'a');
  std::string other = one;
  other[kPrefixBlockBytes + 5] = 'b';
  std::vector<PrefixHash> a = PrefixHashes(one);
  std::vector<PrefixHash> b = PrefixHashes(other);
  BOOST_REQUIRE(a.size() == 2u);
  BOOST_TEST((a[0] == b[0]));
  BOOST_TEST((a[1] != b[1]));
  BOOST_TEST(PrefixHashes("short").empty());
  BOOST_TEST(PrefixHashes(std::string(5'000'000, 'x')).size() == 12u);
}

}  // namespace
}  // namespace gullward
