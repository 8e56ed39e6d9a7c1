#pragma once

/// Small stand-ins for the cases of the review: the platform's store, targets,
/// clients, and the platform's way to start, watch and end a daemon. All of it
/// is on loopback and on the real clock.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using seconds_t = double;

inline seconds_t now() {
  using namespace std::chrono;
  static const auto Start = steady_clock::now();
  return duration<double>(steady_clock::now() - Start).count();
}

inline void pause(seconds_t Time) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Time));
}

/// The case could not run.
[[noreturn]] inline void giveUp(const std::string &Why) {
  std::cerr << "the case could not run: " << Why << '\n';
  std::exit(2);
}

/// What was sent, answered and run, in the order of its happening.
class record_file {
public:
  explicit record_file(const std::string &Name) : File(Name) {
    if (!File)
      giveUp("no record at " + Name);
  }
  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f ", now());
    File << Time << Text << '\n' << std::flush;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

// Sockets.

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

inline std::string endpointOf(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// A port that is free for TCP and UDP now.
inline std::uint16_t freePort() {
  for (int Try = 0; Try < 100; ++Try) {
    int Stream = socket(AF_INET, SOCK_STREAM, 0);
    int Datagram = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof(Address);
    bool Free =
        bind(Stream, reinterpret_cast<sockaddr *>(&Address), Size) == 0 &&
        getsockname(Stream, reinterpret_cast<sockaddr *>(&Address), &Size) ==
            0 &&
        bind(Datagram, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    close(Stream);
    close(Datagram);
    if (Free)
      return ntohs(Address.sin_port);
  }
  giveUp("no free port");
}

enum class read_result { Data, End, Reset, Timeout };

/// One end of a connection.
class connection {
public:
  explicit connection(int Descriptor) : Descriptor(Descriptor) {
    int One = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;
  ~connection() { end(); }

  static std::unique_ptr<connection> open(std::uint16_t Port,
                                          seconds_t Timeout = 1) {
    int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Port);
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
    int Code = connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                       sizeof(Address));
    if (Code != 0 && errno == EINPROGRESS) {
      pollfd Wait{Descriptor, POLLOUT, 0};
      int Error = ETIMEDOUT;
      socklen_t Size = sizeof(Error);
      if (poll(&Wait, 1, static_cast<int>(Timeout * 1000)) == 1)
        getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
      Code = Error;
    }
    if (Code != 0) {
      close(Descriptor);
      return nullptr;
    }
    return std::make_unique<connection>(Descriptor);
  }

  bool send(std::string_view Bytes, seconds_t Timeout = 60) {
    seconds_t Until = now() + Timeout;
    while (!Bytes.empty()) {
      ssize_t Sent = ::send(Descriptor, Bytes.data(), Bytes.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Sent > 0) {
        Bytes.remove_prefix(static_cast<std::size_t>(Sent));
        continue;
      }
      if (errno != EAGAIN && errno != EINTR)
        return false;
      pollfd Wait{Descriptor, POLLOUT, 0};
      if (now() >= Until || poll(&Wait, 1, 100) < 0)
        return false;
    }
    return true;
  }

  /// Reads more into Buffer.
  read_result receive(seconds_t Until) {
    while (true) {
      char Bytes[65536];
      ssize_t Size = recv(Descriptor, Bytes, sizeof(Bytes), MSG_DONTWAIT);
      if (Size > 0) {
        Buffer.append(Bytes, static_cast<std::size_t>(Size));
        return read_result::Data;
      }
      if (Size == 0)
        return read_result::End;
      if (errno != EAGAIN && errno != EINTR)
        return read_result::Reset;
      seconds_t Left = Until - now();
      if (Left <= 0)
        return read_result::Timeout;
      pollfd Wait{Descriptor, POLLIN, 0};
      poll(&Wait, 1, static_cast<int>(std::min(Left, 0.2) * 1000) + 1);
    }
  }

  /// Takes the bytes up to and with the empty line.
  std::optional<std::string> readHead(seconds_t Until) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if ((Last = receive(Until)) != read_result::Data)
        return std::nullopt;
    std::string Head = Buffer.substr(0, End + 4);
    Buffer.erase(0, End + 4);
    return Head;
  }

  std::optional<std::string> readBytes(std::size_t Size, seconds_t Until) {
    while (Buffer.size() < Size)
      if ((Last = receive(Until)) != read_result::Data)
        return std::nullopt;
    std::string Bytes = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return Bytes;
  }

  void end() {
    if (Descriptor >= 0)
      close(std::exchange(Descriptor, -1));
  }
  int descriptor() const { return Descriptor; }
  /// Why the last read ended without its bytes.
  read_result lastRead() const { return Last; }
  std::string Buffer;

private:
  int Descriptor;
  read_result Last = read_result::Data;
};

/// Accepts connections and serves each on a thread of its own.
class listener {
public:
  using handler = std::function<void(connection &)>;

