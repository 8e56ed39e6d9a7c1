#pragma once

#include "base/error_kind.h"

#include <optional>
#include <utility>

namespace endiverail::test {

/// The kind of the failure that \p Try ends with; nothing when it succeeds.
template <typename TryBlock>
std::optional<error_kind> failureOf(TryBlock &&Try) {
  return handleFailure(
      [&]() -> result<std::optional<error_kind>> {
        BOOST_LEAF_CHECK(Try());
        return std::optional<error_kind>{};
      },
      [](const failure &Failure) { return std::optional(Failure.Kind); });
}

/// The detail of the failure that \p Try ends with; empty when it succeeds.
template <typename TryBlock> std::string detailOf(TryBlock &&Try) {
  return handleFailure(
      [&]() -> result<std::string> {
        BOOST_LEAF_CHECK(Try());
        return std::string{};
      },
      [](const failure &Failure) { return Failure.Detail; });
}

/// The value of a result that has to be there.
template <typename T> T valueOf(result<T> Result) {
  if (!Result)
    throw std::runtime_error("a result is missing");
  return std::move(Result.value());
}

} // namespace endiverail::test
