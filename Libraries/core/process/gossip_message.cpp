#include "core/process/gossip_message.hpp"

#include <tuple>
#include <xxhash.h>

namespace wisteriahatch
{

bool takes_precedence(const member_record& record, const member_record& known)
{
    return std::tie(record.epoch, record.state, record.nonce) >
           std::tie(known.epoch, known.state, known.nonce);
}

unsigned bucket_of(const std::string& address)
{
    return XXH3_64bits(address.data(), address.size()) % bucket_count;
}

}
