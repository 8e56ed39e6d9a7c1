#pragma once

#include "base/hash.h"
#include "connection/response_message.h"
#include "http/front_end.h"
#include "process/traffic_message.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <random>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace endiverail {

/// Takes answers to the front end, which is made last.
class answer_route {
public:
  void open(std::function<void(response_message)> To) { Post = std::move(To); }
  void post(response_message Message) { Post(std::move(Message)); }

private:
  std::function<void(response_message)> Post;
};

/// Takes notices to the control thread, which is made after the traffic
/// threads.
class notice_route {
public:
  void open(std::function<void(control_notice)> To) { Post = std::move(To); }
  void notify(control_notice Notice) {
    if (Post)
      Post(std::move(Notice));
  }

private:
  std::function<void(control_notice)> Post;
};

/// The traffic threads; a service belongs to one of them by hash.
template <typename Traffic> class traffic_threads {
public:
  void add(std::unique_ptr<Traffic> Thread) {
    Threads.push_back(std::move(Thread));
  }
  std::size_t indexOf(std::string_view Service) const {
    return stableHash(Service) % Threads.size();
  }
  void tell(std::size_t Index, traffic_message Message) {
    if (Index < Threads.size())
      Threads[Index]->post(std::move(Message));
  }
  void tellAll(const traffic_message &Message) {
    for (auto &Thread : Threads)
      Thread->post(Message);
  }
  void tellOwner(std::string_view Service, traffic_message Message) {
    tell(indexOf(Service), std::move(Message));
  }
  void start() {
    for (auto &Thread : Threads)
      Running.emplace_back([&Thread] { Thread->run(); });
  }
  /// Lets all requests be answered now.
  void answerRemaining() { tellAll(terminate_requests{}); }
  /// Waits until all requests are answered.
  void finish() { end(finish_traffic{false}); }
  /// Gives up what still runs.
  void stop() { end(finish_traffic{true}); }
  /// What is remembered of keys. Called after finish().
  std::vector<remembered_key> rememberedKeys(steady_time Now) const {
    std::vector<remembered_key> All;
    for (const auto &Thread : Threads)
      std::ranges::move(Thread->rememberedKeys(Now), std::back_inserter(All));
    return All;
  }

private:
  void end(finish_traffic Finish) {
    tellAll(Finish);
    Running.clear();
  }

  std::vector<std::unique_ptr<Traffic>> Threads;
  std::vector<std::jthread> Running;
};

/// A front end, once all that it hands requests to is there.
template <caller_request_sink Dispatch> class front_door {
public:
  result<void> open(const front_end_settings &Settings, Dispatch &To,
                    memory_budget &Memory) {
    BOOST_LEAF_ASSIGN(Front, front_end<Dispatch>::create(Settings, To, Memory));
    return Front->start();
  }
  void post(response_message Message) { Front->post(std::move(Message)); }
  std::size_t connections() const { return Front->connections(); }
  void setLimits(const request_limits &Limits) { Front->setLimits(Limits); }
  void announceClose() { Front->announceClose(); }
  bool closeWhenIdle(milliseconds Timeout) {
    return Front->closeWhenIdle(Timeout);
  }
  void shutdown() {
    if (Front)
      Front->shutdown();
  }

private:
  std::unique_ptr<front_end<Dispatch>> Front;
};

inline std::uint64_t randomSeed() {
  std::random_device Source;
  return (std::uint64_t{Source()} << 32) | Source();
}

} // namespace endiverail
