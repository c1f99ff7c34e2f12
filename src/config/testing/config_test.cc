// Replay of configuration: races, references, gaps, snapshots, peers.

#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "config/config_feed.h"
#include "config/config_file.h"
#include "wire/codec.h"

namespace gullward {
namespace {

constexpr char kClass[] = "timeout_seconds = 5";

ConfigChange Change(uint64_t sequence, std::vector<ObjectChange> objects) {
  return {{1, sequence}, std::move(objects)};
}

ObjectChange Write(const std::string& kind, const std::string& name, int64_t based_on,
                   const std::string& body) {
  return {kind, name, based_on, false, body};
}

std::string AccountBody(char digit, const std::string& class_name) {
  return "class = \"" + class_name + "\"\nkey_sha256 = \"" + std::string(64, digit) + "\"";
}

std::string KeyOf(char digit) { return std::string(64, digit); }

// Configuration changes from a base of one class at offset 0, and their fate.
struct Row {
  const char* what;
  std::vector<ObjectChange> objects;
  ResultCode code;
};

BOOST_AUTO_TEST_CASE(FatesOfChanges) {
  const std::vector<Row> rows = {
      {"a new object", {Write("class", "new", -1, kClass)}, ResultCode::kOk},
      {"based on the version in force",
       {Write("class", "c", 0, "timeout_seconds = 9")},
       ResultCode::kOk},
      {"new, but it exists", {Write("class", "c", -1, kClass)}, ResultCode::kConfigConflict},
      {"based on a version that never was",
       {Write("class", "c", 7, kClass)},
       ResultCode::kConfigConflict},
      {"one of two is stale: neither is written",
       {Write("class", "new", -1, kClass), Write("class", "c", 7, kClass)},
       ResultCode::kConfigConflict},
      {"one object twice",
       {Write("class", "c", 0, kClass), Write("class", "c", 0, kClass)},
       ResultCode::kConfigConflict},
      {"names a class that is not there",
       {Write("account", "a", -1, AccountBody('a', "none"))},
       ResultCode::kConfigInvalid},
      {"names a class written by the same change",
       {Write("account", "a", -1, AccountBody('a', "new")), Write("class", "new", -1, kClass)},
       ResultCode::kOk},
      {"unknown kind", {Write("wizard", "w", -1, "")}, ResultCode::kConfigInvalid},
      {"unknown key",
       {Write("class", "new", -1, "timeout_seconds = 5\nwidth = 3")},
       ResultCode::kConfigInvalid},
      {"impossible value",
       {Write("class", "new", -1, "timeout_seconds = -5")},
       ResultCode::kConfigInvalid},
      {"not TOML", {Write("class", "new", -1, "= = =")}, ResultCode::kConfigInvalid},
      {"deletes what nobody names", {{"class", "c", 0, true, ""}}, ResultCode::kOk},
  };
  for (const Row& row : rows) {
    ConfigState state;
    state.Apply(0, Change(1, {Write("class", "c", -1, kClass)}));
    ConfigSnapshot before = state.Snapshot();
    ApplyResult result = state.Apply(1, Change(2, row.objects));
    BOOST_TEST((result.code == row.code), row.what << ": " << Info(result.code).name);
    // All or nothing: a rejected change leaves every object as it was.
    if (row.code != ResultCode::kOk) BOOST_TEST((state.Snapshot().objects == before.objects));
    BOOST_TEST(state.offset() == 1);
  }
}

BOOST_AUTO_TEST_CASE(ANamedClassCannotBeDeleted) {
  ConfigState state;
  state.Apply(0, Change(1, {Write("class", "c", -1, kClass),
                            Write("account", "a", -1, AccountBody('a', "c"))}));
  ApplyResult result = state.Apply(1, Change(2, {{"class", "c", 0, true, ""}}));
  BOOST_TEST((result.code == ResultCode::kConfigInvalid));
  // Both together may go.
  result = state.Apply(2, Change(3, {{"class", "c", 0, true, ""}, {"account", "a", 0, true, ""}}));
  BOOST_TEST((result.code == ResultCode::kOk));
  BOOST_TEST(state.size() == 0u);
}

BOOST_AUTO_TEST_CASE(AccountsAreFoundByKey) {
  ConfigState state;
  state.Apply(0, Change(1, {Write("class", "c", -1, kClass),
                            Write("account", "a", -1, AccountBody('a', "c"))}));
  BOOST_TEST(state.AccountOfKey(KeyOf('a'))->id.name == "a");
  ApplyResult taken = state.Apply(1, Change(2, {Write("account", "b", -1, AccountBody('a', "c"))}));
  BOOST_TEST((taken.code == ResultCode::kConfigInvalid));
  state.Apply(2, Change(3, {Write("account", "a", 0, AccountBody('b', "c"))}));
  BOOST_TEST(state.AccountOfKey(KeyOf('a')) == nullptr);
  BOOST_TEST(state.AccountOfKey(KeyOf('b'))->id.name == "a");
}

BOOST_AUTO_TEST_CASE(OldRecordsAreIgnored) {
  ConfigState state;
  state.Apply(0, Change(1, {Write("class", "c", -1, kClass)}));
  state.Apply(1, Change(2, {Write("class", "c", 0, "timeout_seconds = 9")}));
  ConfigSnapshot before = state.Snapshot();
  BOOST_TEST(state.Apply(0, Change(1, {Write("class", "c", -1, kClass)})).ignored);
  BOOST_TEST(!state.Load(ConfigSnapshot{1, {}}));
  BOOST_TEST((state.Snapshot() == before));
}

// ----------------------------------------------------------------------- feed

// A log of `count` changes, with snapshots cut at the given offsets' prefixes and
// appended later, as a snapshot cut while changes arrive is.
std::vector<OffsetRecord> MakeLog(int count, const std::vector<std::pair<int, int>>& snapshots) {
  std::vector<OffsetRecord> log;
  ConfigState state;
  std::map<int, ConfigSnapshot> cut;
  std::map<std::string, int64_t> versions;
  for (int i = 0; static_cast<int>(log.size()) < count; ++i) {
    auto offset = static_cast<int64_t>(log.size());
    LogRecord record = UnknownRecord{};
    bool placed = false;
    for (const auto& [cut_at, placed_at] : snapshots) {
      if (placed_at == offset) {
        record = cut[cut_at];
        placed = true;
      }
    }
    if (!placed) {
      std::string name = "c" + std::to_string(i % 3);
      int64_t version = versions.count(name) > 0 ? versions[name] : -1;
      record =
          Change(static_cast<uint64_t>(i),
                 {Write("class", name, version, "timeout_seconds = " + std::to_string(1 + i))});
      versions[name] = offset;
    }
    log.push_back({offset, EncodeRecord(record)});
    state.Apply(offset, record);
    cut[static_cast<int>(offset)] = state.Snapshot();
  }
  return log;
}

ConfigSnapshot Replay(const std::vector<OffsetRecord>& log) {
  ConfigState state;
  for (const OffsetRecord& record : log) state.Apply(record.offset, DecodeRecord(record.body));
  return state.Snapshot();
}

std::vector<OffsetRecord> Slice(const std::vector<OffsetRecord>& log, size_t from, size_t to) {
  return {log.begin() + static_cast<ptrdiff_t>(from), log.begin() + static_cast<ptrdiff_t>(to)};
}

BOOST_AUTO_TEST_CASE(EveryTrimmedStartEndsInTheSameState) {
  // Cut at 9 but appended at 12, with changes between; and again at 20 and 21.
  std::vector<OffsetRecord> log = MakeLog(30, {{9, 12}, {20, 21}});
  ConfigSnapshot whole = Replay(log);
  for (size_t earliest = 0; earliest <= 21; ++earliest) {
    for (size_t batch = 1; batch <= 30; batch += 3) {
      ConfigFeed feed;
      for (size_t from = earliest; from < log.size(); from += batch) {
        size_t to = std::min(from + batch, log.size());
        feed.ApplyLogRecords(static_cast<int64_t>(earliest), Slice(log, from, to));
      }
      BOOST_TEST((feed.state().Snapshot() == whole), "earliest " << earliest << " batch " << batch);
    }
  }
}

BOOST_AUTO_TEST_CASE(WithoutABridgeNothingIsInForce) {
  // The snapshot at 12 covers up to 9 only; records 10 and 11 are trimmed.
  std::vector<OffsetRecord> log = MakeLog(15, {{9, 12}});
  ConfigFeed feed;
  feed.ApplyLogRecords(11, Slice(log, 11, log.size()));
  BOOST_TEST(feed.state().size() == 0u);
  BOOST_TEST(!feed.IsReady(Time(), seconds(5)));
  // A peer that has it all helps, and what was buffered is not lost.
  ConfigFeed peer;
  peer.ApplyLogRecords(0, Slice(log, 0, 12));
  feed.ApplyPeerRecords(peer.RecordsAfter(feed.state().offset()).records);
  BOOST_TEST((feed.state().Snapshot() == Replay(log)));
}

BOOST_AUTO_TEST_CASE(PeersFeedOnlyForward) {
  std::vector<OffsetRecord> log = MakeLog(600, {});
  ConfigFeed ahead;
  ahead.ApplyLogRecords(0, log);
  for (size_t known : {0u, 1u, 300u, 500u, 599u, 600u}) {
    ConfigFeed feed;
    feed.ApplyLogRecords(0, Slice(log, 0, known));
    ConfigRecords answer = ahead.RecordsAfter(feed.state().offset());
    feed.ApplyPeerRecords(answer.records);
    BOOST_TEST((feed.state().Snapshot() == ahead.state().Snapshot()), "known " << known);
    // The same again, and an older peer's, change nothing.
    feed.ApplyPeerRecords(answer.records);
    ConfigFeed old;
    old.ApplyLogRecords(0, Slice(log, 0, 10));
    feed.ApplyPeerRecords(old.RecordsAfter(-1).records);
    BOOST_TEST(feed.state().offset() == 599);
  }
}

BOOST_AUTO_TEST_CASE(AProcessThatIsBehindStopsServingInTime) {
  ConfigFeed feed;
  BOOST_TEST(!feed.IsReady(Time(), seconds(5)));
  feed.ApplyLogRecords(0, MakeLog(3, {}));
  BOOST_TEST(feed.IsReady(Time(), seconds(5)));
  feed.ObserveOffset(10, Time(seconds(100)));
  BOOST_TEST(feed.IsReady(Time(seconds(104)), seconds(5)));
  feed.ObserveOffset(11, Time(seconds(104)));
  BOOST_TEST(!feed.IsReady(Time(seconds(105)), seconds(5)));
}

BOOST_AUTO_TEST_CASE(UnknownRecordsAreSkippedAlike) {
  std::vector<OffsetRecord> log = MakeLog(3, {});
  log[1].body = "from a later version";
  ConfigFeed feed;
  feed.ApplyLogRecords(0, log);
  BOOST_TEST(feed.state().offset() == 2);
  BOOST_TEST(feed.state().counters().unknown == 1u);
  BOOST_TEST(feed.state().counters().accepted == 2u);
}

// ----------------------------------------------------------------------- files

BOOST_AUTO_TEST_CASE(FilesReportEveryMistakeWithItsPlace) {
  std::vector<ConfigError> errors;
  auto file = ParseConfigFile(
      "based_on = \"x\"\n[[class]]\nname = \"c\"\ntimeout_seconds = \"long\"\n"
      "[[account]]\nname = \"a\"\nclass = \"c\"\nkey_sha256 = \"short\"\nwidth = 3\n"
      "[[delete]]\nkind = \"wizard\"\nname = \"w\"\n[[class]]\nname = \"c\"\ntimeout_seconds = 1\n",
      "fleet.toml", &errors);
  BOOST_TEST(!file.has_value());
  std::vector<std::string> lines;
  for (const ConfigError& error : errors) lines.push_back(ToString(error));
  const std::vector<std::string> expected = {
      "fleet.toml:1: based_on: expected a whole number from -1 to 9223372036854775807",
      "fleet.toml:4: class[0].timeout_seconds: expected a number from 0.01 to 86400",
      "fleet.toml:14: class[1].name: the class \"c\" stands twice in this file",
      "fleet.toml:8: account[0].key_sha256: expected 64 hexadecimal digits in lower case",
      "fleet.toml:9: account[0].width: unknown key",
      "fleet.toml:11: delete[0].kind: unknown kind \"wizard\""};
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AWrittenFileChangesNothingWhenPublishedAgain) {
  ConfigState state;
  std::vector<ConfigError> errors;
  auto file = ParseConfigFile(
      "[[class]]\nname = \"c\"\ntimeout_seconds = 5\n[[account]]\nname = "
      "\"a\"\nclass = \"c\"\nlabels = { kind = \"x\" }\nkey_sha256 = \"" +
          KeyOf('a') + "\"\n",
      "one", &errors);
  BOOST_REQUIRE(file.has_value());
  state.Apply(0, MakeChange(*file, state, {1, 1}));
  auto again = ParseConfigFile(WriteConfigFile(state), "two", &errors);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->based_on == 0);
  BOOST_TEST(MakeChange(*again, state, {1, 2}).objects.empty());
}

BOOST_AUTO_TEST_CASE(AFileBasedOnAnOlderOffsetLoses) {
  ConfigState state;
  state.Apply(0, Change(1, {Write("class", "c", -1, kClass)}));
  state.Apply(1, Change(2, {Write("class", "c", 0, "timeout_seconds = 9")}));
  std::vector<ConfigError> errors;
  auto file = ParseConfigFile("based_on = 0\n[[class]]\nname = \"c\"\ntimeout_seconds = 7\n",
                              "late", &errors);
  ApplyResult result = state.Apply(2, MakeChange(*file, state, {1, 3}));
  BOOST_TEST((result.code == ResultCode::kConfigConflict));
}

}  // namespace
}  // namespace gullward
