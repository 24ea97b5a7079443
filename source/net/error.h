#ifndef AMARANTHLANE_NET_ERROR_H_
#define AMARANTHLANE_NET_ERROR_H_

#include "common/error.h"

namespace amaranthlane::net {

// The listening socket could not be opened.
class ListenError : public Error {
 public:
  using Error::Error;
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_ERROR_H_