  explicit listener(handler Serve) : Serve(std::move(Serve)) { open(); }
  std::uint16_t port() const { return Port; }

  /// Ends as a process that crashes: all connections are reset, and the port
  /// has no listener any more.
  void crash() {
    std::lock_guard Lock(Mutex);
    shutdown(Descriptor, SHUT_RDWR);
    linger Hard{1, 0};
    for (int Each : Accepted) {
      setsockopt(Each, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
      // Disconnecting resets at once, whoever reads from it now.
      sockaddr Nowhere{};
      Nowhere.sa_family = AF_UNSPEC;
      connect(Each, &Nowhere, sizeof(Nowhere));
    }
  }

  /// Listens on the same port again.
  void open() {
    std::lock_guard Lock(Mutex);
    Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    sockaddr_in Address = loopback(Port);
    socklen_t Size = sizeof(Address);
    if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Descriptor, 512) != 0 ||
        getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                    &Size) != 0)
      giveUp("a stand-in can't listen");
    Port = ntohs(Address.sin_port);
    std::thread([this, From = Descriptor] { accept(From); }).detach();
  }

private:
  void accept(int From) {
    while (true) {
      int Next = ::accept4(From, nullptr, nullptr, SOCK_CLOEXEC);
      if (Next < 0 && errno == EINVAL) {
        close(From);
        return;
      }
      if (Next < 0)
        continue;
      {
        std::lock_guard Lock(Mutex);
        Accepted.insert(Next);
      }
      std::thread([this, Next] {
        connection Caller(Next);
        Serve(Caller);
        std::lock_guard Lock(Mutex);
        Accepted.erase(Next);
        Caller.end();
      }).detach();
    }
  }

  handler Serve;
  std::mutex Mutex;
  std::set<int> Accepted;
  int Descriptor = -1;
  std::uint16_t Port = 0;
};

/// The value of a field in a head, or nothing.
inline std::string fieldOf(const std::string &Head, const std::string &Name) {
  std::string Start = "\r\n" + Name + ": ";
  std::size_t At = Head.find(Start);
  if (At == std::string::npos)
    return "";
  At += Start.size();
  return Head.substr(At, Head.find("\r\n", At) - At);
}

// The platform's store.

/// The log of the platform, as far as a daemon uses it: appends, listings of
/// the newest records and waiting reads of keyed topics.
class store {
public:
  store() : Door([this](connection &Caller) { serve(Caller); }) {}

  std::string endpoint() const { return endpointOf(Door.port()); }

  /// Appends a record; its return is the acknowledgement.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    std::lock_guard Lock(Mutex);
    Topics[Topic].push_back({Key, Value});
    Changed.notify_all();
  }

