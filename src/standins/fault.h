// The faults that a stand-in program accepts at POST /fault, as a JSON object:
//
//   {"die": true}            the process exits at once
//   {"freeze_ms": 3000}      the process does nothing for this long
//   {"slow": 10}             every step takes ten times as long (engines)
//   {"cut_after_tokens": 5}  the next answer is aborted after this many tokens (engines)
//   {"lose_answers": 2}      this many calls take effect but are not answered
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

  // Applies a request body.  Faults that the body does not name keep their value, except that
  // freeze_ms becomes 0.
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
