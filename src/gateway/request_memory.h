// Bounds the memory that all requests of a process hold together: heads, bodies, and bytes that
// are not parsed yet.
//
//   auto memory = std::make_shared<RequestMemory>(64 << 20);
//   RequestMemory::Share share(memory);
//   if (!share.Resize(body.size())) ...      // does not fit: refuse the request
//
// A share that is over kSmallBytes is large.  Large shares together may take three quarters of the
// memory, so that small requests are served while large ones fill the rest.  A large share that is
// the only one always fits: a single request is served whatever the limit.
//
// Not safe for use by several threads.

#ifndef GULLWARD_GATEWAY_REQUEST_MEMORY_H_
#define GULLWARD_GATEWAY_REQUEST_MEMORY_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace gullward {

class RequestMemory {
 public:
  static constexpr size_t kSmallBytes = 64 << 10;
  // Allocations of this size or more have pages of their own, if the process tells its allocator
  // so. Those that were never written to take no memory, and all are given back when they are
  // freed.
  static constexpr size_t kOwnPagesBytes = 128 << 10;
  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

  explicit RequestMemory(size_t most_bytes) : most(most_bytes) {}

  static bool IsLarge(size_t bytes) { return bytes > kSmallBytes; }

  // The memory that all shares take now.
  size_t used() const { return this->small_used + this->large_used; }

  // Whether a share could grow from `before` to `after` bytes.
  bool Fits(size_t before, size_t after) const {
    if (after <= before) return true;
    size_t others = this->used() - before;
    if (!IsLarge(after)) return others + after <= this->most;
    size_t other_large = this->large_used - (IsLarge(before) ? before : 0);
    if (other_large == 0) return true;
    return others + after <= this->most && other_large + after <= this->most / 4 * 3;
  }

  // The part of the memory that one request holds.  It is given back when the share ends.
  class Share {
   public:
    // Belongs to no memory; every size fits.
    Share() = default;
    explicit Share(std::shared_ptr<RequestMemory> request_memory)
        : memory(std::move(request_memory)) {}
    Share(Share&& other) noexcept
        : memory(std::move(other.memory)), held(std::exchange(other.held, 0)) {}
    Share& operator=(Share&& other) noexcept {
      std::swap(this->memory, other.memory);
      std::swap(this->held, other.held);
      return *this;
    }
    ~Share() { this->Record(0); }

    size_t bytes() const { return this->held; }

    // Moves what is held to a new share.  This one stays, and holds nothing.
    Share Take() {
      Share taken;
      taken.memory = this->memory;
      taken.held = std::exchange(this->held, 0);
      return taken;
    }

    // Whether the share could have this size.
    bool Fits(size_t bytes) const { return !this->memory || this->memory->Fits(this->held, bytes); }

    // Changes the size.  Returns false, and changes nothing, if that does not fit.
    bool Resize(size_t bytes) {
      if (!this->Fits(bytes)) return false;
      this->Record(bytes);
      return true;
    }

   private:
    void Record(size_t bytes) {
      if (this->memory) {
        this->memory->Subtract(this->held);
        this->memory->Add(bytes);
      }
      this->held = bytes;
    }

    std::shared_ptr<RequestMemory> memory;
    size_t held = 0;
  };

 private:
  void Add(size_t bytes) { (IsLarge(bytes) ? this->large_used : this->small_used) += bytes; }
  void Subtract(size_t bytes) { (IsLarge(bytes) ? this->large_used : this->small_used) -= bytes; }

  size_t most;
  size_t small_used = 0;
  size_t large_used = 0;
};

}  // namespace gullward

#endif  // GULLWARD_GATEWAY_REQUEST_MEMORY_H_