private:
  using log = std::vector<std::pair<std::string, std::string>>;

  static std::string queryOf(const std::string &Head, const std::string &Name) {
    std::string Line = Head.substr(0, Head.find(" HTTP/"));
    for (const char *Mark : {"?", "&"}) {
      std::size_t At = Line.find(Mark + Name + "=");
      if (At == std::string::npos)
        continue;
      At += Name.size() + 2;
      return Line.substr(At, Line.find('&', At) - At);
    }
    return "";
  }

  void serve(connection &Caller) {
    while (auto Head = Caller.readHead(now() + 3600)) {
      std::string Length = fieldOf(*Head, "Content-Length");
      auto Body =
          Caller.readBytes(Length.empty() ? 0 : std::stoul(Length), now() + 60);
      if (!Body)
        return;
      pause(0.004);
      std::string Topic = queryOf(*Head, "topic");
      std::string Answer;
      if (Head->starts_with("GET /-/log-newest"))
        Answer = newest(Topic);
      else if (Head->starts_with("GET /-/log-read"))
        Answer = read(Topic, std::stoul(queryOf(*Head, "from")),
                      queryOf(*Head, "wait-ms"));
      else if (Head->starts_with("POST /-/log-append"))
        Answer = append(Topic, *Body);
      if (!Caller.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(Answer.size()) + "\r\n\r\n" + Answer))
        return;
    }
  }

  static std::string bigEndian(std::uint64_t Value, int Bytes) {
    std::string Text;
    for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
      Text.push_back(static_cast<char>(Value >> Shift));
    return Text;
  }

  std::string append(const std::string &Topic, std::string_view Body) {
    std::lock_guard Lock(Mutex);
    log &Log = Topics[Topic];
    std::size_t First = Log.size();
    while (Body.size() > 4) {
      std::size_t Size = 0;
      for (int Index = 0; Index < 4; ++Index)
        Size = Size << 8 | static_cast<unsigned char>(Body[Index]);
      std::string_view Record = Body.substr(4, Size);
      auto KeySize = static_cast<unsigned char>(Record[0]);
      Log.emplace_back(Record.substr(1, KeySize), Record.substr(1 + KeySize));
      Body.remove_prefix(4 + Size);
    }
    Changed.notify_all();
    return "{\"offset\":" + std::to_string(First) +
           ",\"end\":" + std::to_string(Log.size()) + "}";
  }

  std::string newest(const std::string &Topic) {
    std::lock_guard Lock(Mutex);
    const log &Log = Topics[Topic];
    std::map<std::string, std::size_t> Last;
    for (std::size_t Offset = 0; Offset < Log.size(); ++Offset)
      Last[Log[Offset].first] = Offset;
    std::string Items;
    for (const auto &[Key, Offset] : Last)
      if (!Log[Offset].second.empty())
        Items += std::string(Items.empty() ? "" : ",") + "{\"key\":\"" + Key +
                 "\",\"value\":\"" + base64(Log[Offset].second) +
                 "\",\"offset\":" + std::to_string(Offset) + "}";
    return "{\"items\":[" + Items +
           "],\"more\":false,\"end\":" + std::to_string(Log.size()) + "}";
  }

  std::string read(const std::string &Topic, std::size_t From,
                   const std::string &Wait) {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(
        Lock, std::chrono::milliseconds(Wait.empty() ? 0 : std::stol(Wait)),
        [&] { return Topics[Topic].size() > From; });
    const log &Log = Topics[Topic];
    std::string Answer = bigEndian(Log.size(), 8) + bigEndian(0, 8);
    for (std::size_t Offset = From; Offset < Log.size(); ++Offset) {
      const auto &[Key, Value] = Log[Offset];
      Answer += bigEndian(1 + Key.size() + Value.size(), 4);
      Answer.push_back(static_cast<char>(Key.size()));
      Answer += Key + Value;
    }
    return Answer;
  }

  static std::string base64(const std::string &Bytes) {
    static const char Digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Text;
    for (std::size_t At = 0; At < Bytes.size(); At += 3) {
      std::uint32_t Group = 0;
      for (std::size_t Index = At; Index < At + 3; ++Index)
        Group = Group << 8 |
                (Index < Bytes.size() ? static_cast<unsigned char>(Bytes[Index])
                                      : 0U);
      for (std::size_t Digit = 0; Digit < 4; ++Digit)
        Text.push_back(At + Digit > Bytes.size()
                           ? '='
                           : Digits[Group >> (18 - 6 * Digit) & 63]);
    }
    return Text;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, log> Topics;
  listener Door;
};

