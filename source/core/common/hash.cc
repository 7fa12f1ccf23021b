#include "core/common/hash.h"

#include <new>
#include <xxhash.h>

namespace jacinth {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Hasher64::Hasher64() : state_(XXH3_createState()) {
  if (state_ == nullptr)
    throw std::bad_alloc();
  XXH3_64bits_reset(state_.get());
}

void Hasher64::Add(std::string_view bytes) {
  XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
}

std::uint64_t Hasher64::Value() const {
  return XXH3_64bits_digest(state_.get());
}

void Hasher64::StateDeleter::operator()(XXH3_state_s* state) const {
  XXH3_freeState(state);
}

}  // namespace jacinth
