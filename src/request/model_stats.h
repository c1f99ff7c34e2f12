// Statistics of one model, measured from the answers that an entry has passed on: bytes of
// text per token, seconds per answer token, and tokens per answer.  Each is an exponential
// moving average.  Bytes per token start from the configuration, the others from defaults.

#ifndef GULLWARD_REQUEST_MODEL_STATS_H_
#define GULLWARD_REQUEST_MODEL_STATS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace gullward {

class ModelStats {
 public:
  explicit ModelStats(double bytes_per_token) : bytes_per_token_mean(bytes_per_token) {}

  // Adds one finished answer.  `answer_seconds` is the time from its first to its last token.
  void Observe(uint64_t prompt_bytes, uint64_t prompt_tokens, uint64_t answer_tokens,
               double answer_seconds) {
    if (prompt_tokens >= kMinMeasuredTokens) {
      double ratio = static_cast<double>(prompt_bytes) / static_cast<double>(prompt_tokens);
      this->bytes_per_token_mean += kWeight * (ratio - this->bytes_per_token_mean);
    }
    auto tokens = static_cast<double>(answer_tokens);
    this->answer_tokens_mean += kWeight * (tokens - this->answer_tokens_mean);
    if (answer_tokens < 2) return;
    double per_token = answer_seconds / (tokens - 1);
    this->seconds_per_token_mean += kWeight * (per_token - this->seconds_per_token_mean);
  }

  // Returns the estimated number of tokens of a prompt.  The estimate includes a margin, so that
  // the memory reserved for it is enough for nearly all prompts.
  uint64_t PromptTokens(uint64_t bytes) const {
    double tokens = static_cast<double>(bytes) / this->bytes_per_token_mean;
    return static_cast<uint64_t>(std::ceil(tokens * kMargin)) + 1;
  }

  // Returns the expected seconds from the first to the last token of an answer.
  double AnswerSeconds(uint32_t max_tokens) const {
    double tokens = std::min<double>(max_tokens, this->answer_tokens_mean);
    return tokens * this->seconds_per_token_mean;
  }

  double bytes_per_token() const { return this->bytes_per_token_mean; }

 private:
  // Weight of one answer in the moving averages.
  static constexpr double kWeight = 0.05;
  // Factor by which the estimate of prompt tokens exceeds the average.
  static constexpr double kMargin = 1.05;
  // Shorter prompts are not measured: their last token may stand for a few bytes only, which
  // distorts the ratio.
  static constexpr uint64_t kMinMeasuredTokens = 100;

  double bytes_per_token_mean;
  double seconds_per_token_mean = 0.02;
  double answer_tokens_mean = 64;
};

}  // namespace gullward

#endif  // GULLWARD_REQUEST_MODEL_STATS_H_
