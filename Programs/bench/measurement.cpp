#include "measurement.hpp"

#include <malloc.h>

namespace wisteriahatch
{

std::size_t allocated_bytes()
{
    const auto counts = mallinfo2();
    return counts.uordblks + counts.hblkhd;
}

}
