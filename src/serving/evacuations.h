// Keeps which data centres the operator evacuates: their engines are to get no new requests until
// the operator ends the evacuation.
//
// The operator's topic is read first as whole pages and then as single changes.
//
//   - A page that lacks an evacuation ends it, except shortly after the store has returned from an
//     older copy: what the operator had written since then is missing.  An evacuation then stays
//     until a read that was sent after the store's epoch had settled (serving/store_epoch.h) shows
//     that the topic still lacks it.
//   - A single removal ends an evacuation at once.
//
//   Evacuations evacuations;
//   evacuations.Replace(listed, /*keep_until=*/epoch.settled_at(), proved);
//   evacuations.Begin("hall-1");
//   directory.SetEvacuated(evacuations.DataCentres(proved));

#ifndef GULLWARD_SERVING_EVACUATIONS_H_
#define GULLWARD_SERVING_EVACUATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace gullward {

class Evacuations {
 public:
  // Takes all evacuations that the operator's topic lists.  Those that are missing end once the
  // topic is proved to have lacked them at `keep_until`.  `proved` is when the newest read that
  // confirms the records was sent.
  void Replace(const std::set<std::string>& listed, Time keep_until, Time proved) {
    for (auto& [data_centre, ends_at] : this->evacuations) {
      if (listed.count(data_centre) == 0 && !ends_at) ends_at = keep_until;
    }
    for (const std::string& data_centre : listed) this->Begin(data_centre);
    this->Expire(proved);
  }

  void Begin(const std::string& data_centre) { this->evacuations[data_centre] = std::nullopt; }
  void End(const std::string& data_centre) { this->evacuations.erase(data_centre); }

  // The data centres that are evacuated by what is proved.
  std::set<std::string> DataCentres(Time proved) {
    this->Expire(proved);
    std::set<std::string> names;
    for (const auto& [data_centre, ends_at] : this->evacuations) names.insert(data_centre);
    return names;
  }

 private:
  void Expire(Time proved) {
    std::erase_if(this->evacuations, [proved](const auto& evacuation) {
      return evacuation.second && *evacuation.second <= proved;
    });
  }

  // By data centre: the time for which the topic must be proved to lack the evacuation; no value
  // while the topic lists it.
  std::map<std::string, std::optional<Time>> evacuations;
};

}  // namespace gullward

#endif  // GULLWARD_SERVING_EVACUATIONS_H_
