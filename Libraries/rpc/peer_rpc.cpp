#include "rpc/peer_rpc.hpp"

#include <json/json.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <cstddef>
#include <map>
#include <stdexcept>
#include <utility>

namespace wisteriahatch
{

namespace
{

// Maximum nesting of parameters, results and responses. jsoncpp recurses once
// per level.
constexpr int max_json_depth = 100;

// Parses JSON text of any type. Throws std::runtime_error with a message that
// begins with `subject`.
Json::Value parse_json(const std::string& text, const char* subject)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["stackLimit"] = max_json_depth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problems;
    const char* begin = text.data();
    if (!reader->parse(begin, begin + text.size(), &value, &problems))
    {
        throw std::runtime_error(std::string(subject) +
                                 " is not valid JSON: " + problems);
    }
    return value;
}

// Writes JSON text without line breaks.
std::string write_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

// Throws std::runtime_error unless `text` is a JSON-RPC 2.0 response with a
// result. libjsonrpccpp reads members without checking their types, inside
// functions declared throw(JsonRpcException), where jsoncpp's own exceptions
// terminate the process.
void check_response(const std::string& text)
{
    const char* subject = "the peer's JSON-RPC response";
    const Json::Value response = parse_json(text, subject);
    if (!response.isObject() || !response["jsonrpc"].isString() ||
        response["jsonrpc"].asString() != "2.0")
    {
        throw std::runtime_error(std::string(subject) +
                                 " is not a JSON-RPC 2.0 object");
    }
    if (!response.isMember("error"))
    {
        if (!response.isMember("result"))
        {
            throw std::runtime_error(std::string(subject) +
                                     " has neither result nor error");
        }
        return;
    }
    const Json::Value& problem = response["error"];
    if (!problem.isObject() || !problem["code"].isInt() ||
        !problem["message"].isString())
    {
        throw std::runtime_error(std::string(subject) +
                                 " has an error without code and message");
    }
    throw std::runtime_error("the peer answered with an error: " +
                             problem["message"].asString());
}

// Carries libjsonrpccpp's client messages over an rpc_transport.
class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(const rpc_transport& transport)
        : transport(transport)
    {
    }

    // Any exception other than JsonRpcException would terminate the process.
    void SendRPCMessage(
        const std::string& message,
        std::string& response) throw(jsonrpc::JsonRpcException) override
    {
        try
        {
            response = this->transport(message);
            check_response(response);
        }
        catch (const std::exception& problem)
        {
            this->failure = problem.what();
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, problem.what());
        }
    }

    // The message of the exception in SendRPCMessage, without libjsonrpccpp's
    // prefix. Empty when there was none.
    std::string failure;

private:
    const rpc_transport& transport;
};

// Returns a JSON-RPC error response with a null id.
std::string error_response(int code, const std::string& message)
{
    Json::Value response;
    response["jsonrpc"] = "2.0";
    response["id"] = Json::Value::null;
    response["error"]["code"] = code;
    response["error"]["message"] = message;
    return write_json(response);
}

}

std::string call_peer(const rpc_transport& transport, const std::string& method,
                      const std::string& parameters)
{
    const Json::Value input = parse_json(parameters, "the parameter object");
    if (!input.isObject())
        throw std::runtime_error("the parameters must be a JSON object");
    transport_connector connector(transport);
    try
    {
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        return write_json(client.CallMethod(method, input));
    }
    catch (const jsonrpc::JsonRpcException& problem)
    {
        throw std::runtime_error(connector.failure.empty() ? problem.what()
                                                           : connector.failure);
    }
}

// Calls the registered method for a request that libjsonrpccpp has validated,
// and converts its parameters and result between Json::Value and JSON text.
class rpc_server::implementation : public jsonrpc::IProcedureInvokationHandler
{
public:
    implementation()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& called, const Json::Value& input,
                          Json::Value& output) override
    {
        const auto found = this->methods.find(called.GetProcedureName());
        if (found == this->methods.end())
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
        }
        try
        {
            output = parse_json(found->second(write_json(input)), "the result");
        }
        catch (const std::exception& problem)
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, problem.what());
        }
    }

    // Methods are declared with a result, so that libjsonrpccpp refuses
    // notifications before this is called.
    void HandleNotificationCall(jsonrpc::Procedure&,
                                const Json::Value&) override
    {
    }

    std::map<std::string, rpc_method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

rpc_server::rpc_server()
    : state(new implementation)
{
}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& method, rpc_method handler)
{
    this->state->methods[method] = std::move(handler);
    this->state->protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                           jsonrpc::JSON_OBJECT, static_cast<char*>(nullptr)));
}

std::string rpc_server::handle(const std::string& message)
{
    try
    {
        std::string response;
        this->state->protocol->HandleRequest(message, response);
        return response;
    }
    catch (const std::exception& problem)
    {
        // jsoncpp throws on deep nesting and on members of unexpected types.
        return error_response(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
                              std::string("the message is not a JSON-RPC "
                                          "request: ") +
                                  problem.what());
    }
}

}
