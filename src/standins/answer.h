// What the stand-in engine answers: a pure function of the prompt.
//
// The answer grows one token at a time, each from a running hash of all the text
// before it, as a language model's does.  So whoever knows the prompt can check
// the whole answer, and an answer that is continued elsewhere, from the prompt
// and what was already generated, is the same as one that never broke.
//
//   std::string text = ExpectedAnswer(prompt, max_tokens);

#ifndef GULLWARD_STANDINS_ANSWER_H_
#define GULLWARD_STANDINS_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gullward {

// Bytes of text in a token of the stand-in engine.
inline constexpr uint64_t kBytesPerToken = 5;

inline constexpr uint64_t kAnswerSeed = 14695981039346656037u;

// About one token in so many ends the answer.
inline constexpr uint64_t kStopEvery = 64;

inline uint64_t TokensOf(uint64_t bytes) { return (bytes + kBytesPerToken - 1) / kBytesPerToken; }

// The hash of text that follows text with this hash.
inline uint64_t ContinueHash(uint64_t hash, std::string_view text) {
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211u;
  return hash;
}

// The token that follows text with this hash; empty at the answer's end.
inline std::string NextToken(uint64_t hash) {
  uint64_t mixed = hash ^ (hash >> 29);
  mixed *= 0xbf58476d1ce4e5b9u;
  mixed ^= mixed >> 32;
  if (mixed % kStopEvery == 0) return "";
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

// The whole answer to a prompt.
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
