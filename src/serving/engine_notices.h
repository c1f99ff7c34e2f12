// Keeps what engines have said of themselves in answers, for as long as it holds.
//
// An engine's notice holds until the engine itself withdraws it.  Neither the list of engines nor
// the store nor a failure of either changes the notices.
//
//   - A limit (requests a second) holds until an answer of success no longer names it.  Answers
//     may overtake one another, so an answer lifts the limit only if its request was sent after
//     the limit was last named.  All gateways share the limit (limit_share.h) and report it to
//     each other: a gateway that sends the engine nothing would otherwise never learn that the
//     limit has been lifted.
//   - Leaving holds for the rest of the engine's incarnation.  Gateways report it to each other.
//   - A pause holds until its time is over.  It applies to the gateway that received it alone.
//
// All state is keyed by the engine's incarnation (EngineRecord::Incarnation), so that a later
// incarnation begins without notices.
//
//   EngineNotices notices;
//   notices.Receive(engine, notice, request_sent, now);
//   if (notices.IsLeaving(engine)) ...
//
// Memory is bounded: notices of engines that are no longer listed are dropped after kRetention.
// With kCapacity engines stored, a new one replaces the engine that was updated least recently;
// forgotten() counts the replaced ones.

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
  // An engine may drop off the list and return, or be absent for minutes.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  // Each entry takes about 200 bytes.
  static constexpr size_t kCapacity = 4096;
  // Lower bound of a limit, for all gateways together.  An engine with a limit of zero still gets
  // a request now and then, whose answer shows whether the limit is still named.
  static constexpr double kMinPerSecond = 0.1;
  // Reports of a limit that are older are neither sent nor accepted.
  static constexpr Duration kMaxReportAge = seconds(30);
  // That a limit was lifted is kept for longer than kMaxReportAge, so that no report from before
  // then restores the limit.
  static constexpr Duration kLiftedRetention = seconds(60);
  // For how long after an answer the gateway that received it reports the engine's notices in
  // each round: long enough to repeat them once, in case the first datagram was lost.
  static constexpr Duration kRepeatPeriod = milliseconds(2500);

  // Which notices of an engine an answer or report has changed.
  struct Change {
    bool limit = false;
    bool leaving = false;
    // The engine has begun a pause.  The extension of a pause is not a change.
    bool rest = false;

    bool any() const { return limit || leaving || rest; }
    bool operator==(const Change&) const = default;
  };

  // Applies the notice in an answer that arrived at `now` to a request sent at `sent`.
  Change Receive(const std::string& engine, const EngineNotice& notice, Time sent, Time now);
  // Applies the report of another gateway.
  Change ReceiveReport(const std::string& engine, const NoticeReport& report, Time now);

  // The reports to send to other gateways, by engine: changes that have not been sent yet.  With
  // `all`, which is set once in each round, also the notices of engines that answered within
  // kRepeatPeriod and of engines whose limit this gateway shares (`is_sharer`).
  std::map<std::string, NoticeReport> ReportsToSend(
      bool all, const std::function<bool(const std::string& engine)>& is_sharer, Time now);

  // Whether the engine admits a request from this gateway now.  `share`, 0 to 1, is the
  // gateway's share of the engine's limit, and `other_limit` a limit (requests a second, for all
  // gateways together) that the engine has not named itself, here and below.  The lower limit
  // applies.
  bool Admits(const std::string& engine, double share, Time now,
              std::optional<double> other_limit = std::nullopt);
  // Records that a request has been sent to the engine.
  void NoteSent(const std::string& engine, double share, Time now,
                std::optional<double> other_limit = std::nullopt);
  // Time until the engine admits a request; no value if that is unknown.
  std::optional<Duration> TimeUntilAdmission(const std::string& engine, double share, Time now,
                                             std::optional<double> other_limit = std::nullopt);

  bool empty() const { return this->entries.empty(); }
  // Whether any notice of the engine is stored.
  bool Has(const std::string& engine) const { return this->Find(engine) != nullptr; }
  bool IsLeaving(const std::string& engine) const;
  // Time left of the pause that the engine has asked for; zero if there is none.
  Duration RestLeft(const std::string& engine, Time now) const;
  std::optional<double> LimitOf(const std::string& engine) const;

  // Drops expired notices.  `listed`: the incarnations on the list of engines.
  void Forget(const std::set<std::string>& listed, Time now);

  // Number of engines with a limit, leaving, and in a pause.
  size_t limited() const;
  size_t leaving() const;
  size_t resting(Time now) const;
  // Number of engines dropped because kCapacity was reached.
  uint64_t forgotten() const { return this->dropped; }

 private:
  struct Entry {
    std::optional<double> limit_per_s;
    // The time that the current value of limit_per_s is from: the arrival of the answer that
    // named the limit, or the sending of the request whose answer named none.
    Time limit_as_of{};
    LimitCredit credit;
    bool leaving = false;
    Time rests_until{};
    // When the entry was last updated or the engine was last on the list.
    Time last_updated{};
    // When an answer of the engine last arrived here.
    Time last_answer{};
    // When another limit than the engine's own was last applied to it.
    Time other_limit_at{};
    // Whether an answer has changed the notices and the change has not been sent to peers.
    bool is_unsent = false;
  };

  static bool IsExpired(const Entry& entry, Time now);
  static bool UpdateLimit(const std::optional<double>& limit, Time as_of, Entry* entry);
  static std::optional<double> LowestLimit(const Entry& entry, std::optional<double> other_limit);
  static double AvailableCredit(Entry* entry, double limit_per_s, double share, Time now);
  const Entry* Find(const std::string& engine) const;
  Entry* Find(const std::string& engine);
  Entry& FindOrAdd(const std::string& engine, Time now);
  void EvictOldest();

  std::unordered_map<std::string, Entry> entries;
  uint64_t dropped = 0;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_ENGINE_NOTICES_H_
