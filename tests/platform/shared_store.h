#ifndef AMARANTHLANE_TESTS_PLATFORM_SHARED_STORE_H_
#define AMARANTHLANE_TESTS_PLATFORM_SHARED_STORE_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "net/address.h"

namespace amaranthlane::platform {

// What other writers left in the store, among the objects of one kind.
struct ForeignObjects {
  std::string kind = "servers";
  std::size_t count = 0;
  // The members beside `meta` of each object, as text.
  std::string members;
  // How many of them a page of the list holds.
  std::size_t per_page = 1;
  // They come with one answer to the first watch, in place of the list.
  bool arrive_at_once = false;
};

// The platform's store in a process of its own, so that what it holds and sends isn't counted with the memory of the
// process under test. It has the configuration `main` and the entries "a" and "z" of endpoints; in the list the foreign
// objects stand between them. After the foreign objects have arrived, `main` changes to version kLastVersion and "z" to
// an endpoint that drains.
class SharedStore {
 public:
  static constexpr std::uint64_t kLastVersion = 30;

  explicit SharedStore(const ForeignObjects& foreign);
  ~SharedStore();
  SharedStore(const SharedStore&) = delete;
  SharedStore& operator=(const SharedStore&) = delete;

  const net::Address& Address() const;

 private:
  net::Address address;
  pid_t process = 0;
};

}  // namespace amaranthlane::platform

#endif  // AMARANTHLANE_TESTS_PLATFORM_SHARED_STORE_H_
