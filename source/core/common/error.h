#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "core/common/error_kind.h"

namespace jacinth {

/// An error with its kind and a human-readable explanation.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;

  bool operator==(const Error&) const = default;
};

/// Either a value or the error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

/// Returns an error that converts to any Result.
inline tl::unexpected<Error> Fail(ErrorKind kind, std::string detail) {
  return tl::unexpected<Error>(Error{kind, std::move(detail)});
}

}  // namespace jacinth
