#ifndef WISTERIAHATCH_CORE_BASE_ERROR_HPP
#define WISTERIAHATCH_CORE_BASE_ERROR_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriahatch
{

// Kinds of error that callers, operators and other modules distinguish. The
// name of each enumerator is also its text in HTTP replies and logs.
enum class error_kind : std::uint8_t
{
    malformed_request,
    body_too_large,
    deadline_passed,
    unknown_service,
    unknown_class,
    not_idempotent,
    no_configuration,
    overloaded,
    coverage_below_floor,
    instance_paused,
    invalid_run_id,
    run_id_required,
    shutting_down,
    internal,
    wrong_request_id,
    wrong_version,
    truncated_reply,
    reply_too_large,
    upstream_shed,
    upstream_timeout,
    connect_failed,
    invalid_document,
    stale_document,
    invalid_settings,
};

// Returns the kind's name in HTTP replies, logs and metrics.
std::string_view to_string(error_kind kind);

// An error whose message says what was wrong and how to correct it.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};

// A value or an error. Propagate with BOOST_OUTCOME_TRY.
template <class Value>
using result = boost::outcome_v2::unchecked<Value, error>;

}

#endif
