#pragma once

#include "tarragonlock/common/time.hpp"

#include <chrono>
#include <cstdint>

namespace tarragonlock
{

/// What an agent knows of an entry's address.
struct entry_contact
{
    /// Whether a key in the store names the address.
    bool registered = false;
    /// Whether the settings name the address.
    bool hinted = false;
    /// Whether a channel to it is open or being opened.
    bool connected = false;
    /// When a channel to it was last open; unset if none ever was.
    instant last_open;
    instant last_dialled;

    friend bool operator==(const entry_contact&, const entry_contact&) = default;
};

/// What an agent does with an entry's address.
enum class dial_action : std::uint8_t
{
    wait,
    dial,
    forget
};

/// Interval between two attempts to connect to an entry.
inline constexpr duration dial_interval = std::chrono::milliseconds(100);
/// The same for an entry that is neither registered nor named in the settings; an entry that starts
/// at its former address has agents within a second.
inline constexpr duration unregistered_dial_interval = std::chrono::milliseconds(500);
/// How long an address without a key is dialled after its last channel: longer than an entry takes
/// to stop and start again.
inline constexpr duration entry_retention = std::chrono::seconds(60);

/// Decides whether to connect to an entry.
///
/// Load pattern: entries are restarted while the store does not answer. They remove their keys when
/// they stop and can't write them when they start.
/// @return what to do with the address now
inline dial_action next_dial(instant now, const entry_contact& contact)
{
    if (contact.connected)
        return dial_action::wait;
    const bool listed = contact.registered || contact.hinted;
    if (!listed && (contact.last_open == instant() || now - contact.last_open > entry_retention))
        return dial_action::forget;
    const auto interval = listed ? dial_interval : unregistered_dial_interval;
    return now - contact.last_dialled < interval ? dial_action::wait : dial_action::dial;
}

} // namespace tarragonlock
