#ifndef WISTERIAHATCH_CORE_PROCESS_READER_SELECTION_HPP
#define WISTERIAHATCH_CORE_PROCESS_READER_SELECTION_HPP

#include "core/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace wisteriahatch
{

// Chooses which instance of a failure domain reads the configuration source for
// the others: the one with the lowest address, and its successors when it does
// not answer or can't reach the source. Instances with the same members agree
// on the reader without further messages. Does no I/O and reads no clock.
class reader_selection
{
public:
    // How long a reader is passed over after it has failed.
    static constexpr std::chrono::seconds failure_backoff{4};
    // Readers that may be passed over before an instance reads the source
    // itself, because each failed call delays its changes.
    static constexpr std::size_t max_failed_readers = 2;

    // Returns the reader to ask; empty when this instance reads the source
    // itself. `live_members` are the instances of its failure domain; it may be
    // one of them.
    std::string choose(const std::string& own_address,
                       std::vector<std::string> live_members,
                       time_point now) const;
    // Records that a reader did not answer or could not reach the source.
    void record_failure(const std::string& reader, time_point now);

private:
    bool has_failed(const std::string& reader, time_point now) const;

    // Until when each reader that has failed is passed over.
    std::map<std::string, time_point> failed_until;
};

}

#endif
