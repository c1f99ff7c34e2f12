// A stand-in for a model engine of the platform: streams events, sets memory aside under tickets,
// and may send one more answer late on a kept channel.

#ifndef REVIEW_STANDINS_2_MODEL_ENGINE_H_
#define REVIEW_STANDINS_2_MODEL_ENGINE_H_

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "net.h"

namespace review {

class ModelEngine {
 public:
  struct Options {
    std::string id;
    int events = 10;
    double event_interval = 0.02;
    int slots = 16;
    int queue = 32;
    uint64_t memory_tokens = 450'000;
    // Memory that other callers of the engine use: anyone may call it.
    uint64_t used_by_others = 0;
    // Prompt tokens that it reads in a second.
    double read_per_s = 256'000;
    // Orders and refusals for want of a helping engine wait for the end of the running pass.  This
    // is the time left of it on the average.
    double pass_left_s = 0.06;
    // Share of the answers after which the same answer is sent once more, late: in the spot where
    // the next answer on the channel is due.
    double extra_share = 0;
    // Share of the answers that have no length and end with their channel.
    double unframed_share = 0;
    // The two faults above come in spells of this length, with this time between two of them.  A
    // spell begins at the monotonic time `spells_begin`, in seconds.
    double spell = 5;
    double between_spells = 0.5;
    double spells_begin = 0;
    unsigned seed = 1;
  };

  ModelEngine(const Options& engine_options, Record* case_record);
  int port() const { return this->listener.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(this->port()); }
  const std::string& id() const { return this->options.id; }

  // Calls of a ticket that a request of another engine makes.
  bool HasTicket(const std::string& ticket);

  // Finds the engine at an address, for the tickets that a request names there.
  static void Register(ModelEngine* engine);

 private:
  void Serve(Connection* connection);
  // Returns whether the connection is kept.
  bool Stream(Connection* connection, const Message& request);
  bool AnswerOrder(Connection* connection, const std::string& order);
  bool HelpersAreReady(const Message& request, std::string* at_fault);
  // Whether a fault of this share comes now.
  bool DrawFault(double share);
  void AwaitPass();

  Options options;
  Record* record;
  std::mutex mutex;
  std::mt19937 random;
  std::atomic<int> in_progress{0};
  struct Ticket {
    uint64_t tokens;
    double until;
  };
  std::map<std::string, Ticket> tickets;
  Listener listener;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_MODEL_ENGINE_H_
