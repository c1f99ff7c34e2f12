// Bounds the bytes that many holders keep in memory, for each holder and for all together.
//
//   auto budget = std::make_shared<ByteBudget>(256 << 10, 16 << 20);
//   ByteReservation held(budget);
//   buffer.append(bytes);
//   if (!held.Set(buffer.size())) ...        // over a bound: release the buffer
//
// A reservation gives its bytes back when it ends.  Not safe for use by several threads.

#ifndef GULLWARD_BASE_BYTE_BUDGET_H_
#define GULLWARD_BASE_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace gullward {

class ByteBudget {
 public:
  ByteBudget(size_t bytes_each, size_t bytes_in_all)
      : max_each(bytes_each), max_all(bytes_in_all) {}

  // Number of bytes that all holders have recorded.
  size_t used() const { return this->used_bytes; }

 private:
  friend class ByteReservation;

  size_t max_each;
  size_t max_all;
  size_t used_bytes = 0;
};

class ByteReservation {
 public:
  // Holds nothing and belongs to no budget; Set must not be called.
  ByteReservation() = default;
  explicit ByteReservation(std::shared_ptr<ByteBudget> byte_budget)
      : budget(std::move(byte_budget)) {}
  ByteReservation(ByteReservation&& other) noexcept
      : budget(std::move(other.budget)), bytes(std::exchange(other.bytes, 0)) {}
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    std::swap(this->budget, other.budget);
    std::swap(this->bytes, other.bytes);
    return *this;
  }
  ~ByteReservation() {
    if (this->budget) this->Set(0);
  }

  // Records how many bytes the holder keeps now.  Returns whether both bounds hold.
  bool Set(size_t held_bytes) {
    this->budget->used_bytes += held_bytes - this->bytes;
    this->bytes = held_bytes;
    return held_bytes <= this->budget->max_each &&
           this->budget->used_bytes <= this->budget->max_all;
  }

 private:
  std::shared_ptr<ByteBudget> budget;
  size_t bytes = 0;
};

}  // namespace gullward

#endif  // GULLWARD_BASE_BYTE_BUDGET_H_
