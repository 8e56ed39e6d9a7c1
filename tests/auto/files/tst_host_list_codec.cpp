#include "base/text.h"
#include "failure_check.h"
#include "files/host_list_codec.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("a host list comes back as it was") {
  host_list Hosts{3,
                  {{"p1", "dc", "10.0.0.1:80"}},
                  {{"10.0.0.2:80", "a", "dc", server_state::Live},
                   {"10.0.0.3:80", "b", "dc", server_state::Leaving}}};
  decoded_host_list Back = valueOf(decodeHostList(encodeHostList(Hosts)));
  CHECK(Back.Skipped.empty());
  CHECK(Back.Hosts.Revision == 3);
  CHECK(Back.Hosts.EntryHosts == Hosts.EntryHosts);
  CHECK(Back.Hosts.Servers == Hosts.Servers);
}

TEST_CASE("entries that make no sense are skipped, the others stay") {
  std::string Text = R"({"revision": 1, "note": "ignored", "hosts": [
    {"role": "backend", "pool": "a", "data_centre": "d",
     "address": "10.0.0.1:80", "state": "live"},
    {"role": "backend", "pool": "a", "data_centre": "d",
     "address": "10.0.0.1:80", "state": "live"},
    {"role": "backend", "pool": "a", "data_centre": "d",
     "address": "no address", "state": "live"},
    {"role": "other", "address": "10.0.0.2:80"},
    42, null,
    {"role": "entry", "id": "p", "data_centre": "d",
     "address": "10.0.0.3:80", "state": "leaving"}]})";
  decoded_host_list Decoded = valueOf(decodeHostList(Text));
  CHECK(Decoded.Hosts.Servers.size() == 1);
  CHECK(Decoded.Hosts.EntryHosts.empty());
  CHECK(Decoded.Skipped.size() >= 4);
}

TEST_CASE("what is no host list at all is refused") {
  for (const char *Text : {"", "[]", "{}", R"({"revision": 0})", "42"}) {
    INFO(Text);
    CHECK(failureOf([&] { return decodeHostList(Text); }) ==
          error_kind::BadRecord);
  }
}

TEST_CASE("endpoints are addresses with ports") {
  for (const char *Text : {"127.0.0.1:80", "1.2.3.4:65535"})
    CHECK(isEndpoint(Text));
  for (const char *Text : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                           "256.0.0.1:80", "a.b.c.d:80", "1.2.3:80",
                           "localhost:80", "1.2.3.4:80:90", "1.2.3.4: 80"})
    CHECK_FALSE(isEndpoint(Text));
}
