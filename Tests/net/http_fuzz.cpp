#include "net/http_server.hpp"
#include "net/loopback.hpp"

#include <array>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace wisteriahatch;

namespace
{

// Number of cases of one run, unless WISTERIAHATCH_FUZZ_CASES is set.
constexpr unsigned default_case_count = 400;
constexpr unsigned first_seed = 1;
constexpr std::size_t max_mutations = 3;
constexpr std::size_t max_piece_bytes = 40;

const std::array<std::string, 5> messages{
    "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n",
    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
    "GET /d HTTP/1.1\r\nHost: h\r\n\r\nGET /e HTTP/1.1\r\nHost: h\r\n\r\n",
    "HEAD /f HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
};

// Texts that are inserted at random positions of a message.
const std::array<std::string, 8> inserted_texts{
    "\r\n",
    "\n",
    std::string(1, '\0'),
    "\r\n ",
    "Content-Length: 7\r\n",
    "\xff",
    ": ",
    "Transfer-Encoding: chunked\r\n"};

using engine = std::mt19937_64;

std::size_t pick(engine& random, std::size_t below)
{
    return random() % below;
}

void flip_byte(std::string& text, engine& random)
{
    text[pick(random, text.size())] ^= static_cast<char>(1U << pick(random, 8));
}

void remove_piece(std::string& text, engine& random)
{
    text.erase(pick(random, text.size()), 1 + pick(random, max_piece_bytes));
}

void repeat_piece(std::string& text, engine& random)
{
    const auto piece = text.substr(pick(random, text.size()),
                                   1 + pick(random, max_piece_bytes));
    text.insert(pick(random, text.size()), piece);
}

void insert_bytes(std::string& text, engine& random)
{
    text.insert(pick(random, text.size()),
                inserted_texts.at(pick(random, inserted_texts.size())));
}

using mutation = void (*)(std::string&, engine&);
constexpr std::array<mutation, 4> mutations{flip_byte, remove_piece,
                                            repeat_piece, insert_bytes};

std::string make_input(engine& random)
{
    auto text = messages.at(pick(random, messages.size()));
    for (auto left = pick(random, max_mutations + 1); left > 0; --left)
        if (!text.empty())
            mutations.at(pick(random, mutations.size()))(text, random);
    return text;
}

// Sends the text in several writes of random length.
void send_in_random_pieces(raw_client& client, const std::string& text,
                           engine& random)
{
    for (std::size_t at = 0; at < text.size();)
    {
        const auto piece = text.substr(at, 1 + pick(random, max_piece_bytes));
        client.send(piece);
        at += piece.size();
    }
}

unsigned case_count()
{
    const char* text = std::getenv("WISTERIAHATCH_FUZZ_CASES");
    return text == nullptr ? default_case_count
                           : static_cast<unsigned>(std::stoul(text));
}

}

// Guards against bytes that crash the process, leave a connection or a request
// open, or are answered without being a request, and against request smuggling:
// nothing may be served after a malformed message.
TEST_CASE("a mutated request affects only its own connection")
{
    std::atomic<unsigned> handled{0};
    worker_pool workers(2);
    http_server server(workers, {.listen = any_loopback_port()},
                       [&](http_request) -> asio::awaitable<http_reply>
                       {
                           ++handled;
                           co_return http_reply{};
                       });
    REQUIRE(server.start());
    workers.start();
    const auto cases = case_count();
    for (unsigned seed = first_seed; seed < first_seed + cases; ++seed)
    {
        CAPTURE(seed);
        engine random(seed);
        const auto before = handled.load();
        raw_client client(server.endpoint());
        send_in_random_pieces(client, make_input(random), random);
        client.half_close();
        unsigned answered = 0;
        bool has_failed = false;
        // A reply to HEAD announces a body that does not follow. The client
        // can't tell where the reply ends, so it is the last one read.
        for (auto reply = client.read(); reply.result_int() != 0;
             reply = client.read())
        {
            CHECK_FALSE(has_failed);
            answered += reply.result_int() == 200 ? 1 : 0;
            has_failed = reply.result_int() != 200;
            if (has_failed)
                CHECK((reply.result_int() == 400 || reply.result_int() == 413 ||
                       reply.result_int() == 431));
        }
        CHECK(wait_until([&] { return server.connections().open == 0; }));
        CHECK(answered <= handled - before);
        CHECK(server.running_requests() == 0);
    }
    raw_client client(server.endpoint());
    client.get("/");
    CHECK(client.read().result_int() == 200);
    workers.stop();
}