// Targets.

/// What a target has done with a request.
struct run {
  std::string Id;
  std::string Line;
  std::size_t BodyBytes = 0;
  seconds_t Began = 0;
};

/// A sound target: it works on one request a slot for the same time, echoes
/// the identifier and signs its answers. It reports itself in the store.
class target {
public:
  target(store &Store, record_file &Record, std::string Service,
         std::string Instance, int Slots, seconds_t Work,
         seconds_t ColdTime = 0, double ColdFactor = 1)
      : Store(Store), Record(Record), Service(std::move(Service)),
        Instance(std::move(Instance)), Slots(Slots), FreeSlots(Slots),
        Work(Work), ColdUntil(now() + ColdTime), ColdFactor(ColdFactor),
        Door([this](connection &Caller) { serve(Caller); }) {
    std::thread([this] { report(); }).detach();
  }

  std::string endpoint() const { return endpointOf(Door.port()); }
  /// The requests at work.
  std::vector<run> atWork() const {
    std::lock_guard Lock(Mutex);
    return Active;
  }
  /// Crashes for some time and starts again as another incarnation.
  void crash(seconds_t Time) {
    Record.line("crash    " + Instance);
    {
      std::lock_guard Lock(Mutex);
      Down = true;
      Active.clear();
    }
    Door.crash();
    pause(Time);
    std::string Old;
    {
      std::lock_guard Lock(Mutex);
      Old = std::exchange(Instance, Instance + "-again");
      ++Born;
      Down = false;
    }
    Door.open();
    Store.put("keyed.servers", Old, "");
    Record.line("start    " + Old + "-again");
  }
  std::vector<run> runs() const {
    std::lock_guard Lock(Mutex);
    return Runs;
  }

private:
  void report() {
    for (int Sequence = 1;; ++Sequence) {
      {
        std::lock_guard Lock(Mutex);
        if (!Down)
          Store.put("keyed.servers", Instance, entry(Sequence));
      }
      pause(1.5);
    }
  }

  std::string entry(int Sequence) const {
    return "{\"service\":\"" + Service + "\",\"address\":\"" + endpoint() +
           "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":" +
           std::to_string(Slots) +
           ",\"state\":\"ready\",\"cold-remaining-s\":" +
           std::to_string(std::max(0.0, ColdUntil - now())) +
           ",\"sequence\":" + std::to_string(Sequence) +
           ",\"born\":" + std::to_string(Born) + "}";
  }

  void serve(connection &Caller) {
    while (auto Head = Caller.readHead(now() + 10)) {
      std::string Length = fieldOf(*Head, "Content-Length");
      auto Body =
          Caller.readBytes(Length.empty() ? 0 : std::stoul(Length), now() + 60);
      if (!Body || !answer(Caller, *Head, Body->size()))
        return;
    }
  }

