#ifndef WISTERIAHATCH_CORE_VERSION_PROBLEM_LIST_HPP
#define WISTERIAHATCH_CORE_VERSION_PROBLEM_LIST_HPP

#include "core/version/document_check.hpp"

#include <cstddef>
#include <vector>

namespace wisteriahatch
{

// Collects the problems of a document. A corrupt document can have several
// hundred thousand, so only the first max_problems are kept and the others are
// counted.
class problem_list
{
public:
    // Problems kept; each takes about 300 bytes at most.
    static constexpr std::size_t max_problems = 1000;

    // Adds a problem. A long section name, key or value is shortened.
    void add(document_problem problem);

    bool is_empty() const;

    // Returns the problems sorted by line. If any were dropped, a last one
    // states their number. Leaves the list empty.
    std::vector<document_problem> take();

private:
    std::vector<document_problem> kept;
    std::size_t dropped = 0;
};

}

#endif
