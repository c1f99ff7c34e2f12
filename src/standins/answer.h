// The answer of the stand-in engine, a pure function of the prompt.
//
// As with a language model, each token depends on all text before it: it is derived from a
// running hash of the prompt and the tokens so far.  A test can therefore compute the expected
// answer from the prompt.  An answer that another engine continues, from the prompt and the
// tokens generated so far, equals an answer that was never interrupted.
//
//   std::string text = ExpectedAnswer(prompt, max_tokens);

#ifndef GULLWARD_STANDINS_ANSWER_H_
#define GULLWARD_STANDINS_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gullward {

// Length in bytes of a token of the stand-in engine.
inline constexpr uint64_t kBytesPerToken = 5;

inline constexpr uint64_t kAnswerSeed = 14695981039346656037u;

// Mean number of tokens until an answer ends by itself.
inline constexpr uint64_t kMeanAnswerTokens = 64;

inline uint64_t TokensOf(uint64_t bytes) { return (bytes + kBytesPerToken - 1) / kBytesPerToken; }

// Extends the hash of a text by the text that follows it (FNV-1a).
inline uint64_t ContinueHash(uint64_t hash, std::string_view text) {
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211u;
  return hash;
}

// The token that follows a text with this hash; empty if the answer ends there.
inline std::string NextToken(uint64_t hash) {
  uint64_t mixed = hash ^ (hash >> 29);
  mixed *= 0xbf58476d1ce4e5b9u;
  mixed ^= mixed >> 32;
  if (mixed % kMeanAnswerTokens == 0) return "";
  static constexpr char kConsonants[] = "bdfgklmnprstvz";
  static constexpr char kVowels[] = "aeiou";
  std::string token;
  token += kConsonants[(mixed >> 8) % 14];
  token += kVowels[(mixed >> 16) % 5];
  token += kConsonants[(mixed >> 24) % 14];
  token += kVowels[(mixed >> 40) % 5];
  token += ' ';
  return token;
}

// The complete answer to a prompt.
inline std::string ExpectedAnswer(std::string_view prompt, uint32_t max_tokens) {
  uint64_t hash = ContinueHash(kAnswerSeed, prompt);
  std::string answer;
  for (uint32_t i = 0; i < max_tokens; ++i) {
    std::string token = NextToken(hash);
    if (token.empty()) break;
    answer += token;
    hash = ContinueHash(hash, token);
  }
  return answer;
}

}  // namespace gullward

#endif  // GULLWARD_STANDINS_ANSWER_H_
