// Compiles Boost.JSON once: libboost-dev brings its headers, and the compiled
// library is a separate package for the default Boost only.
#include <boost/json/src.hpp>
