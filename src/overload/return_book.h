// The promises that a gateway and its peers have made to refused callers: when to return.
//
//   ReturnBook book;
//   book.Promise({content, "models", rank_steps, due_in, engine_seconds}, now);    // refused
//   ...
//   if (book.Match(content, now) == ReturnMatch::kOnTime) ...                      // came back
//   book.Keep(content, now);                                                       // is run
//   double seconds = book.SecondsKept("models", rank_steps, now);
//
// The caller may return to any gateway and with another request id, so it is known by the content
// of its request, and each promise is sent to the peers:
//
//   for (const ReturnPromise& promise : book.TakeUnsent(now)) ...    // to the peers, once
//   book.Receive(promise, now);                                      // at a peer
//
// A promise lapses by itself a short time after it is due, whether or not its caller returns and
// whatever becomes of the gateway that made it.  Times between gateways are relative, so clocks
// are not compared.

#ifndef GULLWARD_OVERLOAD_RETURN_BOOK_H_
#define GULLWARD_OVERLOAD_RETURN_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace gullward {

// One promise, as it is made and as it is sent to peers.
struct ReturnPromise {
  // Identifies the request by its content (serving/request_content.h).
  uint64_t content = 0;
  std::string service;
  // How many ranks the caller is behind the most urgent one of its service.
  int rank_steps = 0;
  // Time until the caller is due; negative if it was due already.
  Duration due_in{};
  // Engine time that the request will take, in seconds.
  double engine_seconds = 0;
  // Whether the caller has come back, so that nothing is kept for it any more.
  bool is_kept = false;

  bool operator==(const ReturnPromise&) const = default;
};

// How a request relates to the promise for its content.
enum class ReturnMatch {
  // There is no promise, or it has lapsed or been kept.
  kUnknown,
  kEarly,
  kOnTime,
};

class ReturnBook {
 public:
  // How long after its due time a promise holds: a caller's timer and a new connection take a
  // moment, and more on a busy machine.
  static constexpr Duration kGrace = seconds(1);
  // How long before its due time a caller still counts as on time, since timers are inexact.
  static constexpr Duration kEarlySlack = milliseconds(20);
  // A promise keeps room from this long before its due time on.
  static constexpr Duration kAhead = seconds(1);
  // The longest time until a promise is due, and the most engine time of one promise; more is
  // invalid.
  static constexpr Duration kMaxDue = seconds(120);
  static constexpr double kMaxEngineSeconds = 600;
  static constexpr int kMaxRankSteps = 255;
  static constexpr size_t kMaxServiceBytes = 128;
  // The number of promises, own and of peers, that are held at a time.
  static constexpr size_t kMaxPromises = 1024;

  // Whether all values are finite and in range.
  static bool IsValid(const ReturnPromise& promise);

  // Records a promise of this gateway.  Returns false and changes nothing if the promise is
  // invalid, if there is one for this content already, kept or not, or if the book is full.
  bool Promise(const ReturnPromise& promise, Time now);

  // Records a promise of a peer, or that a peer has kept one.  Invalid ones are dropped.
  // The due time of a known promise never changes.
  void Receive(const ReturnPromise& promise, Time now);

  // How a request with this content relates to its promise.
  ReturnMatch Match(uint64_t content, Time now) const;
  // Time until the promise for this content is due; no value unless the match is kEarly.
  std::optional<Duration> TimeUntilDue(uint64_t content, Time now) const;

  // Records that the caller has come back.  Changes nothing if there is no promise.
  void Keep(uint64_t content, Time now);

  // Engine seconds promised, and not yet kept or lapsed, to callers of the service that are of this
  // rank or a more urgent one.
  double PromisedSeconds(const std::string& service, int rank_steps, Time now) const;

  // The part of PromisedSeconds that is kept free now.  A promise counts in full when it is due,
  // and the less the further away that is: before, the engines can still do other work, and
  // afterwards its caller is less and less likely to come.
  double SecondsKept(const std::string& service, int rank_steps, Time now) const;

  // Whether no promise is held.  Drops lapsed ones.
  bool IsEmpty(Time now);

  // The own promises, and the promises kept here, that have not been returned yet.
  std::vector<ReturnPromise> TakeUnsent(Time now);

  // Promises of this gateway whose caller came back to no gateway before they lapsed, since the
  // process started.
  uint64_t lapsed() const { return this->lapsed_count; }

 private:
  struct Entry {
    std::string service;
    int rank_steps = 0;
    Time due;
    double engine_seconds = 0;
    // A kept entry stays until it lapses, so that a datagram that arrives late cannot revive it.
    bool is_kept = false;
    bool is_own = false;
    bool is_unsent = false;
  };

  static bool IsOpen(const Entry& entry, Time now);
  static bool GoesFirst(const Entry& entry, const std::string& service, int rank_steps, Time now);
  static double ShareKept(const Entry& entry, Time now);

  const Entry* FindOpen(uint64_t content, Time now) const;
  bool Add(const ReturnPromise& promise, bool is_own, Time now);
  void DropLapsed(Time now);

  std::map<uint64_t, Entry> entries;
  uint64_t lapsed_count = 0;
};

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_RETURN_BOOK_H_
