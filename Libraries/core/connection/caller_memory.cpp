#include "core/connection/caller_memory.hpp"

#include <algorithm>
#include <utility>

namespace wisteriahatch
{

namespace
{

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// Memory of the smallest machine, used when the machine's is not known.
constexpr std::size_t default_memory_mb = 160;
constexpr std::size_t default_descriptors = 8192;
// Replies being received may hold 32 MiB (reply_memory), in buffers of up to
// twice that size.
constexpr std::size_t upstream_reply_mb = 64;
// Share of the remaining memory that callers may fill. The rest is for the
// process itself and for what the allocator holds beyond the bytes in use.
constexpr double caller_memory_ratio = 0.4;
constexpr std::size_t min_caller_bytes = 4 * mebibyte;
// Shares of the descriptors; the last sixteenth is left for connections to
// peers and to the store, and for files.
constexpr std::size_t caller_descriptor_divisor = 2;
constexpr std::size_t peer_descriptor_divisor = 8;
constexpr std::size_t probe_descriptor_divisor = 16;
constexpr std::size_t upstream_descriptor_parts = 3;
constexpr std::size_t upstream_descriptor_divisor = 16;

// Part of the memory up to which connections are extended.
constexpr std::size_t extension_divisor = 2;

constexpr std::chrono::milliseconds progress_window{250};
constexpr std::chrono::seconds report_interval{1};

}

caller_budget derive_caller_budget(std::size_t memory_mb,
                                   std::size_t descriptors)
{
    if (memory_mb == 0)
        memory_mb = default_memory_mb;
    if (descriptors == 0)
        descriptors = default_descriptors;
    const auto available_mb =
        memory_mb - std::min(memory_mb, upstream_reply_mb);
    const auto bytes = static_cast<std::size_t>(
        static_cast<double>(available_mb * mebibyte) * caller_memory_ratio);
    const auto share = [&](std::size_t divisor)
    { return std::max<std::size_t>(1, descriptors / divisor); };
    return {.max_bytes = std::max(min_caller_bytes, bytes),
            .caller_connections = share(caller_descriptor_divisor),
            .peer_connections = share(peer_descriptor_divisor),
            .probe_connections = share(probe_descriptor_divisor),
            .upstream_connections =
                upstream_descriptor_parts * share(upstream_descriptor_divisor)};
}

caller_memory::reservation::reservation(caller_memory& owner,
                                        const void* accepting_server,
                                        std::function<void()> on_drop,
                                        time_point now)
    : memory(&owner)
    , server(accepting_server)
    , handle_drop(std::move(on_drop))
    , phase_start(now)
    , window_start(now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->memory->active.insert(this);
    this->memory->totals.held_bytes += this->size;
    this->memory->enforce_limit(this, now);
}

caller_memory::reservation::~reservation()
{
    const std::lock_guard lock(this->memory->mutex);
    this->memory->active.erase(this);
    this->memory->totals.held_bytes -= this->size;
}

void caller_memory::reservation::begin_request(std::size_t bytes,
                                               std::size_t received,
                                               time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->current_phase = phase::reading;
    this->phase_start = now;
    this->window_start = now;
    this->window_bytes = received;
    this->previous_window_bytes = 0;
    this->memory->resize(*this, bytes);
    this->memory->enforce_limit(nullptr, now);
}

void caller_memory::reservation::record_read(std::size_t bytes,
                                             std::size_t received,
                                             time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->record_progress(received, now);
    this->memory->resize(*this, bytes);
    this->memory->enforce_limit(nullptr, now);
}

bool caller_memory::reservation::begin_serving(std::size_t bytes,
                                               time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    if (this->dropped != drop_cause::none)
        return false;
    this->current_phase = phase::serving;
    this->memory->resize(*this, bytes);
    if (this->memory->enforce_limit(this, now))
        return true;
    this->memory->drop_for_memory(*this);
    this->memory->report_drops(now);
    return false;
}

bool caller_memory::reservation::extend_request(std::size_t bytes,
                                                time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    if (this->dropped != drop_cause::none)
        return false;
    const auto before = this->size - this->fixed_size;
    this->memory->resize(*this, before + bytes);
    if (this->memory->enforce_limit(this, now))
        return true;
    this->memory->resize(*this, before);
    return false;
}

void caller_memory::reservation::begin_reply(std::size_t bytes, time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->current_phase = phase::replying;
    this->phase_start = now;
    // Writing has just begun: the peer has had no time to read.
    this->window_start = now;
    this->window_bytes = bytes;
    this->previous_window_bytes = 0;
    this->memory->resize(*this, bytes);
    this->memory->enforce_limit(this, now);
}

void caller_memory::reservation::record_write(std::size_t written,
                                              time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->record_progress(written, now);
}

void caller_memory::reservation::end_request(std::size_t bytes, time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->current_phase = phase::idle;
    this->phase_start = now;
    this->memory->resize(*this, bytes);
}

void caller_memory::reservation::begin_close(time_point now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->current_phase = phase::unused;
    this->phase_start = now;
    this->window_bytes = 0;
    this->previous_window_bytes = 0;
    this->memory->resize(*this, 0);
}

bool caller_memory::reservation::extend_connection(std::size_t bytes)
{
    const std::lock_guard lock(this->memory->mutex);
    const auto limit = this->memory->values.max_bytes / extension_divisor;
    auto& held = this->memory->totals.held_bytes;
    if (this->dropped != drop_cause::none || held + bytes > limit)
        return false;
    this->fixed_size += bytes;
    this->size += bytes;
    held += bytes;
    return true;
}

caller_memory::drop_cause caller_memory::reservation::cause() const
{
    return this->dropped;
}

void caller_memory::reservation::record_progress(std::size_t bytes,
                                                 time_point now)
{
    if (now - this->window_start >= progress_window)
    {
        const bool is_adjacent = now - this->window_start < 2 * progress_window;
        this->previous_window_bytes = is_adjacent ? this->window_bytes : 0;
        this->window_bytes = 0;
        this->window_start = now;
    }
    this->window_bytes += bytes;
}

std::size_t caller_memory::reservation::recent_progress(time_point now) const
{
    const auto age = now - this->window_start;
    if (age >= 2 * progress_window)
        return 0;
    if (age >= progress_window)
        return this->window_bytes;
    return this->window_bytes + this->previous_window_bytes;
}

double caller_memory::reservation::drop_score(time_point now) const
{
    const std::chrono::duration<double> age = now - this->phase_start;
    return static_cast<double>(this->size) * age.count() /
           static_cast<double>(this->recent_progress(now) + 1);
}

caller_memory::caller_memory(options opts)
    : values(std::move(opts))
{
}

bool caller_memory::displace_connection(const void* server, time_point now)
{
    const std::lock_guard lock(this->mutex);
    auto* chosen = this->find_least_progress(
        now,
        [&](const reservation& each)
        {
            // A reply that has just been begun has had no time to be read.
            const bool is_stalled_reply =
                each.current_phase == phase::replying &&
                each.recent_progress(now) == 0;
            return each.server == server &&
                   (each.current_phase == phase::unused ||
                    each.current_phase == phase::reading || is_stalled_reply);
        });
    if (chosen == nullptr)
        chosen = this->find_longest_idle(server, now);
    if (chosen == nullptr)
        return false;
    this->drop(*chosen, drop_cause::displaced);
    ++this->totals.displaced;
    return true;
}

caller_memory::counts caller_memory::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->totals;
}

