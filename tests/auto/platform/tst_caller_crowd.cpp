#include "caller_crowd.h"
#include "daemon_process.h"
#include "platform_fixture.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>

using namespace endiverail;
using namespace endiverail::test;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
/// The room for what callers send and don't read.
constexpr std::size_t RoomBytes = 8 * MiB;
/// What the process may take beyond its idle size: that room, as much again for
/// what the allocator keeps, and half of it for all else.
constexpr std::size_t MostAddedBytes = 20 * MiB;
/// Descriptors beyond those of an idle daemon, the crowd's connections and one
/// connection to a server for each of these: kept ones and all else.
constexpr std::size_t MostAddedDescriptors = 320;
constexpr std::size_t LongAnswerBytes = 540'000;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// A sanitizer's own memory would be measured.
constexpr bool MeasuresMemory = false;
#else
constexpr bool MeasuresMemory = true;
#endif

const std::string CrowdConfiguration = R"({"version":"00000007",
  "limits":{"header-bytes":2000,"body-bytes":2097152,"header-timeout-s":3,
            "idle-timeout-s":15},
  "listeners":[{"host":"shop.example","rules":[
    {"name":"r1","kind":"unsafe","latency-target-s":10,"priority":1,
     "match":{"path-prefix":"/orders/"},
     "action":{"service":"orders","timeout-s":10,"attempts":2}}]}],
  "clusters":[{"name":"orders"}]})";

std::string repeated(std::string_view Text, std::size_t Count) {
  std::string All;
  All.reserve(Text.size() * Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    All.append(Text);
  return All;
}

std::string headOf(const std::string &Path, const std::string &Fields) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\n"
         "Endiverail-Attempt-Identifier: id-1\r\n"
         "Endiverail-Deadline-Milliseconds: 10000\r\n" +
         Fields;
}

/// A body in chunks of that size that lacks the last byte of its end.
std::string bodyWithoutEnd(std::size_t ChunkBytes, std::size_t Chunks) {
  std::string Chunk = fmt::format("{:x}\r\n", ChunkBytes) +
                      std::string(ChunkBytes, 'p') + "\r\n";
  return headOf("/orders/1", "Transfer-Encoding: chunked\r\n\r\n") +
         repeated(Chunk, Chunks) + "0\r\n\r";
}

void sendLargeChunks(caller_crowd &Crowd) {
  Crowd.add(40, bodyWithoutEnd(64 * KiB, 30));
}

