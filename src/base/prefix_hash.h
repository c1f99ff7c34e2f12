// Hashes of a prompt's prefixes, to find engines that hold one in their cache.
//
// An engine caches KV in blocks.  Hashing every block of a million-token prompt
// gives thousands of hashes; most tell nothing new.  We hash the prefixes of
// 1, 2, 4, 8, ... blocks only: at most 11 hashes for a million tokens, and the
// longest one that matches understates the true match by less than half.  The
// hash runs on from block to block, so the cost is one pass over the text.
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

// Bytes of text in the smallest prefix that is looked up.
inline constexpr size_t kPrefixBlockBytes = 2048;

struct PrefixHash {
  uint64_t hash = 0;
  uint64_t bytes = 0;

  auto operator<=>(const PrefixHash&) const = default;
};

// The hashes of the text's prefixes of 1, 2, 4, ... blocks, shortest first.
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
