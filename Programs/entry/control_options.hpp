#ifndef WISTERIAHATCH_ENTRY_CONTROL_OPTIONS_HPP
#define WISTERIAHATCH_ENTRY_CONTROL_OPTIONS_HPP

#include "core/process/document_store.hpp"
#include "core/process/membership.hpp"
#include "settings.hpp"

#include <cstdint>

namespace wisteriahatch
{

// Options of the document store of a process with these settings.
document_store::options store_options(const settings& values);

// Options of the membership of a process with these settings. The epoch of its
// own record is the wall clock at the call.
membership::options member_options(const settings& values, incarnation self);

// 64 random bits from the system.
std::uint64_t random_seed();

}

#endif