  bool answer(connection &Caller, const std::string &Head, std::size_t Bytes) {
    std::string Id = fieldOf(Head, "Endiverail-Attempt-Identifier");
    std::string Common = "Endiverail-Attempt-Identifier: " + Id + "\r\n";
    if (std::string Expected = fieldOf(Head, "Endiverail-Expected-Instance");
        !Expected.empty() && Expected != instance())
      return Caller.send("HTTP/1.1 421 Misdirected Request\r\n" + Common +
                         "Content-Length: 0\r\n\r\n");
    {
      std::unique_lock Lock(Mutex);
      if (Queued >= Slots * 4) {
        Lock.unlock();
        return Caller.send("HTTP/1.1 503 Service Unavailable\r\n" + Common +
                           "Endiverail-Request-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
      }
      ++Queued;
      SlotFree.wait(Lock, [this] { return FreeSlots > 0; });
      --Queued;
      --FreeSlots;
      Active.push_back({Id, "", Bytes, now()});
      Runs.push_back({Id, Head.substr(0, Head.find(" HTTP/")), Bytes, now()});
    }
    Record.line("run      " + Id + " at " + instance() + ", body of " +
                std::to_string(Bytes));
    pause(now() < ColdUntil ? Work * ColdFactor : Work);
    {
      std::lock_guard Lock(Mutex);
      ++FreeSlots;
      std::erase_if(Active, [&](const run &Each) { return Each.Id == Id; });
      SlotFree.notify_one();
    }
    std::string Answer = "done " + Id + "\n";
    return Caller.send("HTTP/1.1 200 OK\r\n" + Common +
                       "Endiverail-Response-Signature: sig-" + Id +
                       "\r\nContent-Length: " + std::to_string(Answer.size()) +
                       "\r\n\r\n" + Answer);
  }

  std::string instance() const {
    std::lock_guard Lock(Mutex);
    return Instance;
  }

  store &Store;
  record_file &Record;
  std::string Service;
  std::string Instance;
  int Slots;
  int FreeSlots;
  int Queued = 0;
  seconds_t Work;
  seconds_t ColdUntil;
  double ColdFactor;
  mutable std::mutex Mutex;
  std::condition_variable SlotFree;
  std::vector<run> Runs;
  std::vector<run> Active;
  bool Down = false;
  int Born = 1;
  listener Door;
};

// The daemon and the platform that runs it.

/// A daemon under the platform: started with the command of the deploy file,
/// watched for its memory and ended with the case.
class daemon_process {
public:
  daemon_process(const std::string &Program, const std::string &Template,
                 const std::string &Folder, const store &Store,
                 record_file &Record, const std::string &Name)
      : Program(Program), Folder(Folder), Record(Record), Name(Name) {
    std::map<std::string, std::string> Fields{
        {"{{node-name}}", Name},
        {"{{zone}}", "z-a"},
        {"{{region}}", "r"},
        {"{{listen-addresses.frontend}}", endpointOf(Frontend)},
        {"{{listen-addresses.ready}}", endpointOf(Ready)},
        {"{{listen-addresses.directory}}", endpointOf(Directory)},
        {"{{ip-address}}:9464", endpointOf(Metrics)},
        {"{{ip-address}}:{{internal-port-range.0}}", endpointOf(Peer)},
        {"{{platform.address}}", Store.endpoint()},
        {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", ""},
        {"{{#heartbeat-interval-s}}", ""},
        {"{{.}}", "1.5"},
        {"{{/heartbeat-interval-s}}", ""},
        {"{{bounds.grace-period-s}}", "6"},
        {"{{bounds.budget-ratio}}", "0.2"},
        {"{{bounds.budget-extra-attempts}}", "62"},
        {"{{limits.cpu-share}}", "0.2"},
        {"{{limits.link-mbps}}", "1000.0"},
        {"{{limits.memory-mb}}", "260"},
        {"{{#bounds.quota-window-s}}", ""},
        {"{{bounds.quota-window-s}}", "10"},
        {"{{bounds.quota-overage}}", "0.2"},
        {"{{bounds.quota-slack}}", "60"},
        {"{{/bounds.quota-window-s}}", ""}};
    std::ifstream File(Template);
    std::stringstream Text;
    Text << File.rdbuf();
    std::string Settings = Text.str();
    for (const auto &[From, To] : Fields)
      for (std::size_t At = 0;
           (At = Settings.find(From, At)) != std::string::npos;)
        Settings.replace(At, From.size(), To);
    if (Settings.empty() || Settings.find("{{") != std::string::npos)
      giveUp("the settings template is not as expected");
    std::ofstream(Folder + "/" + Name + ".json") << Settings;
  }
  ~daemon_process() { kill(SIGKILL); }

  void start() {
    std::string Settings = Folder + "/" + Name + ".json";
    std::string Log = Folder + "/" + Name + ".log";
    pid_t Child = fork();
    if (Child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(Output, STDOUT_FILENO);
      dup2(Output, STDERR_FILENO);
      execl(Program.c_str(), Program.c_str(), "--platform", "--settings",
            Settings.c_str(), nullptr);
      _exit(127);
    }
    Pid = Child;
    Record.line("platform starts " + Name);
  }

  void kill(int Signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, Signal);
    if (Signal == SIGKILL)
      waitpid(std::exchange(Pid, -1), nullptr, 0);
  }

