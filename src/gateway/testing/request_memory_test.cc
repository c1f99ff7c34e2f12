// Tests the bound on the memory for requests against a plain sum over all shares.

#define BOOST_TEST_MODULE request_memory
#include "gateway/request_memory.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

namespace gullward {
namespace {

constexpr size_t kMost = 1 << 20;
constexpr size_t kSmall = RequestMemory::kSmallBytes;

// The rule, from the sizes of all shares.
bool FitsPlainly(const std::vector<size_t>& sizes, size_t changed, size_t after) {
  if (after <= sizes[changed]) return true;
  size_t all = after;
  size_t other_large = 0;
  for (size_t i = 0; i < sizes.size(); ++i) {
    if (i == changed) continue;
    all += sizes[i];
    if (RequestMemory::IsLarge(sizes[i])) other_large += sizes[i];
  }
  if (!RequestMemory::IsLarge(after)) return all <= kMost;
  if (other_large == 0) return true;
  return all <= kMost && other_large + after <= kMost / 4 * 3;
}

BOOST_AUTO_TEST_CASE(SharesAgreeWithAPlainSum) {
  std::mt19937_64 random(17);
  auto memory = std::make_shared<RequestMemory>(kMost);
  std::vector<RequestMemory::Share> shares;
  std::vector<size_t> sizes(24);
  for (size_t i = 0; i < sizes.size(); ++i) shares.emplace_back(memory);
  int refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    size_t changed = random() % sizes.size();
    size_t after = random() % (random() % 2 == 0 ? kSmall + 2 : 3 * kSmall);
    if (random() % 8 == 0) {
      shares[changed] = RequestMemory::Share(memory);
      sizes[changed] = 0;
    }
    bool fits = FitsPlainly(sizes, changed, after);
    BOOST_REQUIRE(shares[changed].Resize(after) == fits);
    if (fits) sizes[changed] = after;
    refused += fits ? 0 : 1;
    size_t sum = 0;
    for (size_t size : sizes) sum += size;
    BOOST_REQUIRE(memory->used() == sum);
  }
  BOOST_TEST(refused > 100);
  shares.clear();
  BOOST_TEST(memory->used() == 0u);
}

BOOST_AUTO_TEST_CASE(SmallRequestsFitWhileLargeOnesFillTheirPart) {
  auto memory = std::make_shared<RequestMemory>(kMost);
  std::vector<RequestMemory::Share> large(8);
  for (auto& share : large) share = RequestMemory::Share(memory);
  for (auto& share : large) share.Resize(2 * kSmall);
  BOOST_TEST(memory->used() == kMost / 4 * 3);
  RequestMemory::Share small(memory);
  BOOST_TEST(small.Resize(kSmall));
  BOOST_TEST(!small.Resize(kSmall + 1));
}

BOOST_AUTO_TEST_CASE(ASingleLargeRequestFitsWhateverTheLimit) {
  auto memory = std::make_shared<RequestMemory>(kMost);
  RequestMemory::Share only(memory);
  BOOST_TEST(only.Resize(10 * kMost));
  RequestMemory::Share second(memory);
  BOOST_TEST(!second.Resize(kSmall + 1));
}

BOOST_AUTO_TEST_CASE(AShareWithoutAMemoryTakesEverySize) {
  RequestMemory::Share share;
  BOOST_TEST(share.Resize(10 * kMost));
  BOOST_TEST(share.bytes() == 10 * kMost);
}

}  // namespace
}  // namespace gullward
