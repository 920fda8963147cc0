#include "StandIns/upstream/rows.hpp"

#include <iomanip>
#include <sstream>
#include <xxhash.h>

namespace wisteriahatch
{

std::vector<std::pair<std::string, std::string>>
make_rows(const std::string& service, const std::string& shard,
          std::uint64_t version, const std::string& query)
{
    constexpr std::uint64_t min_rows = 2;
    constexpr std::uint64_t row_count_choices = 4;
    constexpr int key_digits = 8;
    const auto seed_text =
        service + "/" + shard + "/" + std::to_string(version) + "/" + query;
    const auto count =
        min_rows +
        XXH3_64bits(seed_text.data(), seed_text.size()) % row_count_choices;
    std::vector<std::pair<std::string, std::string>> rows;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        auto name = seed_text;
        name.append("/").append(std::to_string(number));
        std::ostringstream key;
        key << std::hex << std::setfill('0') << std::setw(key_digits)
            << (XXH3_64bits(name.data(), name.size()) & 0xffffffffU) << '-'
            << query;
        std::ostringstream value;
        value << shard << '@' << version << '#' << number;
        rows.emplace_back(key.str(), value.str());
    }
    return rows;
}

}
