#include "process/outcome_table.h"

namespace endiverail {

key_state outcome_table::begin(std::string_view Key,
                               const proxy_incarnation &Issuer,
                               steady_time Now) {
  expire(Now);
  if (auto Found = Entries.find(Key); Found != Entries.end())
    return Found->second.Response ? key_state::Finished : key_state::InProgress;
  std::size_t Size = EntryOverheadBytes + Key.size();
  if (Bytes + Size > MaxBytes)
    return key_state::Full;
  Entries.emplace(Key, entry{Issuer, std::nullopt, Now + KeyLife, Size});
  Expirations.emplace_back(Now + KeyLife, Key);
  Bytes += Size;
  return key_state::New;
}

const stored_response *outcome_table::find(std::string_view Key) const {
  auto Found = Entries.find(Key);
  return Found != Entries.end() && Found->second.Response
             ? &*Found->second.Response
             : nullptr;
}

void outcome_table::finish(std::string_view Key, stored_response Response,
                           steady_time Now) {
  auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.Response)
    return;
  entry &Entry = Found->second;
  // The lifetime of a key counts from the response, not from the request.
  Entry.ExpiresAt = Now + KeyLife;
  Expirations.emplace_back(Entry.ExpiresAt, Key);
  Entry.Bytes += Response.Body.size();
  Bytes += Response.Body.size();
  Entry.Response = std::move(Response);
}

void outcome_table::forget(std::string_view Key) {
  auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.Response)
    return;
  Bytes -= Found->second.Bytes;
  Entries.erase(Found);
}

std::vector<remembered_key> outcome_table::remembered(steady_time Now) const {
  std::vector<remembered_key> Keys;
  for (const auto &[Name, Entry] : Entries)
    if (Entry.Response && Entry.ExpiresAt > Now)
      Keys.push_back({Name, Entry.Issuer, *Entry.Response});
  return Keys;
}

bool outcome_table::inherit(const remembered_key &Key, steady_time Now) {
  if (Entries.contains(Key.Name))
    return true;
  std::size_t Size =
      EntryOverheadBytes + Key.Name.size() + Key.Response.Body.size();
  if (Bytes + Size > MaxBytes)
    return false;
  steady_time ExpiresAt = Now + KeyLife;
  Entries.emplace(Key.Name, entry{Key.Issuer, Key.Response, ExpiresAt, Size});
  Expirations.emplace_back(ExpiresAt, Key.Name);
  Bytes += Size;
  return true;
}

void outcome_table::expire(steady_time Now) {
  while (!Expirations.empty() && Expirations.front().first <= Now) {
    auto Found = Entries.find(Expirations.front().second);
    bool Expired = Found != Entries.end() && Found->second.ExpiresAt <= Now &&
                   Found->second.Response;
    if (Expired) {
      Bytes -= Found->second.Bytes;
      Entries.erase(Found);
    }
    Expirations.pop_front();
  }
}

} // namespace endiverail
