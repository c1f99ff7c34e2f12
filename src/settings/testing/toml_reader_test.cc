// Tests that every error in a settings table is reported with its file, line and key.

#define BOOST_TEST_MODULE toml_reader
#include "settings/toml_reader.h"

#include <boost/test/unit_test.hpp>

namespace gullward {
namespace {

std::vector<std::string> ErrorsIn(const std::string& text) {
  std::vector<ConfigError> errors;
  std::optional<toml::table> table = ParseToml(text, "f", &errors);
  if (table) {
    TomlReader reader(*table, "f", "", &errors);
    reader.String("name", std::nullopt);
    reader.Integer("count", 3, 1, 9);
    reader.Number("ratio", 0.5, 0, 1);
    reader.Boolean("flag", false);
    reader.ReadLabels("labels");
    reader.ReadSelector("selector");
    reader.Finish();
  }
  std::vector<std::string> lines;
  for (const ConfigError& error : errors) lines.push_back(ToString(error));
  return lines;
}

struct Row {
  std::string text;
  std::vector<std::string> errors;
};

BOOST_AUTO_TEST_CASE(EveryErrorIsReportedWithItsLine) {
  const std::vector<Row> rows = {
      {"name = 'x'", {}},
      {"", {"f:1: name: missing; expected a string"}},
      {"name = ''", {"f:1: name: expected a string that is not empty"}},
      {"name = 3", {"f:1: name: expected a string"}},
      {"name = 'x'\ncount = 10", {"f:2: count: expected a whole number from 1 to 9"}},
      {"name = 'x'\ncount = 1.5", {"f:2: count: expected a whole number from 1 to 9"}},
      {"name = 'x'\nratio = nan", {"f:2: ratio: expected a number from 0 to 1"}},
      {"name = 'x'\nratio = 1", {}},
      {"name = 'x'\nflag = 1", {"f:2: flag: expected true or false"}},
      {"name = 'x'\nlabels = { a = 1 }", {"f:2: labels: label a: expected a string"}},
      {"name = 'x'\nselector = { a = ['b', 2] }",
       {"f:2: selector.a: expected an array of strings"}},
      {"name = 'x'\nother = 1\ncount = 0",
       {"f:3: count: expected a whole number from 1 to 9", "f:2: other: unknown key"}},
  };
  for (const Row& row : rows) {
    BOOST_TEST(ErrorsIn(row.text) == row.errors, boost::test_tools::per_element());
  }
  BOOST_TEST(ErrorsIn("name = ").size() == 1u);
}

BOOST_AUTO_TEST_CASE(SelectorsMatchLabels) {
  Labels labels = {{"hall", "fukuoka"}, {"kind", "large"}};
  BOOST_TEST(Matches({}, labels));
  BOOST_TEST(Matches({{"hall", {"kumamoto", "fukuoka"}}}, labels));
  BOOST_TEST(!Matches({{"hall", {"kumamoto"}}}, labels));
  BOOST_TEST(!Matches({{"hall", {"fukuoka"}}, {"size", {"x"}}}, labels));
}

}  // namespace
}  // namespace gullward
