// Hashes of a prompt's prefixes, to find engines that hold one of these prefixes in their
// cache.
//
// An engine caches KV in blocks.  A hash for every block of a prompt of a million tokens
// would give thousands of hashes, most of which add no information.  Only the prefixes of
// 1, 2, 4, 8, ... blocks are hashed: 12 hashes for a text of 5 MB, which is about a million
// tokens.  The longest prefix that matches is more than half as long as the true match.
// Each hash is the seed of the next one, so the cost is one pass over the text.
//
//   for (const PrefixHash& prefix : PrefixHashes(prompt)) ...

#ifndef GULLWARD_BASE_PREFIX_HASH_H_
#define GULLWARD_BASE_PREFIX_HASH_H_

#include <xxhash.h>

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace gullward {

// Size of the shortest prefix that is hashed, in bytes of text.
inline constexpr size_t kPrefixBlockBytes = 2048;

// The hash of the first `bytes` bytes of a text.
struct PrefixHash {
  uint64_t hash = 0;
  uint64_t bytes = 0;

  auto operator<=>(const PrefixHash&) const = default;
};

// The hashes of the text's prefixes of 1, 2, 4, ... blocks, shortest first.  Empty if the text
// is shorter than one block.
inline std::vector<PrefixHash> PrefixHashes(std::string_view text) {
  std::vector<PrefixHash> hashes;
  uint64_t hash = 0;
  size_t done = 0;
  for (size_t end = kPrefixBlockBytes; end <= text.size(); end *= 2) {
    hash = XXH3_64bits_withSeed(text.data() + done, end - done, hash);
    done = end;
    hashes.push_back({hash, end});
  }
  return hashes;
}

}  // namespace gullward

#endif  // GULLWARD_BASE_PREFIX_HASH_H_
