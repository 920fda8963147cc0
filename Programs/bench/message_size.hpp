#ifndef WISTERIAHATCH_BENCH_MESSAGE_SIZE_HPP
#define WISTERIAHATCH_BENCH_MESSAGE_SIZE_HPP

#include <cstddef>
#include <string>

namespace wisteriahatch
{

// Returns the bytes of a JSON-RPC request with these parameters, without HTTP.
std::size_t request_bytes(const std::string& method,
                          const std::string& parameters);

// Returns the bytes of a JSON-RPC response with this result, without HTTP.
std::size_t response_bytes(const std::string& result);

}

#endif
