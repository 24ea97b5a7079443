#include "platform/heap_meter.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace amaranthlane::testing {

namespace {

std::atomic<std::size_t> allocated_bytes = 0;
std::atomic<std::size_t> peak_bytes = 0;

void* Allocate(std::size_t size) {
  void* memory = std::malloc(size == 0 ? 1 : size);  // NOLINT: this is the allocator
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  const std::size_t now = allocated_bytes += malloc_usable_size(memory);
  // Programs that measure allocate on one thread.
  peak_bytes = std::max(peak_bytes.load(), now);
  return memory;
}

void Release(void* memory) {
  if (memory != nullptr) {
    allocated_bytes -= malloc_usable_size(memory);
    std::free(memory);  // NOLINT: this is the allocator
  }
}

}  // namespace

HeapMeter::HeapMeter() : bytes_at_start(allocated_bytes) { peak_bytes = this->bytes_at_start; }

std::size_t HeapMeter::PeakBytes() const { return peak_bytes - std::min(peak_bytes.load(), this->bytes_at_start); }

std::size_t HeapMeter::CurrentBytes() const {
  return allocated_bytes - std::min(allocated_bytes.load(), this->bytes_at_start);
}

}  // namespace amaranthlane::testing

void* operator new(std::size_t size) { return amaranthlane::testing::Allocate(size); }
void* operator new[](std::size_t size) { return amaranthlane::testing::Allocate(size); }
void operator delete(void* memory) noexcept { amaranthlane::testing::Release(memory); }
void operator delete[](void* memory) noexcept { amaranthlane::testing::Release(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept { amaranthlane::testing::Release(memory); }
void operator delete[](void* memory, std::size_t /*size*/) noexcept { amaranthlane::testing::Release(memory); }