  /// Whether the process has ended by itself.
  bool hasEnded() {
    return Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid && ((Pid = -1), 1);
  }

  /// Memory of the process in megabytes.
  double memory() const {
    std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
    for (std::string Line; std::getline(Status, Line);)
      if (Line.starts_with("VmRSS:"))
        return std::stod(Line.substr(6)) * 1024 / 1e6;
    return 0;
  }

  bool ready() const {
    auto Call = connection::open(Ready);
    if (!Call || !Call->send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    auto Head = Call->readHead(now() + 1);
    return Head && Head->starts_with("HTTP/1.1 200");
  }

  void waitReady(seconds_t Timeout = 20) const {
    seconds_t Until = now() + Timeout;
    while (!ready()) {
      if (now() > Until)
        giveUp("the daemon does not become ready");
      pause(0.1);
    }
  }

  std::uint16_t frontend() const { return Frontend; }

private:
  std::string Program;
  std::string Folder;
  record_file &Record;
  std::string Name;
  pid_t Pid = -1;
  std::uint16_t Frontend = freePort();
  std::uint16_t Ready = freePort();
  std::uint16_t Directory = freePort();
  std::uint16_t Metrics = freePort();
  std::uint16_t Peer = freePort();
};

// Clients.

/// How a request ended, as its client saw it.
struct ending {
  /// 0 without a complete answer.
  int Status = 0;
  /// The connection ended or was reset before the answer.
  bool Cut = false;
  /// The client gave up waiting.
  bool GaveUp = false;
  seconds_t Sent = 0;
  seconds_t Ended = 0;
};

/// Reads one answer with a length.
inline ending readAnswer(connection &To, seconds_t Sent, seconds_t Until) {
  ending Ending;
  Ending.Sent = Sent;
  auto Head = To.readHead(Until);
  bool Whole = Head.has_value();
  if (Head) {
    std::string Length = fieldOf(*Head, "Content-Length");
    Whole = To.readBytes(Length.empty() ? 0 : std::stoul(Length), Until)
                .has_value();
  }
  Ending.Ended = now();
  if (Whole)
    Ending.Status = std::stoi(Head->substr(9, 3));
  else if (To.lastRead() == read_result::Timeout)
    Ending.GaveUp = true;
  else
    Ending.Cut = true;
  return Ending;
}

inline std::string describe(const ending &Ending) {
  if (Ending.Status != 0)
    return "answered " + std::to_string(Ending.Status);
  return Ending.Cut ? "connection ended without a complete answer" : "gave up";
}

inline std::string requestHead(const std::string &Line, const std::string &Host,
                               const std::string &Id, seconds_t Deadline) {
  return Line + " HTTP/1.1\r\nHost: " + Host +
         "\r\nEndiverail-Attempt-Identifier: " + Id +
         "\r\nEndiverail-Deadline-Milliseconds: " +
         std::to_string(static_cast<long>(Deadline * 1000)) + "\r\n";
}

inline std::string chunk(std::string_view Bytes) {
  char Size[32];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return Size + std::string(Bytes) + "\r\n";
}

/// Sends no faster than a caller's own link allows, in bytes a second.
inline bool sendPaced(connection &To, std::string_view Bytes, double Rate) {
  constexpr std::size_t Piece = 16384;
  seconds_t Begin = now();
  for (std::size_t Done = 0; Done < Bytes.size(); Done += Piece) {
    pause(std::max(0.0, Begin + static_cast<double>(Done) / Rate - now()));
    if (!To.send(Bytes.substr(Done, Piece)))
      return false;
  }
  return true;
}

inline bool troubled() {
  const char *Trouble = std::getenv("TROUBLE");
  return !Trouble || std::string_view(Trouble) != "0";
}

} // namespace review
