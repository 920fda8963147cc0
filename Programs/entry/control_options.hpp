#ifndef WISTERIAHATCH_ENTRY_CONTROL_OPTIONS_HPP
#define WISTERIAHATCH_ENTRY_CONTROL_OPTIONS_HPP

#include "core/process/document_store.hpp"
#include "core/process/membership.hpp"
#include "settings.hpp"

#include <cstdint>

namespace wisteriahatch
{

// Returns the options of the document store for these settings.
document_store::options store_options(const settings& values);

// Returns the membership options for these settings. The epoch of the
// instance's own record is the wall clock time of the call, in milliseconds.
membership::options member_options(const settings& values, incarnation self);

// Returns 64 random bits from std::random_device.
std::uint64_t random_seed();

}

#endif
