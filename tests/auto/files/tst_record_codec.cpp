#include "failure_check.h"
#include "files/record_codec.h"
#include "files/service_file.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

service_file someFile() {
  return valueOf(readServiceFile("f", R"({"service": "s", "pool_size": 2,
    "floor": 1, "kinds": [{"name": "n", "method": "GET", "path": "/s/*",
    "rank": "normal", "idempotent": true, "target_ms": 10}]})"));
}

} // namespace

TEST_CASE("records come back from the log as they were") {
  service_file File = someFile();
  acceptance Acceptance{File.Definition, "parent", File.ContentHash,
                        File.Content,    7,        "signer",
                        "signature",     0,        false};
  acceptance Refresh = Acceptance;
  Refresh.Refresh = true;
  Refresh.FirstOffset = 42;
  ejection_claim Claim;
  Claim.Service = "s";
  Claim.Server = "a";
  Claim.Holder = "p.1";
  Claim.Sequence = 3;
  Claim.Unavailable = 2;
  const log_record Records[]{
      proposal{File.Definition, "", File.ContentHash, File.Content, "me"},
      Acceptance, Refresh, rejection{"s", "hash", "no"}, Claim};
  for (const log_record &Record : Records) {
    std::string Text = encodeRecord(Record);
    INFO(Text);
    log_record Back = valueOf(decodeRecord(Text));
    CHECK(Back.index() == Record.index());
    CHECK(encodeRecord(Back) == Text);
  }
  auto Back =
      std::get<acceptance>(valueOf(decodeRecord(encodeRecord(Refresh))));
  CHECK(Back.FirstOffset == 42);
  CHECK(Back.Refresh);
  CHECK(Back.ContentHash == File.ContentHash);
}

TEST_CASE("torn and foreign records are refused") {
  std::string Whole = encodeRecord(rejection{"s", "hash", "no"});
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK(failureOf([&] { return decodeRecord(Whole.substr(0, Size)); }));
  for (const char *Text :
       {"null", "42", "\"text\"", "[]", "{}", R"({"type": "other"})",
        R"({"type": "acceptance"})", R"({"type": "proposal", "content": "x"})",
        R"({"type": "ejection", "service": 1})", "\xff\xfe"}) {
    INFO(Text);
    CHECK(failureOf([&] { return decodeRecord(Text); }));
  }
}
