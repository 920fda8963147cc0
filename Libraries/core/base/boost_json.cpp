// Compiles Boost.JSON into this library; it has no package of its own here.
#include <boost/json/src.hpp>
