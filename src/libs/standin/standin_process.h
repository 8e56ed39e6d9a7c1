#pragma once

#include "standin/scenario.h"

#include <memory>

namespace endiverail {

/// A platform and backend servers in one process, for a laptop run and for
/// tests. It serves until it is destroyed.
class standin_process {
public:
  /// Binds all addresses. Fails with BadSettings.
  static result<std::unique_ptr<standin_process>>
  create(const scenario &Scenario);

  standin_process(const standin_process &) = delete;
  standin_process &operator=(const standin_process &) = delete;
  ~standin_process();

private:
  struct parts;
  explicit standin_process(std::unique_ptr<parts> Parts);
  std::unique_ptr<parts> Parts;
};

} // namespace endiverail
