#pragma once

#include "base/error_kind.h"

#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
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

/// The value that \p Try has to give; throws with the detail of its failure.
template <typename TryBlock> auto valueFrom(TryBlock &&Try) {
  using value = std::remove_cvref_t<decltype(Try().value())>;
  std::optional<value> Value;
  std::string Detail = detailOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(Value, Try());
    return {};
  });
  if (!Value)
    throw std::runtime_error(Detail);
  return std::move(*Value);
}

} // namespace endiverail::test
