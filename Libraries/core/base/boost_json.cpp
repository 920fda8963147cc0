// Compiles Boost.JSON into this library, because no package provides it as a
// compiled library.
#include <boost/json/src.hpp>
