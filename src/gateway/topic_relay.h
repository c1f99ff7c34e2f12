// Answers the reads of peers from the topics that this gateway has read itself
// (serving/reader_tree.h).
//
// A peer asks over HTTP for the changes after an offset, and gets a TopicUpdate (topic_state.h) at
// once if there are any, or if this gateway has a newer proof than the peer.  Otherwise the read
// waits: for a change, for a newer proof, for the store to stop or begin answering, or for the time
// that the peer states, so that the peer knows soon if this gateway is gone.
//
// The answer states how long the read has waited.  Otherwise a proof would have to count from when
// the read was sent, and would be older by a wait at each level of the tree.
//
//   TopicRelay relay;
//   relay.Add("topic", &follower.state());
//   relay.OnRequest(path, answer);          // for each request
//   relay.OnNews("topic");                  // after a change or a newer proof
//   relay.Tick(now);                        // now and then
//
// Memory is bounded: kMaxWaiting reads wait at most; more are refused.

#ifndef GULLWARD_GATEWAY_TOPIC_RELAY_H_
#define GULLWARD_GATEWAY_TOPIC_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/http_pages.h"
#include "gateway/topic_state.h"

namespace gullward {

// A peer's read of a topic.
struct TopicRead {
  std::string topic;
  // The epoch and the offset up to which the peer has read; empty if it has read nothing, or if the
  // store states no epoch.
  std::optional<uint64_t> epoch;
  std::optional<uint64_t> from;
  // How long the read may wait.
  Duration wait{};
  // How old the peer's proof is (TopicState::proved); empty if it has none.
  std::optional<Duration> proof_age = std::nullopt;

  bool operator==(const TopicRead&) const = default;
};

// The path of the request for a read, and back.  Empty if the path is not that of a read.
std::string PathOf(const TopicRead& read);
std::optional<TopicRead> ReadFromPath(const std::string& path);

class TopicRelay {
 public:
  static constexpr size_t kMaxWaiting = 256;
  static constexpr Duration kMaxWait = seconds(5);
  // A proof that is newer than the peer's by less than this is not passed on at once: part of the
  // difference is the time that the read took.
  static constexpr Duration kMinProofGain = milliseconds(100);

  // Adds a topic.  `state` must outlive the relay.
  void Add(const std::string& topic, const TopicState* state) { this->topics[topic] = state; }

  // Answers a read now or later.  Returns false if the path is not that of a read.
  bool OnRequest(const std::string& path, HttpPages::Answer answer);

  // Answers the reads that wait for the topic.
  void OnNews(const std::string& topic);

  // Answers the reads whose waiting time is over.
  void Tick(Time now);

  // Since the process started: reads answered, and the bytes of their answers.
  uint64_t reads() const { return this->answered; }
  uint64_t bytes() const { return this->answered_bytes; }

 private:
  struct Waiting {
    TopicRead read;
    HttpPages::Answer answer;
    Time arrived{};
    // The state's proof, and whether it had the store, when the read arrived.
    Time proof{};
    bool had_store = false;
  };

  bool IsDue(const Waiting& waiting, Time now) const;
  bool HasNewerProof(const Waiting& waiting) const;
  void Respond(const Waiting& waiting, Time now);
  template <typename Condition>
  void RespondWhere(Condition condition, Time now);

  std::map<std::string, const TopicState*> topics;
  std::vector<Waiting> waiting;
  uint64_t answered = 0;
  uint64_t answered_bytes = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_TOPIC_RELAY_H_
