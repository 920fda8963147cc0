#ifndef WISTERIAHATCH_NET_REPLY_STATUS_HPP
#define WISTERIAHATCH_NET_REPLY_STATUS_HPP

namespace wisteriahatch
{

// True when the status ends an exchange. Lower ones are interim responses,
// which a final response to the same request follows; other values have no
// meaning in HTTP (RFC 9110, section 15), but parsers accept any three digits.
constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first_final_status = 200;
    constexpr unsigned last_final_status = 599;
    return status >= first_final_status && status <= last_final_status;
}

}

#endif
