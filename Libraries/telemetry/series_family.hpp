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

// The series of one metric, by the values of up to two labels. A thread that
// used a series before finds it without a lock.
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
        , number(next_number.fetch_add(1))
    {
    }

    Series& at(std::string_view first, std::string_view second = {})
    {
        thread_local std::map<key, Series*, key_order> known;
        const auto found = known.find(view{this->number, first, second});
        if (found != known.end())
            return *found->second;
        const std::lock_guard lock(this->mutex);
        key name{this->number, first, second};
        auto entry = this->all.find(name);
        if (entry == this->all.end())
            entry = this->all.emplace(name, this->create(first, second)).first;
        known.emplace(std::move(name), entry->second);
        return *entry->second;
    }

private:
    using key = std::tuple<std::uint64_t, std::string, std::string>;
    using view = std::tuple<std::uint64_t, std::string_view, std::string_view>;

    // Compares stored keys with views, so that a lookup allocates nothing.
    struct key_order
    {
        using is_transparent = void;

        template <class Left, class Right>
        bool operator()(const Left& left, const Right& right) const
        {
            return view(left) < view(right);
        }
    };

    // Families are numbered over the life of the process, so that a thread
    // never finds a series of a destroyed family at the same address.
    static inline std::atomic<std::uint64_t> next_number{1};

    create_series create;
    std::uint64_t number;
    std::mutex mutex;
    std::map<key, Series*, key_order> all;
};

}

#endif
