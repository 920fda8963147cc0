#ifndef WISTERIAHATCH_BENCH_MESSAGE_SIZE_HPP
#define WISTERIAHATCH_BENCH_MESSAGE_SIZE_HPP

#include <cstddef>
#include <string>

namespace wisteriahatch
{

// Bytes of a JSON-RPC request that carries these parameters, without HTTP.
std::size_t request_bytes(const std::string& method,
                          const std::string& parameters);

// Bytes of a JSON-RPC response that carries this result, without HTTP.
std::size_t response_bytes(const std::string& result);

}

#endif
