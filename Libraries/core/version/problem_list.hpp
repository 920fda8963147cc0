#ifndef WISTERIAHATCH_CORE_VERSION_PROBLEM_LIST_HPP
#define WISTERIAHATCH_CORE_VERSION_PROBLEM_LIST_HPP

#include "core/version/document_check.hpp"

#include <cstddef>
#include <vector>

namespace wisteriahatch
{

// Collects the faults of a document. A document of garbage can hold several
// hundred thousand faults, so only the first max_problems are kept and the
// others are counted.
class problem_list
{
public:
    // Faults kept; at most about 300 bytes each.
    static constexpr std::size_t max_problems = 1000;

    // Adds a fault. Long values are shortened.
    void add(document_problem problem);

    bool is_empty() const;

    // Returns the faults ordered by line, and one more that states how many
    // were not kept. Leaves the list empty.
    std::vector<document_problem> take();

private:
    std::vector<document_problem> kept;
    std::size_t dropped = 0;
};

}

#endif
