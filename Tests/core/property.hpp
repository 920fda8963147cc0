#ifndef WISTERIAHATCH_TESTS_CORE_PROPERTY_HPP
#define WISTERIAHATCH_TESTS_CORE_PROPERTY_HPP

#include <cstddef>
#include <cstdint>
#include <rapidcheck.h>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace wisteriahatch
{

// Fails the case unless the rule holds. Used instead of RC_ASSERT, which
// evaluates both sides of || and && and keeps references to operands.
inline void require(bool holds, const char* rule)
{
    if (!holds)
        RC_FAIL(rule);
}

// The random decisions of one test case. After the last one every decision is
// 0, which by convention means no disturbance.
class choices
{
public:
    explicit choices(std::vector<unsigned> decisions)
        : values(std::move(decisions))
    {
    }

    unsigned below(std::size_t count)
    {
        const unsigned value =
            this->next < this->values.size() ? this->values[this->next++] : 0;
        return value % static_cast<unsigned>(count);
    }

    // True with a probability of 1 / `count`.
    bool one_in(std::size_t count)
    {
        return this->below(count) + 1 == count;
    }

private:
    std::vector<unsigned> values;
    std::size_t next = 0;
};

// Checks `property`, which takes choices and fails with require(), on `cases`
// cases. The seed is fixed and RC_PARAMS is ignored, so that each run has the
// same result. Returns the number of cases that passed before the first
// failure, and stores the description of the failure in `failure`.
template <class Property>
int passed_cases(std::uint64_t seed, int cases, std::size_t decisions,
                 std::string& failure, Property property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    // Shrinking is not needed, because the seed reproduces the sequence.
    parameters.disableShrinking = true;
    const auto outcome = rc::detail::checkTestable(
        [&]
        {
            property(choices(*rc::gen::container<std::vector<unsigned>>(
                decisions, rc::gen::inRange(0U, 1000U))));
        },
        rc::detail::TestMetadata(), parameters);
    if (outcome.template is<rc::detail::SuccessResult>())
        return cases;
    if (!outcome.template is<rc::detail::FailureResult>())
        throw std::runtime_error("rapidcheck could not run the property");
    const auto& failed = outcome.template get<rc::detail::FailureResult>();
    failure = failed.description;
    return failed.numSuccess;
}

}

#endif
