#include "failure_check.h"
#include "version/path_pattern.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE("patterns match paths") {
  struct row {
    const char *Pattern;
    const char *Path;
    bool Matches;
  };
  const row Rows[]{
      {"/a/b", "/a/b", true},      {"/a/b", "/a/b/", false},
      {"/a/b", "/a", false},       {"/a/*", "/a/x", true},
      {"/a/*", "/a/x/y", false},   {"/a/*/c", "/a/x/c", true},
      {"/a/*/c", "/a/x/d", false}, {"/a/**", "/a/x/y", true},
      {"/a/**", "/a", true},       {"/a/**", "/b", false},
      {"/a", "a", false},          {"/a/*", "/a/", true},
  };
  for (const row &Row : Rows) {
    INFO(Row.Pattern << " and " << Row.Path);
    CHECK(valueOf(path_pattern::create(Row.Pattern)).matches(Row.Path) ==
          Row.Matches);
  }
}

TEST_CASE("invalid patterns are rejected") {
  for (const char *Text : {"", "a/b", "/a*", "/**/b", "/a/b**"}) {
    INFO(Text);
    CHECK(failureOf([&] { return path_pattern::create(Text); }) ==
          error_kind::BadFile);
  }
}

TEST_CASE("the first path segment is extracted") {
  CHECK(firstSegment("/a/b") == "a");
  CHECK(firstSegment("/a?b=/c") == "a");
  CHECK(firstSegment("/") == "");
  CHECK(firstSegment("a/b") == "");
}