void sendSmallChunks(caller_crowd &Crowd) {
  Crowd.add(12, bodyWithoutEnd(1, 300'000));
}

void sendHalfHeads(caller_crowd &Crowd) {
  Crowd.add(100, headOf("/orders/1", "X-Filler: " + std::string(1'700, 'f')));
}

void sendAhead(caller_crowd &Crowd) {
  std::string Request = headOf("/orders/long", "Content-Length: 0\r\n\r\n");
  Crowd.add(40, repeated(Request, 1'900 * KiB / Request.size()));
}

void readSlowly(caller_crowd &Crowd) {
  constexpr std::size_t BytesPerTurn = 2;
  Crowd.add(120, headOf("/orders/long", "Content-Length: 0\r\n\r\n"),
            BytesPerTurn);
}

void answerSomeLong(raw_connection &Caller, const target_request &Request) {
  if (Request.Head.find("/orders/long") == std::string::npos) {
    // The body is read so that it is not taken for the next request.
    std::size_t At = Request.Head.find("Content-Length: ");
    if (At != std::string::npos)
      Caller.read(std::stoul(Request.Head.substr(At + 16)));
    return target_standin::answerWhole(Caller, Request);
  }
  Caller.send(target_standin::signedHead(Request.Id, "200 OK") +
              "Content-Length: " + std::to_string(LongAnswerBytes) +
              "\r\n\r\n" + std::string(LongAnswerBytes, 'a'));
}

/// A daemon as a process of its own, with little room for callers.
class crowded_daemon : public platform_fixture {
public:
  crowded_daemon()
      : platform_fixture(answerSomeLong, CrowdConfiguration),
        Daemon(settings()),
        // A full pipe would hold up the daemon's log.
        LogReader([this] { Daemon.writes("no such event"); }) {}
  crowded_daemon(const crowded_daemon &) = delete;
  crowded_daemon &operator=(const crowded_daemon &) = delete;
  ~crowded_daemon() {
    Daemon.send(SIGKILL);
    LogReader.join();
  }

  /// Of the process that was started; 0 when it is gone.
  std::size_t memoryBytes(const std::string &Measure) const {
    std::ifstream Status(procFolder() / "status");
    for (std::string Line; std::getline(Status, Line);)
      if (Line.starts_with(Measure + ":"))
        return std::stoul(Line.substr(Measure.size() + 1)) * KiB;
    return 0;
  }

  std::size_t descriptors() const {
    using iterator = std::filesystem::directory_iterator;
    return static_cast<std::size_t>(
        std::distance(iterator(procFolder() / "fd"), iterator()));
  }

  /// The answer to a request as most callers send it.
  std::string ordinaryRequest() const {
    try {
      raw_connection Caller = raw_connection::to(CallerPort, 0, First);
      Caller.send(headOf("/orders/1", "Content-Length: 300\r\n\r\n") +
                  std::string(300, 'o'));
      return Caller.readAnswer();
    } catch (const std::exception &Error) {
      return Error.what();
    }
  }

private:
  nlohmann::json settings() {
    // The target is not what keeps the crowd's answers from coming.
    constexpr int Slots = 400;
    Store.emplace(std::map<std::string, store_standin::topic_records>{
        {"keyed.op", {{"config", CrowdConfiguration}}},
        {"keyed.servers", {{"i-1", Target.entry(Slots)}}}});
    nlohmann::json Json = settingsJson(First, Store->endpoint(), First);
    Json["max_body_bytes"] = 2 * MiB;
    Json["body_memory_bytes"] = RoomBytes;
    return Json;
  }

  std::filesystem::path procFolder() const {
    return "/proc/" + std::to_string(Daemon.id());
  }

  daemon_process Daemon;
  std::thread LogReader;
};

} // namespace

TEST_CASE_METHOD(crowded_daemon,
                 "a crowd of callers does not use up the memory or the threads "
                 "of a process") {
  struct row {
    std::string Name;
    std::vector<std::function<void(caller_crowd &)>> Parts;
  };
  auto Row = GENERATE(
      row{"bodies in large chunks that stop short", {sendLargeChunks}},
      row{"bodies in chunks of a byte that stop short", {sendSmallChunks}},
      row{"heads that stop short", {sendHalfHeads}},
      row{"requests ahead with unread answers", {sendAhead}},
      row{"long answers read slowly", {readSlowly}},
      row{"all at once",
          {sendLargeChunks, sendSmallChunks, sendHalfHeads, sendAhead,
           readSlowly}});
  INFO(Row.Name);
  REQUIRE(eventually([&] { return isReady(First); }));
  REQUIRE(ordinaryRequest().starts_with("HTTP/1.1 200"));
  std::size_t IdleBytes = memoryBytes("VmHWM");
  std::size_t IdleDescriptors = descriptors();
  REQUIRE(IdleBytes > 0);

  caller_crowd Crowd(CallerPort);
  for (const auto &Add : Row.Parts)
    Add(Crowd);
  Crowd.press();

  std::string Answer = ordinaryRequest();
  CAPTURE(Answer);
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  std::size_t PeakBytes = memoryBytes("VmHWM");
  CHECK(PeakBytes > 0);
  if (MeasuresMemory)
    CHECK(PeakBytes <= IdleBytes + MostAddedBytes);
  CHECK(descriptors() <=
        IdleDescriptors + 2 * Crowd.size() + MostAddedDescriptors);
}
