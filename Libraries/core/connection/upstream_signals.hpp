#ifndef WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_SIGNALS_HPP
#define WISTERIAHATCH_CORE_CONNECTION_UPSTREAM_SIGNALS_HPP

#include "core/base/time.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

namespace wisteriahatch
{

// What one start of an upstream has said of itself in its replies: that it
// leaves, and until when it wants no requests from this instance. Only a new
// start of the upstream clears it, whatever the directory says. Workers read
// and update it at the same time. Does no I/O and reads no clock.
class upstream_signals
{
public:
    // How long a leaving upstream is used while its service has no better one,
    // until set_leaving_grace() sets another time.
    static constexpr std::chrono::milliseconds leaving_grace{2000};
    // Longer pauses are shortened to this.
    static constexpr std::chrono::minutes max_pause{10};
    // After a pause, load returns in this many equal steps, which together last
    // as long as the pause, but at most max_return_time: the whole load at once
    // could make the upstream refuse again.
    static constexpr unsigned return_steps = 4;
    static constexpr std::chrono::seconds max_return_time{1};

    void set_leaving_grace(duration value);

    // Each of these returns whether it changed what is known. Of several pauses
    // the latest end holds. `spread`, from 0 to 1, is the part of a step by
    // which this instance returns later; instances choose it at random, so that
    // they don't all return at once.
    bool record_leaving(time_point now);
    bool record_pause(duration length, time_point now, double spread = 0);

    bool is_leaving() const;
    // End of the pause for this instance; empty when the upstream has not asked
    // for one or it is over.
    std::optional<time_point> paused_until(time_point now) const;
    // The part of its load that the upstream may get after a pause, from one
    // step to 1, which it also is before the first pause.
    double returning_share(time_point now) const;
    // False when the upstream must get no request now.
    bool may_send(time_point now) const;
    // True when the upstream has said anything, in the past, too.
    bool has_any() const;

private:
    std::atomic<duration::rep> grace{duration(leaving_grace).count()};
    // Times since the epoch of time_point; 0 for never.
    std::atomic<time_point::rep> leaving_since{0};
    std::atomic<time_point::rep> pause_end{0};
    // Length of a step after the pause, and by how much this instance returns
    // later than its end.
    std::atomic<duration::rep> return_step{0};
    std::atomic<duration::rep> return_delay{0};
};

}

#endif
