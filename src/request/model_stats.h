// What an entry has learned of one model from the answers it has seen: how many
// bytes of text make a token, how long a token of the answer takes, and how long
// answers are.  Each is a moving average that starts from the configuration.

#ifndef GULLWARD_REQUEST_MODEL_STATS_H_
#define GULLWARD_REQUEST_MODEL_STATS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace gullward {

class ModelStats {
 public:
  explicit ModelStats(double bytes_per_token) : bytes_per_token_mean(bytes_per_token) {}

  // Takes an answer's counts; seconds is the time from first to last token.
  void Observe(uint64_t prompt_bytes, uint64_t prompt_tokens, uint64_t answer_tokens,
               double answer_seconds) {
    if (prompt_tokens >= kLeastTokens) {
      double ratio = static_cast<double>(prompt_bytes) / static_cast<double>(prompt_tokens);
      this->bytes_per_token_mean += kWeight * (ratio - this->bytes_per_token_mean);
    }
    auto tokens = static_cast<double>(answer_tokens);
    this->answer_tokens_mean += kWeight * (tokens - this->answer_tokens_mean);
    if (answer_tokens < 2) return;
    double per_token = answer_seconds / (tokens - 1);
    this->seconds_per_token_mean += kWeight * (per_token - this->seconds_per_token_mean);
  }

  // Estimated tokens of a prompt of so many bytes, with a margin, so that the
  // memory reserved is enough for nearly all prompts.
  uint64_t PromptTokens(uint64_t bytes) const {
    double tokens = static_cast<double>(bytes) / this->bytes_per_token_mean;
    return static_cast<uint64_t>(std::ceil(tokens * kMargin)) + 1;
  }

  // Expected seconds from first to last token of an answer.
  double AnswerSeconds(uint32_t max_tokens) const {
    double tokens = std::min<double>(max_tokens, this->answer_tokens_mean);
    return tokens * this->seconds_per_token_mean;
  }

  double bytes_per_token() const { return this->bytes_per_token_mean; }

 private:
  static constexpr double kWeight = 0.05;
  static constexpr double kMargin = 1.05;
  // Shorter prompts say little: their last token may be a fraction.
  static constexpr uint64_t kLeastTokens = 100;

  double bytes_per_token_mean;
  double seconds_per_token_mean = 0.02;
  double answer_tokens_mean = 64;
};

}  // namespace gullward

#endif  // GULLWARD_REQUEST_MODEL_STATS_H_
