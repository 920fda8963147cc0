#ifndef WISTERIAHATCH_TESTS_SUPPORT_PROPERTY_HPP
#define WISTERIAHATCH_TESTS_SUPPORT_PROPERTY_HPP

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <utility>

namespace wisteriahatch::support
{

// Result of a property.
struct property_result
{
    bool is_success = false;
    // Cases that passed before the first failure.
    int passed = 0;
    // The failure with its counterexample.
    std::string text;
};

// Whether a failing case is shrunk to a small counterexample, which takes many
// runs.
enum class shrinking : std::uint8_t
{
    enabled,
    disabled,
};

// Checks a property with the given seed and number of cases, so that a run is
// repeatable. RC_PARAMS="seed=N" replaces the seed, and
// WISTERIAHATCH_FUZZ_CASES=N raises the number of cases.
template <class Testable>
property_result check_property(Testable&& testable, std::uint64_t seed,
                               int cases,
                               shrinking reduction = shrinking::enabled)
{
    auto params = rc::detail::configuration().testParams;
    if (std::getenv("RC_PARAMS") == nullptr)
        params.seed = seed;
    const auto* requested_cases = std::getenv("WISTERIAHATCH_FUZZ_CASES");
    params.maxSuccess = requested_cases == nullptr
                            ? cases
                            : std::max(cases, std::atoi(requested_cases));
    params.disableShrinking = reduction == shrinking::disabled;
    const auto result = rc::detail::checkTestable(
        std::forward<Testable>(testable), rc::detail::TestMetadata{}, params);
    property_result summary;
    std::ostringstream text;
    text << "seed " << params.seed << ": ";
    rc::detail::printResultMessage(result, text);
    summary.text = text.str();
    if (result.template is<rc::detail::SuccessResult>())
    {
        summary.is_success = true;
        summary.passed =
            result.template get<rc::detail::SuccessResult>().numSuccess;
    }
    else if (result.template is<rc::detail::FailureResult>())
    {
        summary.passed =
            result.template get<rc::detail::FailureResult>().numSuccess;
    }
    return summary;
}

}

#endif
