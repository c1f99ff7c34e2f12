// The state of one gateway in the simulation of relay_trial.h, and the times by which it goes.

#ifndef GULLWARD_TRIAL_RELAY_GATEWAY_H_
#define GULLWARD_TRIAL_RELAY_GATEWAY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/revalidation_schedule.h"
#include "serving/topic_sources.h"

namespace gullward::relay_trial {

// The times of the real follower (gateway/topic_follower.h).
inline constexpr Duration kPeerWait = milliseconds(700);
inline constexpr Duration kPeerTimeout = milliseconds(500);
inline constexpr Duration kStartPause = milliseconds(100);
inline constexpr Duration kStartPatience = seconds(1);
inline constexpr Duration kRetryPause = milliseconds(400);
inline constexpr Duration kStoreWait = seconds(30);
inline constexpr Duration kAnswerTimeout = seconds(1);
// Pauses between calls that are not answered or refused double from the first to the longest
// (gateway/store_recovery.h).
inline constexpr Duration kFirstRetryPause = milliseconds(100);
inline constexpr Duration kMaxRetryPause = milliseconds(400);
inline constexpr Duration kMaxRetryPauseOfReaders = milliseconds(3200);
inline constexpr Duration kTick = milliseconds(25);
// Boxes start within this time.
inline constexpr Duration kStartSpread = milliseconds(500);
// Each gateway tells others how far it has read: fewer than the members of a cell, to which the
// real one sends its notes.  A read that lags behind for this long is given up.
inline constexpr Duration kGossipInterval = milliseconds(500);
inline constexpr size_t kGossipFanout = 10;
inline constexpr Duration kMaxLagAtStore = milliseconds(150);
inline constexpr Duration kMaxLagAtPeer = milliseconds(300);
// A newer proof than the reader's by this much is passed on at once (gateway/topic_relay.h).
inline constexpr Duration kMinProofGain = milliseconds(100);
// The gateways of a cell tell each other of validations.
inline constexpr size_t kCellSize = 12;
inline constexpr Duration kKeyTrust = seconds(5);
inline const Time kStart = Time{} + seconds(1000);

// A read that waits at a gateway or at the store.
struct WaitingRead {
  size_t reader = 0;
  uint64_t number = 0;
  uint64_t offset = 0;
  Time sent{};
};

// What a gateway answers to the read of a peer.
struct PeerAnswer {
  uint64_t offset = 0;
  Time proved{};
  uint32_t hops = 0;
  bool has_store = false;
};

struct Gateway {
  std::string box;
  TopicSources sources;
  bool is_up = false;
  Time frozen_until{};
  bool is_refused = false;
  // The number of changes that it has, and whether it has read anything.
  uint64_t offset = 0;
  bool is_loaded = false;
  // Whether the store answers the gateway from which all of this comes, and over how many gateways
  // it came.
  bool has_store = false;
  uint32_t hops = 0;
  Time patient_until{};
  uint64_t read_number = 0;
  std::string peer;
  bool is_reading_peer = false;
  // Whether the current read waits at the store, and whether the last call there has failed.
  bool is_waiting_at_store = false;
  bool is_lost = false;
  // Whether the last call to the store got no answer.
  bool is_unanswered = false;
  std::optional<RevalidationSchedule> schedule;
  Duration retry_pause = kFirstRetryPause;
  // When the store had nothing newer than what the gateway has.
  Time validated_at{};
  // Since when others are known to have more than `lag_offset`.
  std::optional<uint64_t> lag_offset;
  Time lag_since{};
  std::vector<WaitingRead> waiting;
  uint64_t answers = 0;
};

}  // namespace gullward::relay_trial

#endif  // GULLWARD_TRIAL_RELAY_GATEWAY_H_
