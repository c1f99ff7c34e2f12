// What engines have said of themselves, as far as it still holds.
//
// An engine's notice binds whoever has it, until the engine itself takes it back: neither the
// engines' list nor the store nor a failure of either changes anything here.
//
//   - A limit holds until an answer of success no longer names it.  Answers may pass one another
//     on the way, so only one to a request that was sent after the limit was last named counts. All
//     gateways share it (limit_share.h), and tell each other of it: those that send an engine
//     nothing would else never hear of the limit's end.
//   - Leaving holds for the rest of the engine's life.  Gateways tell each other of that too.
//   - A pause holds until its time is over.
//
// All is kept under the engine's incarnation (EngineRecord::Incarnation), so that a later life
// begins without notices.
//
//   EngineNotices notices;
//   notices.Hear(engine, notice, request_sent, now);
//   if (notices.IsLeaving(engine)) ...
//
// Memory is bounded: notices of engines that are no longer listed are dropped after kKeptFor,
// and where there are kCapacity engines the one heard of longest ago makes room; forgotten()
// counts those.

#ifndef GULLWARD_SERVING_ENGINE_NOTICES_H_
#define GULLWARD_SERVING_ENGINE_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "serving/engine_notice.h"
#include "serving/limit_share.h"

namespace gullward {

class EngineNotices {
 public:
  // An engine may drop off the list and come back, or leave for minutes.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  // 200 bytes each.
  static constexpr size_t kCapacity = 4096;
  // Of all gateways together, so that an engine that names a limit of zero is asked now and
  // then whether it still does.
  static constexpr double kLeastPerSecond = 0.1;
  // Words of a limit that are older are neither told nor taken; that it is no longer named is
  // remembered for longer, so that no older word brings the limit back.
  static constexpr Duration kOldestWord = seconds(30);
  static constexpr Duration kLiftedKeptFor = seconds(60);
  // For how long a gateway that has heard the engine itself tells of it: for one round, in
  // case that the first word was lost.
  static constexpr Duration kOwnWordLasts = milliseconds(2500);

  // Which notices of an engine an answer has changed.
  struct Change {
    bool limit = false;
    bool leaving = false;
    // The engine has begun a pause; one that is prolonged is no change.
    bool rest = false;

    bool any() const { return limit || leaving || rest; }
    bool operator==(const Change&) const = default;
  };

  // Takes what an engine has said in an answer that arrived at `now` to a request sent at
  // `sent`.
  Change Receive(const std::string& engine, const EngineNotice& notice, Time sent, Time now);
  // Takes what another gateway has told.
  Change ReceiveReport(const std::string& engine, const NoticeReport& word, Time now);

  // What the others should hear: changes that nobody has been told of, or with `all`, in each
  // round, also what the engine has said lately and what those who share its limit know.
  std::map<std::string, NoticeReport> ReportsToSend(
      bool all, const std::function<bool(const std::string& engine)>& is_sharer, Time now);

  // Whether the engine takes a request from this gateway now, which has `share` of its limit.
  bool Admits(const std::string& engine, double share, Time now);
  // A request has been sent to the engine.
  void NoteSent(const std::string& engine, double share, Time now);
  // After how long it will take one; nothing where that is not known.
  std::optional<Duration> TimeUntilAdmission(const std::string& engine, double share, Time now);

  bool empty() const { return this->entries.empty(); }
  // Whether anything is known of the engine.
  bool Has(const std::string& engine) const { return this->Find(engine) != nullptr; }
  bool IsLeaving(const std::string& engine) const;
  // What is left of the pause that the engine has asked for; none: zero.
  Duration RestLeft(const std::string& engine, Time now) const;
  std::optional<double> LimitOf(const std::string& engine) const;

  // Drops what is over.  `listed`: the incarnations that are on the engines' list.
  void Forget(const std::set<std::string>& listed, Time now);

  // Engines by what they have said.
  size_t limited() const;
  size_t leaving() const;
  size_t resting(Time now) const;
  // Engines dropped for want of room.
  uint64_t forgotten() const { return this->dropped; }

 private:
  struct Entry {
    std::optional<double> limit_per_s;
    // Of what is known of the limit: when the answer that named it arrived, or when the
    // request was sent whose answer did not.
    Time limit_said{};
    LimitCredit credit;
    bool leaving = false;
    Time rests_until{};
    // When it was last heard of, or was on the list.
    Time kept_since{};
    // When the engine last said something here itself.
    Time heard_at{};
    // Whether that has changed what is known, and nobody has been told yet.
    bool is_untold = false;
  };

  static bool IsOver(const Entry& entry, Time now);
  static bool TakeLimit(const std::optional<double>& limit, Time said, Entry* entry);
  double CreditLeft(Entry* entry, double share, Time now) const;
  const Entry* Find(const std::string& engine) const;
  Entry* Find(const std::string& engine);
  Entry& FindOrAdd(const std::string& engine, Time now);
  void MakeRoom();

  std::unordered_map<std::string, Entry> entries;
  uint64_t dropped = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_NOTICES_H_
