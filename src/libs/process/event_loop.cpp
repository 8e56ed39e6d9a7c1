#include "process/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace endiverail {
namespace {

constexpr int MaxReady = 128;

int waitMilliseconds(std::optional<steady_time> Until) {
  if (!Until)
    return -1;
  // Round up, so that epoll_wait() does not return shortly before the deadline.
  auto Left = std::chrono::ceil<milliseconds>(*Until - steadyNow());
  return static_cast<int>(std::clamp<std::int64_t>(Left.count(), 0, 60'000));
}

} // namespace

result<poller> poller::create() {
  int Descriptor = epoll_create1(EPOLL_CLOEXEC);
  if (Descriptor < 0)
    return fail(error_kind::Internal, "epoll_create1 failed");
  return poller(Descriptor);
}

poller::poller(poller &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)),
      Ready(std::move(Other.Ready)) {}

poller::~poller() {
  if (Descriptor >= 0)
    close(Descriptor);
}

void poller::watch(int Watched, bool Readable, bool Writable) {
  epoll_event Event{};
  Event.events = (Readable ? EPOLLIN : 0U) | (Writable ? EPOLLOUT : 0U);
  Event.data.fd = Watched;
  if (epoll_ctl(Descriptor, EPOLL_CTL_MOD, Watched, &Event) != 0)
    epoll_ctl(Descriptor, EPOLL_CTL_ADD, Watched, &Event);
}

void poller::unwatch(int Watched) {
  epoll_ctl(Descriptor, EPOLL_CTL_DEL, Watched, nullptr);
}

std::span<const ready_descriptor>
poller::wait(std::optional<steady_time> Until) {
  std::array<epoll_event, MaxReady> Events{};
  int Count =
      epoll_wait(Descriptor, Events.data(), MaxReady, waitMilliseconds(Until));
  Ready.clear();
  std::for_each_n(
      Events.begin(), std::max(Count, 0), [&](const epoll_event &Event) {
        bool Broken = Event.events & (EPOLLERR | EPOLLHUP);
        Ready.push_back({Event.data.fd, Broken || (Event.events & EPOLLIN) != 0,
                         Broken || (Event.events & EPOLLOUT) != 0});
      });
  return Ready;
}

} // namespace endiverail
