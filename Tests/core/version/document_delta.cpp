#include "core/version/document_delta.hpp"

#include "core/version/document_check.hpp"
#include "core/version/example_documents.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

using namespace wisteriahatch;

namespace
{

std::string digest_json(char digit)
{
    return '"' + std::string(64, digit) + '"';
}

// Generates a text of sections, some of which may be equal.
rc::Gen<std::string> section_text()
{
    return rc::gen::map(
        rc::gen::container<std::vector<std::string>>(rc::gen::element(
            std::string("[a]\nk = 1\n"), std::string("[b]\nk = 2\n"),
            std::string("[c]\n"), std::string("x"), std::string("\n"),
            std::string("["), std::string("\xff"), std::string())),
        [](const std::vector<std::string>& pieces)
        {
            std::string text;
            for (const auto& piece : pieces)
                text += piece;
            return text;
        });
}

}

// Guards against chunks that lose or repeat bytes.
TEST_CASE("chunks start at section headers and join to the text")
{
    struct
    {
        std::string text;
        std::vector<std::string_view> chunks;
    } const table[] = {
        {"", {}},
        {"x", {"x"}},
        {"[a]\n[b]\n", {"[a]\n", "[b]\n"}},
        {"; c\n[a]\nk = [b]\n\n[c]", {"; c\n", "[a]\nk = [b]\n\n", "[c]"}},
        {"\n[", {"\n", "["}},
    };
    for (const auto& row : table)
    {
        CAPTURE(row.text);
        CHECK(split_chunks(row.text) == row.chunks);
    }
}

// Guards against deltas that contain text which the receiver already has.
TEST_CASE("a change of one class sends that class only")
{
    const auto base = example_document("blue_mahoe");
    auto target = base;
    target.replace(target.find("deadline_ms = 800"), 17, "deadline_ms = 900");
    const auto delta = compute_delta(base, target);
    REQUIRE(delta.parts.size() == 3);
    CHECK(std::holds_alternative<std::string>(delta.parts[1]));
    CHECK(encode_delta(delta).size() < 600);
    const auto applied = apply_delta(base, delta);
    REQUIRE(applied);
    CHECK(applied.value() == target);
}

// Guards against parts that are lost or changed by encoding and decoding.
TEST_CASE("an encoded delta decodes to itself")
{
    const auto base = example_document("dialcraft");
    const auto delta =
        compute_delta(base, base + "[class x]\n; \"quoted\" \\ \xc3\xa9\t\r\n");
    const auto decoded = decode_delta(encode_delta(delta));
    REQUIRE(decoded);
    CHECK(decoded.value() == delta);
}

// Guards against a decoder that accepts malformed deltas or crashes on them.
TEST_CASE("malformed deltas are refused")
{
    const auto head =
        "{\"base\":" + digest_json('0') + ",\"target\":" + digest_json('f');
    const std::string table[] = {
        "",
        "[]",
        "{",
        head,
        head + "}",
        head + ",\"parts\":{}}",
        head + ",\"parts\":[[1]]}",
        head + ",\"parts\":[[1,2,3]]}",
        head + ",\"parts\":[[-1,2]]}",
        head + ",\"parts\":[[1,2.5]]}",
        head + ",\"parts\":[[1,99999999999999999999]]}",
        head + ",\"parts\":[[[1],2]]}",
        head + ",\"parts\":[true]}",
        head + ",\"parts\":[]} x",
        "{\"base\":\"00\",\"target\":" + digest_json('f') + ",\"parts\":[]}",
        "{\"base\":" + digest_json('0') + ",\"target\":" + digest_json('F') +
            ",\"parts\":[]}",
        std::string(1000, '['),
    };
    for (const auto& text : table)
    {
        CAPTURE(text);
        const auto decoded = decode_delta(text);
        REQUIRE(!decoded);
        CHECK(decoded.error().kind == error_kind::malformed_request);
    }
    CHECK(decode_delta(head + ",\"parts\":[]}"));
    const auto oversized =
        decode_delta(std::string(3 * max_document_bytes, ' '));
    REQUIRE(!oversized);
    CHECK(oversized.error().kind == error_kind::body_too_large);
}

// Guards against reads outside the base, unbounded growth, and a result whose
// digest is not the announced one.
TEST_CASE("deltas that don't fit the base are refused")
{
    const std::string base = "[a]\n[b]\n";
    const auto good = compute_delta(base, "[b]\n[c]\n");
    const auto changed = [&good](auto change)
    {
        auto delta = good;
        change(delta);
        return delta;
    };
    const auto with_range = [&changed](std::size_t first, std::size_t count)
    {
        return changed(
            [&](document_delta& delta)
            { delta.parts[0] = chunk_range{.first = first, .count = count}; });
    };
    const std::string outside = "chunks that the base does not have";
    const struct
    {
        document_delta delta;
        error_kind kind;
        std::string message;
    } table[] = {
        {changed([](document_delta& delta)
                 { delta.base_digest = std::string(64, '0'); }),
         error_kind::stale_document, "differs from the given base"},
        {changed([](document_delta& delta)
                 { delta.target_digest = std::string(64, '0'); }),
         error_kind::invalid_document, "a text whose digest is not "},
        {changed([](document_delta& delta)
                 { delta.parts.emplace_back(std::string("x")); }),
         error_kind::invalid_document, "a text whose digest is not "},
        {with_range(2, 1), error_kind::invalid_document, outside},
        {with_range(1, 2), error_kind::invalid_document, outside},
        {with_range(1, ~std::size_t{0}), error_kind::invalid_document, outside},
        {with_range(0, 0), error_kind::invalid_document, outside},
        {changed(
             [](document_delta& delta)
             {
                 delta.parts.assign(max_document_bytes,
                                    chunk_range{.first = 0, .count = 2});
             }),
         error_kind::invalid_document, "a document of more than 1048576 bytes"},
    };
    for (const auto& row : table)
    {
        const auto applied = apply_delta(base, row.delta);
        REQUIRE(!applied);
        CHECK(applied.error().kind == row.kind);
        CAPTURE(applied.error().message);
        CHECK(applied.error().message.find(row.message) != std::string::npos);
    }
    CHECK(apply_delta(base, good));
}

// Guards against pairs of texts for which the result differs from the target.
TEST_CASE("applying a computed delta gives the target")
{
    CHECK(rc::check(
        []
        {
            const auto base = *section_text();
            const auto target = *section_text();
            const auto applied = apply_delta(base, compute_delta(base, target));
            RC_ASSERT(static_cast<bool>(applied));
            RC_ASSERT(applied.value() == target);
        }));
}

// Guards against damaged messages that crash the decoder or change the result
// undetected.
TEST_CASE("a damaged delta gives the target or an error")
{
    const auto base = example_document("dialcraft");
    const auto target = base + "[class x]\nservice = studio\n";
    const auto encoded = encode_delta(compute_delta(base, target));
    CHECK(rc::check(
        [&]
        {
            auto text = encoded;
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
            if (*rc::gen::inRange(0, 4) == 0)
                text.resize(at);
            const auto decoded = decode_delta(text);
            if (!decoded)
                return;
            const auto applied = apply_delta(base, decoded.value());
            if (applied)
                RC_ASSERT(document_digest(applied.value()) ==
                          decoded.value().target_digest);
        }));
}
