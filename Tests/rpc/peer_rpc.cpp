#include "rpc/peer_rpc.hpp"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace wisteriahatch;

namespace
{

// Serves echo, which returns its parameters, and methods that fail.
class echo_server
{
public:
    echo_server()
    {
        this->server.add("echo", [](const std::string& parameters)
                         { return parameters; });
        this->server.add("fail",
                         [](const std::string&) -> std::string
                         { throw std::runtime_error("no \"document\"\nyet"); });
        this->server.add("broken",
                         [](const std::string&) -> std::string { return "{"; });
    }

    rpc_transport transport()
    {
        return [this](const std::string& message)
        { return this->server.handle(message); };
    }

    rpc_server server;
};

// Returns the message of the exception that the call throws; empty for none.
std::string call_failure(const rpc_transport& transport,
                         const std::string& method,
                         const std::string& parameters)
{
    try
    {
        call_peer(transport, method, parameters);
        return {};
    }
    catch (const std::runtime_error& problem)
    {
        return problem.what();
    }
}

}

// Guards against values that are changed in transit between two instances.
TEST_CASE("parameters and results arrive unchanged")
{
    echo_server peer;
    for (const std::string text :
         {R"({})", R"({"a":18446744073709551615})",
          R"({"text":"line\nquote\" \u0001 back\\slash"})",
          "{\"name\":\"\xc3\xa9\xe2\x82\xac\"}",
          R"({"list":[1,-2,null,true,{"nested":"x"}]})"})
    {
        CAPTURE(text);
        CHECK(call_peer(peer.transport(), "echo", text) == text);
    }
}

// Guards against a malformed request that crashes the process or is answered
// with anything but a JSON-RPC error.
TEST_CASE("bad requests are answered with an error")
{
    echo_server peer;
    for (const std::string& message :
         {std::string(), std::string("{"), std::string("null"),
          std::string("[]"), std::string("[1,2]"), std::string("\0\xff", 2),
          std::string(R"({"jsonrpc":2,"method":"echo","id":1,"params":{}})"),
          std::string(R"({"jsonrpc":{},"method":"echo","id":1,"params":{}})"),
          std::string(R"({"jsonrpc":"2.0","method":7,"id":1,"params":{}})"),
          std::string(
              R"({"jsonrpc":"2.0","method":"echo","id":[],"params":1})"),
          std::string(
              R"({"jsonrpc":"2.0","method":"none","id":1,"params":{}})"),
          std::string(100000, '['), std::string(100000, '{')})
    {
        const std::string start = message.substr(0, 70);
        CAPTURE(start);
        const std::string response = peer.server.handle(message);
        CHECK(response.find("\"error\"") != std::string::npos);
    }
}

// Guards against failures whose cause does not reach the caller, and against
// exceptions that terminate the process.
TEST_CASE("failures of a call name their cause")
{
    struct failing_call
    {
        std::string method;
        std::string parameters;
        std::string expected;
    };

    echo_server peer;
    for (const auto& [method, parameters, expected] :
         {failing_call{"none", "{}", "METHOD_NOT_FOUND"},
          failing_call{"fail", "{}", "no \"document\"\nyet"},
          failing_call{"broken", "{}", "the result is not valid JSON"},
          failing_call{"echo", "[1]", "must be a JSON object"},
          failing_call{"echo", "{", "the parameter object is not valid JSON"}})
    {
        CAPTURE(method);
        const std::string failure =
            call_failure(peer.transport(), method, parameters);
        CAPTURE(failure);
        CHECK(failure.find(expected) != std::string::npos);
    }
    const rpc_transport refused = [](const std::string&) -> std::string
    { throw std::runtime_error("connect_failed"); };
    CHECK(call_failure(refused, "echo", "{}") == "connect_failed");
}

// Guards against libjsonrpccpp terminating the process on a response whose
// members have unexpected types.
TEST_CASE("bad responses become exceptions")
{
    for (const std::string& response :
         {std::string(), std::string("{"), std::string("[]"),
          std::string("\"text\""), std::string(R"({"jsonrpc":"2.0","id":1})"),
          std::string(R"({"jsonrpc":[],"id":1,"result":1})"),
          std::string(R"({"jsonrpc":"2.0","id":1,"error":5})"),
          std::string(R"({"jsonrpc":"2.0","id":1,"error":null})"),
          std::string(
              R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":1}})"),
          std::string(
              R"({"jsonrpc":"2.0","id":1,"error":{"code":1e99,"message":""}})"),
          std::string(R"({"jsonrpc":"2.0","id":{},"error":{}})"),
          std::string(100000, '[')})
    {
        const std::string start = response.substr(0, 70);
        CAPTURE(start);
        const rpc_transport transport = [&](const std::string&)
        { return response; };
        CHECK(!call_failure(transport, "echo", "{}").empty());
    }
}
