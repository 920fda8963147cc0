#include "core/version/problem_list.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Bytes of a section name, key or value that a problem quotes.
constexpr std::size_t max_quoted_bytes = 80;

void shorten(std::string& text)
{
    if (text.size() <= max_quoted_bytes)
        return;
    text.resize(max_quoted_bytes);
    text += "...";
}

}

void problem_list::add(document_problem problem)
{
    if (this->kept.size() >= max_problems)
    {
        ++this->dropped;
        return;
    }
    shorten(problem.section);
    shorten(problem.key);
    shorten(problem.value);
    this->kept.push_back(std::move(problem));
}

bool problem_list::is_empty() const
{
    return this->kept.empty();
}

std::vector<document_problem> problem_list::take()
{
    std::ranges::stable_sort(this->kept, {}, &document_problem::line);
    if (this->dropped > 0)
    {
        this->kept.push_back({
            .message = std::to_string(this->dropped) +
                       " more problems are not listed; correct those above "
                       "and check again",
        });
    }
    this->dropped = 0;
    return std::exchange(this->kept, {});
}

}
