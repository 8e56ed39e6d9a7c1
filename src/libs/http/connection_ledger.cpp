#include "http/connection_ledger.h"

#include "http/connection_io.h"

namespace endiverail::detail {

void connection_ledger::recordEstablished(const connection_ends &Ends,
                                          int Descriptor, steady_time Now) {
  Connections[Ends] = {Descriptor, ++LastNumber, 0, Now};
}

attempt_connection connection_ledger::recordAttempt(const connection_ends &Ends,
                                                    steady_time Now) {
  auto Found = Connections.find(Ends);
  if (Found == Connections.end())
    return {};
  connection_use &Use = Found->second;
  return {Use.Number, Use.Attempts++,
          std::chrono::duration_cast<milliseconds>(Now - Use.Since),
          waitingBytes(Use.Descriptor, attempt_connection::MaxUnaskedBytes)};
}

void connection_ledger::recordClosed(int Descriptor) {
  std::erase_if(Connections, [&](const auto &Entry) {
    return Entry.second.Descriptor == Descriptor;
  });
}

} // namespace endiverail::detail
