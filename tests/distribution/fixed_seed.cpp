// Fixes the seed of the rapidcheck properties unless RC_PARAMS is set.

#include <cstdlib>

namespace {

/// rapidcheck reads RC_PARAMS while static objects are initialised, so this runs before them.
[[gnu::constructor(101)]] void fix_rapidcheck_seed() {
    (void)setenv("RC_PARAMS", "seed=20261204", 0);
}

} // namespace
