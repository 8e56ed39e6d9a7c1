#pragma once

#include "raw_socket.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail::test {

/// The platform's log on loopback, as far as a daemon uses it: listings and
/// waiting reads of keyed topics, and appends. It goes dark by its end.
class store_standin {
public:
  using topic_records = std::map<std::string, std::string>;

  explicit store_standin(const std::map<std::string, topic_records> &Topics)
      : Server([this](raw_connection Caller, std::size_t) { serve(Caller); }) {
    std::scoped_lock Lock(Mutex);
    for (const auto &[Topic, Records] : Topics)
      Logs[Topic].assign(Records.begin(), Records.end());
  }
  ~store_standin() { Ending = true; }

  /// What the operator or a target writes.
  void append(const std::string &Topic, const std::string &Key,
              const std::string &Value) {
    std::scoped_lock Lock(Mutex);
    Logs[Topic].emplace_back(Key, Value);
  }

  /// Returns from a copy that lacks the newest records of a topic, in which
  /// others are written at once.
  void returnWithout(const std::string &Topic, std::size_t Newest,
                     const std::vector<std::string> &Keys,
                     const std::vector<std::string> &Values) {
    std::scoped_lock Lock(Mutex);
    ++Era;
    auto &Log = Logs[Topic];
    Log.resize(Log.size() - Newest);
    for (std::size_t Index = 0; Index < Keys.size(); ++Index)
      Log.emplace_back(Keys[Index], Values[Index]);
  }

  std::size_t appends() const { return Appends; }

  std::string endpoint() const { return Server.endpoint(); }

private:
  using topic_log = std::vector<std::pair<std::string, std::string>>;

  static constexpr int WaitStepMilliseconds = 20;

  void serve(raw_connection &Caller) {
    // The connection class throws when nothing comes for a long time.
    try {
      while (!Ending) {
        std::string Head = Caller.readUntil("\r\n\r\n");
        if (Head.empty())
          return;
        std::size_t Length = Head.find("Content-Length: ");
        if (Length != std::string::npos)
          Caller.read(std::stoul(Head.substr(Length + 16)));
        answer(Caller, Head.substr(0, Head.find(" HTTP/")));
      }
    } catch (const std::exception &) {
      return;
    }
  }

  void answer(raw_connection &Caller, const std::string &Call) {
    if (Call.starts_with("GET /-/log-newest"))
      return reply(Caller, listing(topicOf(Call)));
    if (Call.starts_with("GET /-/log-read")) {
      std::size_t From = numberIn(Call, "from=");
      topic_log Log = readAsAsked(Call, From);
      if (From > Log.size())
        return reply(Caller, R"({"first":0})", "410 Gone");
      // Eight bytes for the end, eight for the first offset kept.
      std::string Read(16, '\0');
      Read[7] = static_cast<char>(Log.size());
      for (; From < Log.size(); ++From)
        Read += recordText(Log[From].first, Log[From].second);
      return reply(Caller, Read);
    }
    ++Appends;
    reply(Caller, R"({"offset":0,"end":1})");
  }

  static std::string recordText(const std::string &Key,
                                const std::string &Value) {
    std::size_t Size = 1 + Key.size() + Value.size();
    std::string Text(4, '\0');
    Text[2] = static_cast<char>(Size >> 8);
    Text[3] = static_cast<char>(Size & 0xff);
    return Text + static_cast<char>(Key.size()) + Key + Value;
  }

  static std::size_t numberIn(const std::string &Call,
                              const std::string &Name) {
    std::size_t At = Call.find(Name);
    return At == std::string::npos ? 0
                                   : std::stoul(Call.substr(At + Name.size()));
  }

  /// The topic when it has a record to read, or when the read has waited.
  topic_log readAsAsked(const std::string &Call, std::size_t From) const {
    auto Left = static_cast<int>(numberIn(Call, "wait-ms="));
    for (; Left > 0 && !Ending && logOf(topicOf(Call)).size() == From;
         Left -= WaitStepMilliseconds)
      poll(nullptr, 0, WaitStepMilliseconds);
    return logOf(topicOf(Call));
  }

  static std::string topicOf(const std::string &Call) {
    std::size_t At = Call.find("topic=") + 6;
    return Call.substr(At, Call.find('&', At) - At);
  }

  topic_log logOf(const std::string &Topic) const {
    std::scoped_lock Lock(Mutex);
    auto Found = Logs.find(Topic);
    return Found == Logs.end() ? topic_log{} : Found->second;
  }

  std::string listing(const std::string &Topic) const {
    nlohmann::json Listing{{"items", nlohmann::json::array()}};
    topic_log Log = logOf(Topic);
    topic_records Records;
    for (const auto &[Key, Value] : Log)
      Records[Key] = Value;
    for (const auto &[Key, Value] : Records)
      Listing["items"].push_back({{"key", Key},
                                  {"value", inBase64(Value)},
                                  {"offset", Listing["items"].size()}});
    Listing["more"] = false;
    Listing["end"] = Log.size();
    return Listing.dump();
  }

  static std::string inBase64(const std::string &Bytes) {
    std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
    int Size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                        reinterpret_cast<const unsigned char *>(Bytes.data()),
                        static_cast<int>(Bytes.size()));
    Text.resize(static_cast<std::size_t>(Size));
    return Text;
  }

  void reply(raw_connection &Caller, std::string_view Body,
             std::string_view Status = "200 OK") const {
    Caller.send("HTTP/1.1 " + std::string(Status) +
                "\r\nStore-Era: " + std::to_string(Era) +
                "\r\nContent-Length: " + std::to_string(Body.size()) +
                "\r\n\r\n" + std::string(Body));
  }

  mutable std::mutex Mutex;
  std::map<std::string, topic_log> Logs;
  std::atomic<std::size_t> Era = 3;
  std::atomic<std::size_t> Appends = 0;
  std::atomic<bool> Ending = false;
  raw_server Server;
};

} // namespace endiverail::test
