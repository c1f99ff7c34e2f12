// A stand-in for the platform's metadata store: keyed topics with one partition, which are read as
// pages of the newest records and as a log whose reads wait for the next record.

#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

class Store {
 public:
  Store();
  int port() const { return this->listener.port(); }

  // Appends a record, as the operator or an engine does; an empty value drops the key.  Returning
  // is the store's acknowledgement.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  // The same for the record op/config and for servers/ID.
  void PutConfig(const std::string& config) { this->Put("keyed.op", "config", config); }
  void PutEngine(const std::string& id, const std::string& entry) {
    this->Put("keyed.servers", id, entry);
  }

 private:
  struct Topic {
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::string> newest;
  };

  void Serve(Connection* connection);
  std::string Newest(const std::string& topic, const std::string& after);
  std::string Read(const std::string& topic, uint64_t from, uint64_t max_bytes, double wait);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  Listener listener;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_
