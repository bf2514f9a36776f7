#pragma once
/// Output of the benchmarks: one JSON line per figure, collected by `make bench`.

#include "endive/base.h"

#include <iostream>

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

ABSL_DECLARE_FLAG(std::uint64_t, seed);

namespace endive {

/// Prints one figure. `target` is the required limit, `baseline` the figure of the naive implementation in
/// the same run; both may be null.
inline void print_figure(std::string_view bench, const std::string& metric, double value,
                         const std::string& unit, const json& target = nullptr,
                         const json& baseline = nullptr) {
    std::cout << json{{"bench", bench},
                      {"metric", metric},
                      {"value", value},
                      {"unit", unit},
                      {"target", target},
                      {"baseline", baseline},
                      {"seed", absl::GetFlag(FLAGS_seed)}}
                     .dump()
              << std::endl;
}

} // namespace endive
