#pragma once

#include "raw_socket.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace endiverail::test {

/// The platform's log on loopback, as far as a daemon uses it: listings and
/// waiting reads of keyed topics, and appends. Records are set before it is
/// asked; it goes dark by its end.
class store_standin {
public:
  using topic_records = std::map<std::string, std::string>;

  explicit store_standin(std::map<std::string, topic_records> Topics)
      : Topics(std::move(Topics)),
        Server([this](raw_connection Caller, std::size_t) { serve(Caller); }) {}
  ~store_standin() { Ending = true; }

  std::string endpoint() const { return Server.endpoint(); }

private:
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
      waitAsAsked(Call);
      // Eight bytes for the end, eight for the first offset kept.
      std::string Offsets(16, '\0');
      Offsets[7] = static_cast<char>(recordsOf(topicOf(Call)).size());
      return reply(Caller, Offsets);
    }
    reply(Caller, R"({"offset":0,"end":1})");
  }

  /// Nothing new ever comes, so a read waits for as long as it may.
  void waitAsAsked(const std::string &Call) const {
    std::size_t At = Call.find("wait-ms=");
    int Left = At == std::string::npos ? 0 : std::stoi(Call.substr(At + 8));
    for (; Left > 0 && !Ending; Left -= WaitStepMilliseconds)
      poll(nullptr, 0, WaitStepMilliseconds);
  }

  static std::string topicOf(const std::string &Call) {
    std::size_t At = Call.find("topic=") + 6;
    return Call.substr(At, Call.find('&', At) - At);
  }

  const topic_records &recordsOf(const std::string &Topic) const {
    static const topic_records None;
    auto Found = Topics.find(Topic);
    return Found == Topics.end() ? None : Found->second;
  }

  std::string listing(const std::string &Topic) const {
    nlohmann::json Listing{{"items", nlohmann::json::array()}};
    const topic_records &Records = recordsOf(Topic);
    for (const auto &[Key, Value] : Records)
      Listing["items"].push_back({{"key", Key},
                                  {"value", inBase64(Value)},
                                  {"offset", Listing["items"].size()}});
    Listing["more"] = false;
    Listing["end"] = Records.size();
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

  static void reply(raw_connection &Caller, std::string_view Body) {
    Caller.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body));
  }

  const std::map<std::string, topic_records> Topics;
  std::atomic<bool> Ending = false;
  raw_server Server;
};

} // namespace endiverail::test
