#include "core/base/error.hpp"

namespace wisteriahatch
{

std::string_view to_string(error_kind kind)
{
    switch (kind)
    {
    case error_kind::malformed_request:
        return "malformed_request";
    case error_kind::body_too_large:
        return "body_too_large";
    case error_kind::deadline_passed:
        return "deadline_passed";
    case error_kind::unknown_service:
        return "unknown_service";
    case error_kind::unknown_class:
        return "unknown_class";
    case error_kind::not_idempotent:
        return "not_idempotent";
    case error_kind::no_configuration:
        return "no_configuration";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::coverage_below_floor:
        return "coverage_below_floor";
    case error_kind::instance_paused:
        return "instance_paused";
    case error_kind::invalid_run_id:
        return "invalid_run_id";
    case error_kind::run_id_required:
        return "run_id_required";
    case error_kind::shutting_down:
        return "shutting_down";
    case error_kind::internal:
        return "internal";
    case error_kind::wrong_request_id:
        return "wrong_request_id";
    case error_kind::wrong_version:
        return "wrong_version";
    case error_kind::truncated_reply:
        return "truncated_reply";
    case error_kind::reply_too_large:
        return "reply_too_large";
    case error_kind::upstream_shed:
        return "upstream_shed";
    case error_kind::upstream_timeout:
        return "upstream_timeout";
    case error_kind::connect_failed:
        return "connect_failed";
    case error_kind::invalid_document:
        return "invalid_document";
    case error_kind::stale_document:
        return "stale_document";
    case error_kind::invalid_settings:
        return "invalid_settings";
    }
    return "internal";
}

}
