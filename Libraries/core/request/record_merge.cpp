#include "core/request/record_merge.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace wisteriahatch
{

std::string merge_top_records(std::span<const std::string_view> parts,
                              std::size_t count)
{
    std::vector<std::string_view> records;
    for (const auto part : parts)
        for (std::size_t offset = 0; offset + record_bytes <= part.size();
             offset += record_bytes)
            records.push_back(part.substr(offset, record_bytes));
    const auto kept = std::min(count, records.size());
    const auto end =
        records.begin() +
        static_cast<std::vector<std::string_view>::difference_type>(kept);
    // string_view compares bytes as unsigned characters.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * record_bytes);
    std::for_each(records.begin(), end,
                  [&merged](std::string_view record) { merged += record; });
    return merged;
}

void keep_top_records(std::string& part, std::size_t count)
{
    if (part.size() / record_bytes <= count)
        return;
    const std::string_view whole = part;
    part = merge_top_records({&whole, 1}, count);
}

}
