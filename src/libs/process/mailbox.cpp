#include "process/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace endiverail {

result<event_descriptor> event_descriptor::create() {
  int Descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (Descriptor < 0)
    return fail(error_kind::Internal, "eventfd failed");
  return event_descriptor(Descriptor);
}

event_descriptor::~event_descriptor() {
  if (Descriptor >= 0)
    close(Descriptor);
}

void event_descriptor::notify() const {
  // The write fails only if the counter overflows, which requires that the
  // reader no longer runs.
  [[maybe_unused]] int Ignored = eventfd_write(Descriptor, 1);
}

void event_descriptor::clear() const {
  eventfd_t Count = 0;
  [[maybe_unused]] int Ignored = eventfd_read(Descriptor, &Count);
}

} // namespace endiverail
