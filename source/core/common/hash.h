#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

// State of the hash function of the xxHash library.
struct XXH3_state_s;

namespace jacinth {

/// Returns the 64-bit XXH3 hash of `bytes`, which is not cryptographic.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Computes the Hash64 of bytes that are added piece by piece.
class Hasher64 {
 public:
  Hasher64();

  void Add(std::string_view bytes);

  /// Returns Hash64 of all bytes added so far.
  std::uint64_t Value() const;

 private:
  struct StateDeleter {
    void operator()(XXH3_state_s* state) const;
  };

  std::unique_ptr<XXH3_state_s, StateDeleter> state_;
};

}  // namespace jacinth
