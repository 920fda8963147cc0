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

// Fails the case unless the rule holds. RC_ASSERT would evaluate both sides of
// || and &&, and keeps references to operands.
inline void require(bool holds, const char* rule)
{
    if (!holds)
        RC_FAIL(rule);
}

// Random decisions of one test case. After the last one every decision is 0,
// which by convention is the undisturbed case.
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

    // True once in `count` decisions.
    bool one_in(std::size_t count)
    {
        return this->below(count) + 1 == count;
    }

private:
    std::vector<unsigned> values;
    std::size_t next = 0;
};

// Checks `property`, which takes choices and fails by require(), on `cases`
// cases from a fixed seed, whatever RC_PARAMS says: each run gives the same
// verdict. Returns the number of cases that passed before a failure, whose
// description goes to `failure`, or `cases`.
template <class Property>
int passed_cases(std::uint64_t seed, int cases, std::size_t decisions,
                 std::string& failure, Property property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    // A shrunk case would not tell more: the sequence is replayed by its seed.
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
