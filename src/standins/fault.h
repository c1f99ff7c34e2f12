// The fault knobs that every stand-in takes at POST /fault, as a JSON object:
//
//   {"die": true}            the process exits at once, without a word
//   {"freeze_ms": 3000}      nothing is answered for so long
//   {"slow": 10}             everything takes ten times as long (engines)
//   {"cut_after_tokens": 5}  the next answer breaks off after so many (engines)
//   {"lose_answers": 2}      so many calls take effect without an answer
//   {"outage": true}         every call is answered with 503 (platform)

#ifndef GULLWARD_STANDINS_FAULT_H_
#define GULLWARD_STANDINS_FAULT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"

namespace gullward {

struct Faults {
  bool die = false;
  int64_t freeze_ms = 0;
  double slow = 1;
  int64_t cut_after_tokens = -1;
  int64_t lose_answers = 0;
  bool outage = false;

  // Changes the knobs that the body names; the others stay.
  void Update(const std::string& body) {
    nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    if (!value.is_object()) return;
    this->die = value.value("die", this->die);
    this->freeze_ms = value.value("freeze_ms", int64_t{0});
    this->slow = value.value("slow", this->slow);
    this->cut_after_tokens = value.value("cut_after_tokens", this->cut_after_tokens);
    this->lose_answers = value.value("lose_answers", this->lose_answers);
    this->outage = value.value("outage", this->outage);
  }
};

}  // namespace gullward

#endif  // GULLWARD_STANDINS_FAULT_H_