void caller_memory::resize(reservation& changed, std::size_t bytes)
{
    // What a dropped connection still holds is about to be freed.
    if (changed.dropped != drop_cause::none)
        return;
    const auto size = bytes + changed.fixed_size;
    this->totals.held_bytes += size - changed.size;
    changed.size = size;
}

bool caller_memory::enforce_limit(const reservation* spared, time_point now)
{
    while (this->totals.held_bytes > this->values.max_bytes)
    {
        auto* chosen = this->find_least_progress(
            now,
            [&](const reservation& each)
            {
                return &each != spared &&
                       each.current_phase != phase::serving &&
                       each.current_phase != phase::idle;
            });
        if (chosen == nullptr)
            break;
        this->drop_for_memory(*chosen);
    }
    this->report_drops(now);
    return this->totals.held_bytes <= this->values.max_bytes;
}

void caller_memory::report_drops(time_point now)
{
    const bool is_due =
        !this->has_reported || now - this->last_report >= report_interval;
    if (this->totals.dropped == this->reported_drops || !is_due)
        return;
    this->has_reported = true;
    this->last_report = now;
    this->reported_drops = this->totals.dropped;
    if (this->values.handle_drops)
        this->values.handle_drops(this->totals);
}

void caller_memory::drop_for_memory(reservation& chosen)
{
    this->drop(chosen, drop_cause::memory);
    ++this->totals.dropped;
}

void caller_memory::drop(reservation& chosen, drop_cause cause)
{
    this->totals.held_bytes -= std::exchange(chosen.size, 0);
    chosen.dropped = cause;
    chosen.handle_drop();
}

template <class Predicate>
caller_memory::reservation*
caller_memory::find_least_progress(time_point now, Predicate is_candidate)
{
    reservation* found = nullptr;
    double highest = -1;
    for (auto* each : this->active)
    {
        if (each->dropped != drop_cause::none || !is_candidate(*each))
            continue;
        const auto score = each->drop_score(now);
        if (score > highest)
        {
            highest = score;
            found = each;
        }
    }
    return found;
}

caller_memory::reservation* caller_memory::find_longest_idle(const void* server,
                                                             time_point now)
{
    reservation* found = nullptr;
    for (auto* each : this->active)
    {
        const bool is_candidate =
            each->server == server && each->dropped == drop_cause::none &&
            each->current_phase == phase::idle &&
            now - each->phase_start >= min_displaced_idle_time;
        if (is_candidate &&
            (found == nullptr || each->phase_start < found->phase_start))
            found = each;
    }
    return found;
}

}
