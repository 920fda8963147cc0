#include "core/request/record_merge.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace wisteriahatch;

// Guards against a merged answer that does not hold the greatest records in
// order. Compares it with sorting all records, for inputs with equal records,
// bytes above 127 and trailing bytes that don't fill a record, also when each
// part has been cut to its greatest records before.
TEST_CASE("the merge equals sorting all records")
{
    std::mt19937_64 random(7);
    for (unsigned round = 0; round < 200; ++round)
    {
        std::vector<std::string> bodies(random() % 5);
        std::vector<std::string> all;
        for (auto& body : bodies)
        {
            const auto records = random() % 6;
            for (unsigned record = 0; record < records; ++record)
            {
                std::string text(record_bytes, '\0');
                // Few distinct bytes, so that equal records appear.
                for (auto& byte : text)
                    byte = static_cast<char>(random() % 2 == 0 ? 0xff : 0x01);
                all.push_back(text);
                body += text;
            }
            body += std::string(random() % record_bytes, 'x');
        }
        std::ranges::sort(all,
                          [](const std::string& left, const std::string& right)
                          { return left.compare(right) > 0; });
        const std::size_t count = random() % 12;
        all.resize(std::min(all.size(), count));
        std::string expected;
        for (const auto& record : all)
            expected += record;
        const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
        CHECK(merge_top_records(parts, count) == expected);
        for (auto& body : bodies)
        {
            const auto records = body.size() / record_bytes;
            keep_top_records(body, count);
            CHECK(body.size() / record_bytes == std::min(count, records));
        }
        const std::vector<std::string_view> kept(bodies.begin(), bodies.end());
        CHECK(merge_top_records(kept, count) == expected);
    }
}
