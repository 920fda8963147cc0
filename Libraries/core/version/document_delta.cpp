#include "core/version/document_delta.hpp"

#include "core/version/document_check.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <unordered_map>

namespace wisteriahatch
{

namespace
{

namespace json = boost::json;

// JSON escapes most control characters with 6 bytes, but documents contain no
// others than line ends and tabs, which take 2 bytes each. Twice the maximum
// size of a document therefore leaves room for the ranges.
constexpr std::size_t max_delta_bytes = 2 * max_document_bytes;
constexpr std::size_t digest_length = 64;
// The delta is an object that contains an array of arrays.
constexpr std::size_t max_json_depth = 3;

error malformed(std::string message)
{
    return {.kind = error_kind::malformed_request,
            .message = "the delta " + std::move(message) +
                       "; ask for the whole document"};
}

error invalid(std::string message)
{
    return {.kind = error_kind::invalid_document,
            .message = "the delta " + std::move(message) +
                       "; ask for the whole document"};
}

result<std::string> digest_member(const json::object& object,
                                  std::string_view name)
{
    const auto* const member = object.if_contains(name);
    const auto* const text = member ? member->if_string() : nullptr;
    constexpr std::string_view digits = "0123456789abcdef";
    if (!text || text->size() != digest_length ||
        std::string_view(*text).find_first_not_of(digits) !=
            std::string_view::npos)
        return malformed("has no valid SHA-256 \"" + std::string(name) + "\"");
    return std::string(*text);
}

// Reads a non-negative integer.
result<std::size_t> read_size(const json::value& value)
{
    boost::system::error_code fault;
    const auto number = value.to_number<std::size_t>(fault);
    if (fault || value.is_double())
        return malformed(
            "has a range that is not a pair of non-negative integers");
    return number;
}

result<std::variant<chunk_range, std::string>>
decode_part(const json::value& value)
{
    if (const auto* const text = value.if_string())
        return std::string(*text);
    const auto* const pair = value.if_array();
    if (!pair || pair->size() != 2)
        return malformed("has a part that is neither text nor a range");
    BOOST_OUTCOME_TRY(const auto first, read_size((*pair)[0]));
    BOOST_OUTCOME_TRY(const auto count, read_size((*pair)[1]));
    return chunk_range{.first = first, .count = count};
}

// Returns the text of a range; empty if it is empty or exceeds the base.
std::string_view copied_text(const std::vector<std::string_view>& chunks,
                             const chunk_range& range)
{
    if (range.count == 0 || range.first >= chunks.size() ||
        range.count > chunks.size() - range.first)
        return {};
    const auto& last = chunks[range.first + range.count - 1];
    const char* const begin = chunks[range.first].data();
    return {begin, static_cast<std::size_t>(last.data() + last.size() - begin)};
}

}

std::vector<std::string_view> split_chunks(std::string_view text)
{
    std::vector<std::string_view> chunks;
    while (!text.empty())
    {
        const auto next = text.find("\n[");
        const auto length = next == text.npos ? text.size() : next + 1;
        chunks.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return chunks;
}

document_delta compute_delta(std::string_view base, std::string_view target)
{
    const auto chunks = split_chunks(base);
    std::unordered_map<std::string_view, std::size_t> positions;
    for (std::size_t at = 0; at < chunks.size(); ++at)
        positions.emplace(chunks[at], at);

    document_delta delta{.base_digest = document_digest(base),
                         .target_digest = document_digest(target)};
    for (const auto chunk : split_chunks(target))
    {
        auto* const last = delta.parts.empty() ? nullptr : &delta.parts.back();
        if (auto* const range = last ? std::get_if<chunk_range>(last) : nullptr)
        {
            const auto next = range->first + range->count;
            if (next < chunks.size() && chunks[next] == chunk)
            {
                ++range->count;
                continue;
            }
        }
        if (const auto found = positions.find(chunk); found != positions.end())
            delta.parts.emplace_back(
                chunk_range{.first = found->second, .count = 1});
        else if (auto* const text =
                     last ? std::get_if<std::string>(last) : nullptr)
            *text += chunk;
        else
            delta.parts.emplace_back(std::string(chunk));
    }
    return delta;
}

std::string encode_delta(const document_delta& delta)
{
    json::array parts;
    for (const auto& part : delta.parts)
        if (const auto* const range = std::get_if<chunk_range>(&part))
            parts.emplace_back(json::array{range->first, range->count});
        else
            parts.emplace_back(std::get<std::string>(part));
    return json::serialize(json::object{{"base", delta.base_digest},
                                        {"target", delta.target_digest},
                                        {"parts", std::move(parts)}});
}

result<document_delta> decode_delta(std::string_view text)
{
    if (text.size() > max_delta_bytes)
        return error{.kind = error_kind::body_too_large,
                     .message = "the delta has " + std::to_string(text.size()) +
                                " bytes, at most " +
                                std::to_string(max_delta_bytes) +
                                " are read; ask for the whole document"};
    boost::system::error_code fault;
    json::parse_options options;
    options.max_depth = max_json_depth;
    const auto value = json::parse(text, fault, {}, options);
    const auto* const object = fault ? nullptr : value.if_object();
    if (!object)
        return malformed("is no JSON object");
    document_delta delta;
    BOOST_OUTCOME_TRY(delta.base_digest, digest_member(*object, "base"));
    BOOST_OUTCOME_TRY(delta.target_digest, digest_member(*object, "target"));
    const auto* const member = object->if_contains("parts");
    const auto* const parts = member ? member->if_array() : nullptr;
    if (!parts)
        return malformed("lacks the array \"parts\"");
    delta.parts.reserve(parts->size());
    for (const auto& part : *parts)
    {
        BOOST_OUTCOME_TRY(auto decoded, decode_part(part));
        delta.parts.push_back(std::move(decoded));
    }
    return delta;
}

result<std::string> apply_delta(std::string_view base,
                                const document_delta& delta)
{
    if (document_digest(base) != delta.base_digest)
        return error{.kind = error_kind::stale_document,
                     .message = "the delta starts from document " +
                                delta.base_digest +
                                ", which differs from the given base; ask for "
                                "the whole document"};
    const auto chunks = split_chunks(base);
    std::string target;
    for (const auto& part : delta.parts)
    {
        const auto* const range = std::get_if<chunk_range>(&part);
        const auto text = range ? copied_text(chunks, *range)
                                : std::string_view(std::get<std::string>(part));
        if (range && text.empty())
            return invalid("copies chunks that the base does not have");
        // Checks the size before appending, because a small delta can request
        // many copies of the base.
        if (text.size() > max_document_bytes - target.size())
            return invalid("results in a document of more than " +
                           std::to_string(max_document_bytes) + " bytes");
        target += text;
    }
    if (document_digest(target) != delta.target_digest)
        return invalid("results in a text whose digest is not " +
                       delta.target_digest);
    return target;
}

}
