#ifndef WISTERIAHATCH_TELEMETRY_SERIES_FAMILY_HPP
#define WISTERIAHATCH_TELEMETRY_SERIES_FAMILY_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace wisteriahatch
{

// The series of one metric, by the values of up to two labels. A thread takes
// the lock only for the first use of a series.
template <class Series>
class series_family
{
public:
    using create_series =
        std::function<Series*(std::string_view first, std::string_view second)>;

    // `create` is called once for each pair of label values, under a lock, and
    // returns a series that lives as long as this family.
    explicit series_family(create_series create)
        : create(std::move(create))
        , id(next_id.fetch_add(1))
    {
    }

    Series& at(std::string_view first, std::string_view second = {})
    {
        thread_local std::map<key, Series*, key_order> cache;
        const auto found = cache.find(key_view{this->id, first, second});
        if (found != cache.end())
            return *found->second;
        const std::lock_guard lock(this->mutex);
        key labels{this->id, first, second};
        auto entry = this->series.find(labels);
        if (entry == this->series.end())
            entry =
                this->series.emplace(labels, this->create(first, second)).first;
        cache.emplace(std::move(labels), entry->second);
        return *entry->second;
    }

private:
    using key = std::tuple<std::uint64_t, std::string, std::string>;
    using key_view =
        std::tuple<std::uint64_t, std::string_view, std::string_view>;

    // Compares keys with key views, so that a lookup allocates no memory.
    struct key_order
    {
        using is_transparent = void;

        template <class Left, class Right>
        bool operator()(const Left& left, const Right& right) const
        {
            return key_view(left) < key_view(right);
        }
    };

    // Ids are never reused within the process, so that the cache of a thread
    // never returns a series of a destroyed family that had the same address.
    static inline std::atomic<std::uint64_t> next_id{1};

    create_series create;
    std::uint64_t id;
    std::mutex mutex;
    std::map<key, Series*, key_order> series;
};

}

#endif
