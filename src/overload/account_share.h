// The share of a service's engine time that each client account lately had by this gateway.
//
//   AccountShares shares;                               // of one service, at one gateway
//   shares.NoteAsked("account", utilization, now);
//   double factor = shares.ValueFactor("account", now);
//   shares.Add("account", engine_seconds, now);         // if the request is admitted
//
// Accounts of one service compete for its engines.  While engines are short of room, an account
// that holds more than twice an equal share of the recent engine time has its requests valued less,
// so that the other accounts do not wait for it.  Nothing is held against an account while there is
// room, and what it held is forgotten within a minute.

#ifndef GULLWARD_OVERLOAD_ACCOUNT_SHARE_H_
#define GULLWARD_OVERLOAD_ACCOUNT_SHARE_H_

#include <cstddef>
#include <map>
#include <string>

#include "base/clock.h"

namespace gullward {

class AccountShares {
 public:
  // The account with the least engine time is dropped if there are more.
  static constexpr size_t kMaxAccounts = 256;
  // An account that has asked for nothing for this long has no part in the equal shares.
  static constexpr Duration kForgetAfter = seconds(60);

  // Records that an account asks for engine time, and the mean utilization of the engines, 0 to 1,
  // at the latest request.
  void NoteAsked(const std::string& account, double utilization, Time now);

  // Records engine seconds that an account got.  Values that are negative or not finite are
  // ignored.
  void Add(const std::string& account, double engine_seconds, Time now);

  // The factor on the value of the account's requests: 1 if engines have room or the account holds
  // at most twice an equal share; else twice an equal share over what it holds, and at least half.
  double ValueFactor(const std::string& account, Time now) const;

  size_t accounts() const { return this->entries.size(); }

 private:
  struct Entry {
    double engine_seconds = 0;
    Time counted{};
    Time asked{};
  };

  static double Held(const Entry& entry, Time now);
  Entry& EntryOf(const std::string& account, Time now);

  std::map<std::string, Entry> entries;
  double utilization = 0;
};

}  // namespace gullward

#endif  // GULLWARD_OVERLOAD_ACCOUNT_SHARE_H_
