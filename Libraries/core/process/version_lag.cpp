#include "core/process/version_lag.hpp"

namespace wisteriahatch
{

bool version_lag::update(std::uint64_t own, std::uint64_t theirs,
                         time_point now)
{
    if (own != this->own_version)
        this->behind_since.reset();
    this->own_version = own;
    if (theirs <= own)
        return false;
    if (!this->behind_since)
        this->behind_since = now;
    return now - *this->behind_since >= max_lag;
}

}
