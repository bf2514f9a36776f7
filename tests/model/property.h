#pragma once
/// Property tests with a fixed seed.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

/// Runs a property with a fixed seed, so that failures are reproducible.
template <typename Property>
inline void check_property(const std::string& name, Property property) {
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 300;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    const auto result = rc::detail::checkTestable(property, metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    REQUIRE(result.template is<rc::detail::SuccessResult>());
}
